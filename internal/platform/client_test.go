package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

func startPlatform(t *testing.T, faults tablestore.Faults, adjust func(*platform.Settings)) (*tablestore.Server, *platform.Client) {
	t.Helper()
	server := tablestore.New(faults)
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	settings := platform.DefaultSettings(server.Addr())
	if adjust != nil {
		adjust(&settings)
	}
	client := platform.NewClient(settings)
	t.Cleanup(client.Close)
	return server, client
}

// eventuallyTimeout is the time limit for conditions that are expected to hold
// soon. It allows for a busy machine.
const eventuallyTimeout = 10 * time.Second

// disableRetries prevents any attempt after the first one.
func disableRetries(s *platform.Settings) { s.Retry.MaxElapsed = time.Nanosecond }

func put(key, value string) platform.Transaction {
	return platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

func TestTableCommitsConditionsAndWritesTogether(t *testing.T) {
	_, client := startPlatform(t, tablestore.Faults{}, nil)
	ctx, table := t.Context(), client.Table()

	require.NoError(t, table.Commit(ctx, put("a/1", "one")))
	rows, err := table.Get(ctx, "a/1", "a/2")
	require.NoError(t, err)
	require.Equal(t, "one", string(rows[0].Value))
	require.Equal(t, platform.Row{Key: "a/2"}, rows[1])

	refused := put("a/2", "two")
	refused.Conditions = []platform.Condition{{Key: "a/1", Version: 0}}
	var conflict *platform.ConflictError
	require.ErrorAs(t, table.Commit(ctx, refused), &conflict)
	require.Equal(t, rows[0].Version, conflict.Actual)

	remove := platform.Transaction{Writes: []platform.Write{{Key: "a/1", Delete: true}}}
	require.NoError(t, table.Commit(ctx, remove))
	require.NoError(t, table.Commit(ctx, put("a/1", "again")))
	again, err := table.Scan(ctx, "a/", 10)
	require.NoError(t, err)
	require.Len(t, again, 1)
	require.Greater(t, again[0].Version, rows[0].Version)

	require.NoError(t, table.Commit(ctx, put("a/0", "zero")))
	require.NoError(t, table.Commit(ctx, put("b/0", "other")))
	limited, err := table.Scan(ctx, "a/", 1)
	require.NoError(t, err)
	require.Len(t, limited, 1)
	require.Equal(t, "a/0", limited[0].Key)
}

func TestObjects(t *testing.T) {
	_, client := startPlatform(t, tablestore.Faults{}, nil)
	objects := client.Objects()
	name, data := "answers/k 1&2", []byte{0, 1, 2, 255}

	var missing *platform.NotFoundError
	_, err := objects.Get(t.Context(), name)
	require.ErrorAs(t, err, &missing)
	require.NoError(t, objects.Put(t.Context(), name, data))
	got, err := objects.Get(t.Context(), name)
	require.NoError(t, err)
	require.Equal(t, data, got)
}

func TestInstanceListExpiresAndLags(t *testing.T) {
	server, client := startPlatform(t, tablestore.Faults{}, nil)
	instances := client.Instances()
	entry := platform.ListedInstance{ID: "entry-1", Zone: "munich-a", LinkAddr: "10.0.0.1:1", CallerAddr: "10.0.0.1:2"}

	server.SetInstance(wire.Instance{Backend: "checkout-1", Zone: "munich-a", Leaving: true}, 0)
	require.NoError(t, instances.Register(t.Context(), entry, time.Hour))
	backend := platform.ListedInstance{Backend: "checkout-1", Zone: "munich-a", Leaving: true}
	list, err := instances.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.ListedInstance{backend, entry}, list)

	server.SetFaults(tablestore.Faults{ListLagMillis: time.Minute.Milliseconds()})
	list, err = instances.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, list)

	server.SetFaults(tablestore.Faults{})
	require.NoError(t, instances.Register(t.Context(), entry, time.Millisecond))
	require.Eventually(t, func() bool {
		list, err := instances.List(t.Context())
		return err == nil && len(list) == 1
	}, eventuallyTimeout, 5*time.Millisecond)
}

