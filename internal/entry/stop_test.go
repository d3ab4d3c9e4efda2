package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopOutcome is how a request that was sent during a stop ended.
type stopOutcome struct {
	id      string
	status  int // 0 if there was no complete answer
	outcome string
	cause   string
	err     error
}

// sendUntilGone sends once-only requests to the instance at address until it no longer
// accepts connections.
func sendUntilGone(ctx context.Context, address string, caller int) []stopOutcome {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var all []stopOutcome
	for i := 0; ctx.Err() == nil; i++ {
		o := stopOutcome{id: fmt.Sprintf("stop-%d-%d", caller, i)}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", io.NopCloser(strings.NewReader("x")))
		if err != nil {
			o.err = err
			return append(all, o)
		}
		req.ContentLength = 1
		req.Header.Set("X-Request-Id", o.id)
		req.Header.Set("Idempotency-Key", o.id)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			return all
		}
		o.err = err
		if err == nil {
			o.status, o.outcome, o.cause = resp.StatusCode, resp.Header.Get("X-Outcome"), resp.Header.Get("X-Cause")
		}
		all = append(all, o)
	}
	return all
}

func (f *fleet) runsOf(id string) int {
	runs := 0
	for _, server := range f.servers {
		runs += server.Runs().RequestIDs[id]
	}
	return runs
}

// TestPlannedStopUnderLoadCutsNothing stops an instance while callers keep sending to it:
// whatever a backend server has run is answered, and nothing that was told not-run has run.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	const callers = 12
	f := startFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	results := make([][]stopOutcome, callers)
	var sending sync.WaitGroup
	for i := range callers {
		sending.Go(func() { results[i] = sendUntilGone(ctx, f.callers[0], i) })
	}
	time.Sleep(300 * time.Millisecond)
	f.stop[0]()
	require.NoError(t, <-f.ended[0])
	sending.Wait()
	require.NoError(t, ctx.Err(), "callers found the instance gone")
	for _, outcomes := range results {
		for _, o := range outcomes {
			switch {
			case o.outcome == "served" || o.outcome == "late":
			case o.outcome == "not-run" || o.err != nil:
				require.Zero(t, f.runsOf(o.id), "%+v", o)
			default:
				require.Fail(t, "given up at a planned stop", "%+v, runs %d", o, f.runsOf(o.id))
			}
		}
	}
}

// TestPlannedStopFinishesUploads stops both instances while an upload through each of them
// is under way.
func TestPlannedStopFinishesUploads(t *testing.T) {
	const uploadBytes = 2 << 20
	f := startFleet(t)
	var uploading sync.WaitGroup
	answers := make([]answer, len(f.callers))
	writers := make([]*io.PipeWriter, len(f.callers))
	for i := range f.callers {
		body, writer := io.Pipe()
		writers[i] = writer
		uploading.Go(func() {
			answers[i] = f.send(i, http.MethodPut, "/files/x", body, "X-Request-Id", fmt.Sprint("upload-", i))
		})
		_, err := writer.Write(make([]byte, uploadBytes/2))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return f.runsOf(fmt.Sprint("upload-", i)) == 1 }, waitTimeout, 20*time.Millisecond)
	}
	for _, stop := range f.stop {
		stop()
	}
	time.Sleep(2 * time.Second) // lookups that named the instances have long expired
	for _, writer := range writers {
		_, err := writer.Write(make([]byte, uploadBytes/2))
		require.NoError(t, err)
		require.NoError(t, writer.Close())
	}
	uploading.Wait()
	for i, a := range answers {
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
		require.Equal(t, 1, f.runsOf(fmt.Sprint("upload-", i)))
		require.NoError(t, <-f.ended[i])
	}
}
