package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestDigestWithStaleEchoIsIgnored guards against treating a copy as more recent than
// it is. A peer may still return the send time of an earlier process with the same identifier,
// whose clock may have been ahead.
func TestDigestWithStaleEchoIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		echo     func(started, now int64) int64
		held     time.Duration
		accepted bool
	}{
		"of this process":          {echo: func(started, _ int64) int64 { return started }, accepted: true},
		"no echo":                  {echo: func(int64, int64) int64 { return 0 }},
		"of an earlier process":    {echo: func(started, _ int64) int64 { return started - 1 }},
		"of a clock that is ahead": {echo: func(_, now int64) int64 { return now }, held: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEdgeWithPeers(t, 1)
			table := "rows"
			e.replica = follow.NewReplica([]string{table}, func(string, follow.Row) bool { return true })
			e.replica.ApplyStoreBatch(1, follow.Batch{Table: table, Version: 4, Full: true})
			now := e.clock.now()
			e.digestReceived(now, "e-0", &linkpb.StateDigest{
				SentNs: 7,
				EchoNs: c.echo(e.options.Self.StartedNanos, int64(now)),
				HeldNs: int64(c.held),
				Tables: []*linkpb.TableDigest{{Table: table, Complete: 5, Changed: 4, AgeNs: 1}},
			})
			if c.accepted {
				require.Equal(t, model.Instant(e.options.Self.StartedNanos-1), e.replica.FreshAt(table))
			} else {
				require.EqualValues(t, 1, e.replica.FreshAt(table))
			}
			echo, _ := e.echoes.Echo(now, "e-0")
			require.EqualValues(t, 7, echo)
		})
	}
}
