package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

// change applies a text that only a number tells from the first one.
func (f *fleet) change(base int64, number int) {
	f.t.Helper()
	_, err := f.configurationStore().Apply(f.t.Context(), confstore.Change{
		Base: base, Source: f.textWithPath(number), Author: "test", Reason: "change", OperationID: fmt.Sprint("change-", number),
	})
	require.NoError(f.t, err)
}

func (f *fleet) textWithPath(number int) []byte {
	return []byte(strings.Replace(f.text, "GET /shop/*", fmt.Sprintf("GET /shop-%d/*", number), 1))
}

// inForce reports whether the instances serve the text with a number.
func (f *fleet) inForce(number int, entries ...int) bool {
	for _, entry := range entries {
		if a := f.send(entry, http.MethodGet, fmt.Sprintf("/shop-%d/shirts", number), nil); a.status != http.StatusOK {
			return false
		}
	}
	return true
}

func (f *fleet) statuses() []control.Status {
	client := control.NewClient(time.Second)
	defer client.Close()
	var list []control.Status
	for _, address := range f.controls {
		status, err := client.Status(f.t.Context(), address)
		require.NoError(f.t, err)
		list = append(list, *status)
	}
	return list
}

// TestChangeTakesEffectAfterTableRestore runs instances on a table that is restored from a
// copy while one of them starts and while the platform is out of reach for all.
func TestChangeTakesEffectAfterTableRestore(t *testing.T) {
	f := startFleet(t)
	f.platform.CopyTable()
	f.change(1, 2)
	f.change(2, 3)
	require.Eventually(t, func() bool { return f.inForce(3, 0, 1) }, waitTimeout, 20*time.Millisecond)

	require.True(t, f.platform.RestoreTable())
	require.Eventually(t, func() bool {
		statuses := f.statuses()
		return statuses[0].Configuration.Lost && statuses[1].Configuration.Lost
	}, waitTimeout, 20*time.Millisecond)
	f.startInstance("entry-3", "north-a", f.store)
	require.Eventually(t, func() bool { return f.inForce(3, 2) }, waitTimeout, 20*time.Millisecond)
	require.True(t, f.inForce(3, 0, 1))

	f.change(1, 4)
	require.Eventually(t, func() bool { return f.inForce(4, 0, 1, 2) }, waitTimeout, 20*time.Millisecond)
	f.change(2, 5) // the number of the lost one
	require.Eventually(t, func() bool { return f.inForce(5, 0, 1, 2) }, waitTimeout, 20*time.Millisecond)

	f.platform.SetFaults(tablestore.Faults{Outage: tablestore.OutageClosed})
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		require.True(t, f.inForce(5, 0, 1, 2))
	}
	for _, status := range f.statuses() {
		require.EqualValues(t, 3, status.Configuration.Revision)
		require.False(t, status.Configuration.Lost)
	}
}

// TestOnceRequestRunsOnceAcrossTableRestore repeats a finished request after a restore that
// has lost its claim, at the instance that was granted it and at the other one.
func TestOnceRequestRunsOnceAcrossTableRestore(t *testing.T) {
	f := startFleet(t)
	f.platform.CopyTable()
	send := func(entry int, request string) answer {
		return f.send(entry, http.MethodPost, "/orders", strings.NewReader("a"), "Idempotency-Key", "k", "X-Request-Id", request)
	}
	require.Equal(t, http.StatusOK, send(0, "first").status)
	client := platform.NewClient(platform.DefaultSettings(f.store))
	t.Cleanup(client.Close)
	present := func() bool {
		rows, err := client.Table().Scan(t.Context(), "once/", 1)
		return err == nil && len(rows) == 1
	}
	replayed := func() bool { return send(1, "replay").status == http.StatusOK }
	require.Eventually(t, replayed, waitTimeout, 10*time.Millisecond, "the answer is stored after it was sent")
	require.True(t, f.platform.RestoreTable())
	require.Eventually(t, present, waitTimeout, 10*time.Millisecond)
	for entry := range f.callers {
		a := send(entry, fmt.Sprint("again-", entry))
		require.Equal(t, http.StatusConflict, a.status, a.header.Get("X-Cause"))
		require.Equal(t, "in-progress", a.header.Get("X-Cause"))
		require.Zero(t, f.runsOf(fmt.Sprint("again-", entry)))
	}
	require.Equal(t, 1, f.runsOf("first"))
}
