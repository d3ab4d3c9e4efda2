package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
)

// fakeSource returns fixed values and echoes the query.
type fakeSource struct {
	status Status
	report Report
}

func (s *fakeSource) Status(context.Context) Status { return s.status }

func (s *fakeSource) Explain(_ context.Context, query ExplainQuery) Explanation {
	entry := JournalEntry{At: time.Unix(1, 0).UTC(), Request: query.Request, Subject: query.Subject, Event: "ejected", Reason: "3 failures"}
	return Explanation{Instance: s.status.Instance, Entries: []JournalEntry{entry}}
}

func (s *fakeSource) Report(_ context.Context, query ReportQuery) Report {
	s.report.Since = s.report.At.Add(-query.Window)
	return s.report
}

// serve runs the API on a loopback port until the test ends and returns its address.
func serve(t *testing.T, source Source) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	app := fiber.New()
	Register(app, source)
	done := make(chan error, 1)
	go func() { done <- app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		require.NoError(t, app.Shutdown())
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func newTestClient(t *testing.T) *Client {
	client := NewClient(2 * time.Second)
	t.Cleanup(client.Close)
	return client
}

func TestClientDecodesServerResponses(t *testing.T) {
	at := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	source := &fakeSource{
		status: Status{
			Instance: "entry-1", Zone: "munich-a", State: "ready", Incarnation: 7, At: at,
			Configuration: Configuration{Revision: 3, Hash: "ab", AcceptedAt: at},
			Zones: []ZoneLoad{{Zone: "munich-a", Services: []ServiceLoad{
				{Service: "checkout", Slots: 8, Queued: ByRankOf([model.RankCount]int{1, 2, 3}), SpillLevel: 0.5},
			}}},
		},
		report: Report{Instance: "entry-1", At: at, Series: []Series{{
			Service: "checkout", Rank: model.Background, Objective: Objective{Ratio: 0.999, Latency: time.Second},
			Buckets: []Bucket{{
				Start: at, Width: 10 * time.Second, Good: 1,
				Counts:  []Count{{Outcome: model.NotRun, Cause: model.CauseShed, Requests: 2}},
				Latency: []LatencyBin{{Upper: time.Millisecond, Requests: 1}},
			}},
		}}},
	}
	address := serve(t, source)
	client := newTestClient(t)
	status, err := client.Status(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, source.status, *status)
	report, err := client.Report(t.Context(), address, ReportQuery{Window: time.Hour})
	require.NoError(t, err)
	require.Equal(t, at.Add(-time.Hour), report.Since)
	require.Equal(t, source.report, *report)
	explanation, err := client.Explain(t.Context(), address, ExplainQuery{Subject: "checkout-03 & more"})
	require.NoError(t, err)
	require.Equal(t, "checkout-03 & more", explanation.Entries[0].Subject)
}

func TestClientReturnsErrorResponses(t *testing.T) {
	address := serve(t, &fakeSource{})
	_, err := newTestClient(t).Explain(t.Context(), address, ExplainQuery{})
	var callError *CallError
	require.ErrorAs(t, err, &callError)
	require.Equal(t, address, callError.Peer)
	var statusError *StatusError
	require.ErrorAs(t, err, &statusError)
	require.Equal(t, "give exactly one of ?request= and ?subject=", statusError.Message)
}

// TestFleetCallsEachInstanceOnce checks that an instance known under several
// addresses is called once, that an unreachable peer is reported with its error and
// that a peer that has left is not called.
func TestFleetCallsEachInstanceOnce(t *testing.T) {
	second := &fakeSource{status: Status{Instance: "entry-2"}}
	secondAddress := serve(t, second)
	first := &fakeSource{status: Status{Instance: "entry-1", Peers: []Peer{
		{Instance: "entry-2", ControlAddr: "localhost:1"}, // the address passed to NewFleet takes precedence
		{Instance: "entry-3", ControlAddr: secondAddress},
		{Instance: "entry-4", ControlAddr: "127.0.0.1:1"},
		{Instance: "entry-5", ControlAddr: "127.0.0.1:2", State: stateLeft},
	}}}
	fleet := NewFleet(newTestClient(t), []string{serve(t, first), secondAddress})
	answers := fleet.Status(t.Context())
	require.Len(t, answers, 3)
	require.Equal(t, Member{Instance: "entry-4", Address: "127.0.0.1:1"}, answers[0].Member)
	require.ErrorContains(t, answers[0].Err, "get status from 127.0.0.1:1")
	require.NoError(t, answers[1].Err)
	require.NoError(t, answers[2].Err)
}
