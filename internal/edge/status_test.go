package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestStatusShowsServersThatGetNoRequests covers what an operator asks first.
func TestStatusShowsServersThatGetNoRequests(t *testing.T) {
	e := newEdgeWithPeers(t, 2)
	e.options.Tables = Tables{Operator: "op", Servers: "servers", Instances: "instances"}
	e.replica = follow.NewReplica(e.options.tableNames(), func(string, follow.Row) bool { return true })
	e.SetBounds(Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2})
	now := e.clock.now()
	e.replica.ApplyStoreBatch(now.Add(-2*time.Second), follow.Batch{Table: "op", Version: 3, Full: true})
	e.readFailed["servers"] = true
	c := &catalog.Configuration{
		Version:  7,
		Routes:   []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: "shop", Weight: 1}}, Attempts: 1, Timeout: time.Second}},
		Services: []catalog.Service{{Name: "shop", HealthPath: "/health"}},
	}
	c.Index()
	e.post(&dispatch.CatalogChanged{At: now, Change: &catalog.ConfigurationChange{Configuration: c}})
	for _, id := range []model.BackendName{"w-1", "w-2"} {
		e.post(&dispatch.CatalogChanged{At: now, Change: &catalog.ServerChange{Server: catalog.Server{
			ID: id, Service: "shop", Zone: "zone-0", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Draining: id == "w-2",
		}}})
	}
	send := e.post(&dispatch.RequestArrived{At: now, Request: 1, Host: "h", Path: "/"}).(*dispatch.Send)
	e.post(&dispatch.AttemptEnded{At: now, Request: 1, Attempt: send.Attempt, Result: event.AttemptNotSent})

	s := e.Status(t.Context())
	require.Equal(t, "starting", s.State)
	require.EqualValues(t, 7, s.Configuration.Revision)
	require.Len(t, s.Peers, 2)
	require.Equal(t, control.Platform{State: "open", Reason: "the last read failed: servers"}, s.Platform)
	require.Equal(t, 2, s.Direct.Servers)
	require.Equal(t, []control.RestrictedServer{
		{Server: "w-1", Service: "shop", Zone: "zone-0", Health: "ejected"},
		{Server: "w-2", Service: "shop", Zone: "zone-0", Health: "draining"},
	}, s.Direct.Restricted)
	require.Equal(t, []control.RetryUse{{Service: "shop", FirstSends: 1}}, s.Direct.Retries)
	require.Equal(t, "op", s.Direct.Tables[0].Table)
	require.GreaterOrEqual(t, s.Direct.Tables[0].Age, 2*time.Second)
	require.Negative(t, s.Direct.Tables[1].Age)
}
