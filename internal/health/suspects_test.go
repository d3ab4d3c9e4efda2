package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const testFingerprint = 7

func TestRequestThatCrashesTwoServersIsBlocked(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.ConnectionBroken(at(1), testFingerprint, "permits-1", at(0.9))
	require.False(t, s.HasStrike(at(1), testFingerprint), "the server has not failed yet")
	s.ServerFailed(at(1.5), "permits-1")
	require.True(t, s.HasStrike(at(1.5), testFingerprint))
	require.False(t, s.Blocked(at(1.5), testFingerprint))

	s.ConnectionBroken(at(5), testFingerprint, "permits-1", at(4.9))
	s.ServerFailed(at(5), "permits-1")
	require.False(t, s.Blocked(at(5), testFingerprint), "two strikes at one server count as one server")

	s.ConnectionBroken(at(9), testFingerprint, "permits-2", at(8.9))
	s.ConnectionBroken(at(9), 8, "permits-2", at(8.8))
	require.True(t, s.Blocked(at(9), testFingerprint), "another connection of the server broke too")
	require.False(t, s.Blocked(at(9), 8))
	require.False(t, s.Blocked(at(9).Add(defaultSuspectLifetime), testFingerprint), "expired")
}

func TestBrokenConnectionAloneIsNoStrike(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.ConnectionBroken(at(1), testFingerprint, "permits-1", at(0))
	s.ServerFailed(at(1).Add(defaultCorrelationWindow+1), "permits-1")
	s.ConnectionBroken(at(9), testFingerprint, "permits-2", at(8))
	s.ServerFailed(at(9), "permits-3")
	require.False(t, s.HasStrike(at(9), testFingerprint))
}

// TestNetworkFailureBlocksNoRequest breaks the connections of a request that many
// callers send at several servers at once. A network failure must not block it.
func TestNetworkFailureBlocksNoRequest(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	for _, backend := range []model.BackendName{"map-1", "map-2", "map-3"} {
		s.ConnectionBroken(at(2), testFingerprint, backend, at(1.9))
		s.ServerFailed(at(2), backend)
	}
	s.Merge(at(3), []membership.Suspect{{Fingerprint: testFingerprint, Servers: []model.BackendName{"map-9"}, Expires: at(2.1).Add(defaultSuspectLifetime)}})
	require.False(t, s.Blocked(at(3), testFingerprint))
	s.Completed(at(4), testFingerprint)
	require.False(t, s.HasStrike(at(4), testFingerprint))
	s.Merge(at(5), []membership.Suspect{{Fingerprint: testFingerprint, Servers: []model.BackendName{"map-1"}, Expires: at(2).Add(defaultSuspectLifetime)}})
	require.False(t, s.HasStrike(at(5), testFingerprint), "a merge must not restore cleared strikes")
}

func TestStrikesMergeAcrossPeers(t *testing.T) {
	a, b := NewSuspectTracker(SuspectSettings{}), NewSuspectTracker(SuspectSettings{})
	a.Strike(at(1), testFingerprint, "permits-1")
	b.Strike(at(4), testFingerprint, "permits-2")
	b.Merge(at(5), a.Snapshot(at(5)))
	require.True(t, b.Blocked(at(5), testFingerprint))
	a.Merge(at(6), b.Snapshot(at(6)))
	require.True(t, a.Blocked(at(6), testFingerprint))
	require.Equal(t, a.Snapshot(at(6)), b.Snapshot(at(6)))
}

