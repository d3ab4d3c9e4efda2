package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// TestRunningWorkOutlivesConclusionsAboutItsServer has the instances conclude something about
// the servers while a read and a once-only request run at each: both are answered after one
// run.
func TestRunningWorkOutlivesConclusionsAboutItsServer(t *testing.T) {
	for name, conclude := range map[string]func(f *fleet){
		"draining": func(f *fleet) { f.setFaults(backend.Faults{Draining: true}, "draining") },
		"planned stop of the servers": func(f *fleet) {
			for name := range f.servers {
				f.announce(config.Stop{ID: "stop-" + name, Scope: config.StopBackend, Target: name, At: time.Now()})
			}
		},
		"servers removed from the configuration": func(f *fleet) {
			f.apply(f.text[:strings.Index(f.text, "[zone north-b]")] + "[zone north-b]\nregion = north\n")
		},
		"fewer slots":        func(f *fleet) { f.apply(strings.ReplaceAll(f.text, "slots = 4", "slots = 1")) },
		"a shorter deadline": func(f *fleet) { f.apply(strings.ReplaceAll(f.text, "deadline = 5s", "deadline = 1s")) },
		"owner stops":        func(f *fleet) { f.stop[1]() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			answers := make(chan answer, 4)
			for i := range f.callers {
				read, order := fmt.Sprint("read-", i), fmt.Sprint("order-", i)
				go func() { answers <- f.send(i, http.MethodGet, slowPath, nil, "X-Request-Id", read) }()
				go func() {
					answers <- f.send(i, http.MethodPost, "/orders/slow", strings.NewReader("a"), "X-Request-Id", order, "Idempotency-Key", order)
				}()
				require.Eventually(t, func() bool { return f.runsOf(read)+f.runsOf(order) == 2 }, waitTimeout, 20*time.Millisecond)
			}
			conclude(f)
			for range cap(answers) {
				a := <-answers
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
			}
			for i := range f.callers {
				require.Equal(t, 1, f.runsOf(fmt.Sprint("read-", i)))
				require.Equal(t, 1, f.runsOf(fmt.Sprint("order-", i)))
			}
		})
	}
}

// setFaults sets the servers' faults, which concern new requests, and sends some until an
// owner has drawn its conclusion.
func (f *fleet) setFaults(faults backend.Faults, condition string) {
	for _, server := range f.servers {
		server.SetFaults(faults)
	}
	client := control.NewClient(time.Second)
	defer client.Close()
	require.Eventually(f.t, func() bool {
		for i, address := range f.controls {
			f.send(i, http.MethodGet, "/shop/shirts", nil)
			status, err := client.Status(f.t.Context(), address)
			if err == nil && slices.ContainsFunc(status.Backends, func(b control.Backend) bool { return b.Health == condition }) {
				return true
			}
		}
		return false
	}, slowRunTime, 20*time.Millisecond)
}

func (f *fleet) configurationStore() *confstore.Store {
	client := platform.NewClient(platform.DefaultSettings(f.store))
	f.t.Cleanup(client.Close)
	return confstore.New(client.Table())
}

// apply commits a second configuration and waits until it is in force everywhere.
func (f *fleet) apply(text string) {
	_, err := f.configurationStore().Apply(f.t.Context(), confstore.Change{
		Base: 1, Source: []byte(text), Author: "test", Reason: "change", OperationID: "change",
	})
	require.NoError(f.t, err)
	f.waitForRevision(2)
}

// announce announces planned stops, each with a revision of its own.
func (f *fleet) announce(stops ...config.Stop) {
	_, err := f.configurationStore().Announce(f.t.Context(), stops...)
	require.NoError(f.t, err)
}

func (f *fleet) waitForRevision(number int64) {
	client := control.NewClient(time.Second)
	defer client.Close()
	require.Eventually(f.t, func() bool {
		for _, address := range f.controls {
			status, err := client.Status(f.t.Context(), address)
			if err != nil || status.Configuration.Revision != number {
				return false
			}
		}
		return true
	}, waitTimeout, 20*time.Millisecond)
}