func TestCommitErrorClassification(t *testing.T) {
	cases := []struct {
		name      string
		faults    tablestore.Faults
		timeout   time.Duration
		uncertain bool
		applied   int64
	}{
		{"error outage", tablestore.Faults{Outage: tablestore.OutageError}, eventuallyTimeout, false, 0},
		{"closed outage", tablestore.Faults{Outage: tablestore.OutageClosed}, eventuallyTimeout, true, 0},
		{"lost reply", tablestore.Faults{LostReplies: 1}, eventuallyTimeout, true, 1},
		{"lost request", tablestore.Faults{LostRequests: 1}, eventuallyTimeout, true, 0},
		{"timeout", tablestore.Faults{LatencyMillis: 500}, 100 * time.Millisecond, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := startPlatform(t, c.faults, func(s *platform.Settings) {
				s.AttemptTimeout = c.timeout
				disableRetries(s)
			})
			err := client.Table().Commit(t.Context(), put("k", "v"))
			var uncertain *platform.UncertainError
			var unavailable *platform.UnavailableError
			if c.uncertain {
				require.ErrorAs(t, err, &uncertain)
				require.Equal(t, platform.StepCommit, uncertain.Step)
				require.Equal(t, server.Addr(), uncertain.Peer)
			} else {
				require.ErrorAs(t, err, &unavailable)
			}
			_, readErr := client.Table().Get(t.Context(), "k")
			require.ErrorAs(t, readErr, &unavailable)
			require.Eventually(t, func() bool { return server.Counters().Commits == c.applied }, eventuallyTimeout, 5*time.Millisecond)
		})
	}
}

func TestUncertainCommitIsNotRepeated(t *testing.T) {
	server, client := startPlatform(t, tablestore.Faults{LostReplies: 1}, nil)
	var uncertain *platform.UncertainError
	require.ErrorAs(t, client.Table().Commit(t.Context(), put("k", "v")), &uncertain)
	require.EqualValues(t, 1, server.Counters().Commits)
	require.Zero(t, client.Stats()[0].Retries)
}

func TestThrottledCommitIsRepeatedAndKeepsTheBreakerClosed(t *testing.T) {
	server, client := startPlatform(t, tablestore.Faults{WritesPerSecond: 20}, nil)
	for range 25 {
		require.NoError(t, client.Table().Commit(t.Context(), put("k", "v")))
	}
	require.Positive(t, server.Counters().Refused)
	require.Positive(t, client.Stats()[0].Retries)
	require.Equal(t, platform.BreakerClosed, client.Stats()[0].Breaker)
}

func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	settings := platform.DefaultSettings(listener.Addr().String())
	require.NoError(t, listener.Close())
	disableRetries(&settings)
	client := platform.NewClient(settings)
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, client.Table().Commit(t.Context(), put("k", "v")), &unavailable)
}

func TestBreakerOpensAndRecovers(t *testing.T) {
	server, client := startPlatform(t, tablestore.Faults{Outage: tablestore.OutageError}, func(s *platform.Settings) {
		disableRetries(s)
		s.Breaker = platform.BreakerSettings{Failures: 3, Cooldown: 500 * time.Millisecond}
	})
	table := client.Table()
	for range 3 {
		_, err := table.Get(t.Context(), "k")
		require.Error(t, err)
	}
	_, err := table.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrBreakerOpen)
	require.Positive(t, client.Stats()[0].RefusedByBreaker)

	server.SetFaults(tablestore.Faults{})
	require.Eventually(t, func() bool {
		_, err := table.Get(t.Context(), "k")
		return err == nil
	}, eventuallyTimeout, 5*time.Millisecond)
	require.Equal(t, platform.BreakerClosed, client.Stats()[0].Breaker)
}

func TestCancelledContextSendsNothing(t *testing.T) {
	server, client := startPlatform(t, tablestore.Faults{}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := client.Table().Commit(ctx, put("k", "v"))
	require.ErrorIs(t, err, context.Canceled)
	require.Zero(t, server.Counters().Commits)
}