// TestSuspectTrackerMatchesReferenceModel compares SuspectTracker, with low bounds, to
// a map of all strikes.
func TestSuspectTrackerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSuspectTracker(SuspectSettings{MaxSuspects: 8, MaxBroken: 4})
		strikes := map[uint64]map[model.BackendName]bool{}
		expires := map[uint64]model.Instant{}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(3, 300).Draw(t, "seconds")) * time.Second)
			fingerprint := rapid.Uint64Range(1, 8).Draw(t, "fingerprint")
			backend := rapid.SampledFrom([]model.BackendName{"a", "b", "c"}).Draw(t, "backend")
			if strikes[fingerprint] == nil || expires[fingerprint] <= now {
				strikes[fingerprint] = map[model.BackendName]bool{}
			}
			s.ConnectionBroken(now, fingerprint, backend, now)
			if rapid.Bool().Draw(t, "fails") {
				s.ServerFailed(now, backend)
				strikes[fingerprint][backend] = true
				expires[fingerprint] = now.Add(defaultSuspectLifetime)
			}
			for fp, servers := range strikes {
				live := now < expires[fp]
				require.Equal(t, live && len(servers) >= 2, s.Blocked(now, fp))
				require.Equal(t, live && len(servers) >= 1, s.HasStrike(now, fp))
			}
		}
	})
}

func TestSuspectsAreBounded(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{MaxSuspects: 8, MaxBroken: 4})
	for i := range uint64(100) {
		s.ConnectionBroken(at(1), i, "a", at(1))
		s.Strike(at(float64(i)), 1000+i, "b")
	}
	require.LessOrEqual(t, len(s.byFingerprint), 8)
	require.LessOrEqual(t, len(s.broken), 4)
	require.True(t, s.HasStrike(at(100), 1099), "the newest strike must not be evicted")
}

// TestRequestInFlightAtEveryCrashIsNotBlocked has one request that many callers send
// in flight whenever another request crashes a server. Only the crashing request
// may be blocked.
func TestRequestInFlightAtEveryCrashIsNotBlocked(t *testing.T) {
	const popular, crashing = 1, 2
	s := NewSuspectTracker(SuspectSettings{})
	s.Completed(at(1), popular)
	for i, server := range []model.BackendName{"permits-1", "permits-2"} {
		started := at(float64(10 * (i + 1)))
		broke := started.Add(20 * time.Millisecond)
		s.ConnectionBroken(broke, popular, server, started)
		s.ConnectionBroken(broke, crashing, server, started)
		s.ServerFailed(broke.Add(time.Millisecond), server)
	}
	require.False(t, s.Blocked(at(30), popular))
	require.False(t, s.HasStrike(at(30), popular))
	require.True(t, s.Blocked(at(30), crashing))
}

// TestRequestWhoseServersFallSilentIsBlocked has servers that lose their power beneath a
// request: nothing refuses a connection or breaks one.
func TestRequestWhoseServersFallSilentIsBlocked(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.Unanswered(at(2), testFingerprint, "permits-1", at(1))
	require.Equal(t, []uint64{testFingerprint}, s.ServerSilent(at(3), "permits-1", at(0.9)))
	s.Unanswered(at(12), testFingerprint, "permits-2", at(11))
	s.ServerSilent(at(13), "permits-2", at(10.9))
	require.True(t, s.Blocked(at(13), testFingerprint))
}

// TestRequestThatCrashesServersInTheirResponsesIsBlocked guards against a request whose servers
// begin to respond and then crash.
func TestRequestThatCrashesServersInTheirResponsesIsBlocked(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(s *SuspectTracker, now model.Instant, backend model.BackendName, lastAnswer model.Instant) []uint64
		wait time.Duration // until the server is known to have failed
	}{
		{"refuses connections", func(s *SuspectTracker, now model.Instant, backend model.BackendName, _ model.Instant) []uint64 {
			return s.ServerFailed(now, backend)
		}, time.Second},
		{"silent", (*SuspectTracker).ServerSilent, 5 * time.Second},
		{"started again", (*SuspectTracker).ServerEnded, 5 * time.Second},
	} {
		s := NewSuspectTracker(SuspectSettings{})
		now := at(1)
		for _, backend := range []model.BackendName{"permits-1", "permits-2"} {
			s.ResponseTruncated(now, testFingerprint, backend, now.Add(-100*time.Millisecond))
			lastAnswer := now.Add(-50 * time.Millisecond)
			now = now.Add(test.wait)
			require.Equal(t, []uint64{testFingerprint}, test.fail(s, now, backend, lastAnswer), test.name)
			now = now.Add(10 * time.Second)
		}
		require.True(t, s.Blocked(now, testFingerprint), test.name)
	}
}

// TestTruncatedResponsesAreNoFailure covers a faulty server that truncates responses and runs on.
func TestTruncatedResponsesAreNoFailure(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	for i := range uint64(5) {
		s.ResponseTruncated(at(1), i, "permits-1", at(0.9))
	}
	require.Empty(t, s.ConnectionBroken(at(1.1), testFingerprint, "permits-1", at(0.9)), "the first broken connection")
	require.Empty(t, s.Snapshot(at(1.1)))
}

// TestLateAnswersAreNoStrike covers servers that are too slow for their callers.
func TestLateAnswersAreNoStrike(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.Unanswered(at(2), testFingerprint, "permits-1", at(1))
	require.Empty(t, s.ServerSilent(at(5), "permits-1", at(2.5)), "the server has answered since")
	s.Unanswered(at(6), testFingerprint, "permits-2", at(5))
	require.Empty(t, s.ServerFailed(at(6.5), "permits-2"), "the caller left before the server failed")
	s.Unanswered(at(7), testFingerprint, "permits-3", at(6))
	require.Empty(t, s.ServerSilent(at(7).Add(defaultEvidenceWindow+1), "permits-3", at(5)), "too long ago")
	require.False(t, s.HasStrike(at(7), testFingerprint))
}

// TestServerThatIsBackBeforeItIsMissedIsAStrike has servers whose next start is known only
// after they have accepted a health check.
func TestServerThatIsBackBeforeItIsMissedIsAStrike(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.ConnectionBroken(at(1), testFingerprint, "permits-1", at(0.9))
	require.Equal(t, []uint64{testFingerprint}, s.ServerEnded(at(5), "permits-1", at(0.5)))
	s.Unanswered(at(11), testFingerprint, "permits-2", at(10))
	s.ServerEnded(at(15), "permits-2", at(9))
	require.True(t, s.Blocked(at(15), testFingerprint))
}

// TestBlockOutlivesManySuspects guards against a block that is forgotten because more requests
// were in flight at servers that crashed than a tracker holds.
func TestBlockOutlivesManySuspects(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.Strike(at(1), testFingerprint, "permits-1")
	s.Strike(at(2), testFingerprint, "permits-2")
	for i := range uint64(3 * membership.MaxSuspects) {
		s.Strike(at(3), 1000+i, "permits-3")
	}
	require.True(t, s.Blocked(at(4), testFingerprint))
	s.Strike(at(5), 8, "permits-4")
	require.True(t, s.HasStrike(at(5), 8), "the latest strike is kept")
	s.Merge(at(6), []membership.Suspect{{Fingerprint: 9, Servers: []model.BackendName{"permits-5"}, Expires: at(6).Add(time.Second)}})
	require.False(t, s.HasStrike(at(6), 9), "one that expires before all others is not")
	require.Len(t, s.Snapshot(at(6)), membership.MaxSuspects)
}

// TestTakeChangesReturnsEachChangeOnce covers what peers are told.
func TestTakeChangesReturnsEachChangeOnce(t *testing.T) {
	s := NewSuspectTracker(SuspectSettings{})
	s.Strike(at(1), testFingerprint, "permits-1")
	require.Equal(t, s.Snapshot(at(1)), s.TakeChanges(at(1)))
	require.Empty(t, s.TakeChanges(at(1)))
	s.Completed(at(2), testFingerprint)
	changes := s.TakeChanges(at(2))
	require.Len(t, changes, 1)
	require.True(t, changes[0].Cleared())
}
