package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
)

// TestTablesUnknownToPeerAreNotLoaded guards against an instance that is ready without a
// configuration because a peer that has none either answered its state request.
func TestTablesUnknownToPeerAreNotLoaded(t *testing.T) {
	e := newEdgeWithPeers(t, 1)
	e.options.Tables = Tables{Operator: "operator", Servers: "servers", Instances: "instances"}
	e.options.Decode = func(string, follow.Row) (catalog.Change, error) { return nil, nil }
	e.applyPeerState(e.clock.now(), &linkpb.State{Tables: []*linkpb.TableState{{Table: "operator"}, {Table: "servers"}}})
	require.False(t, e.canServe())
	e.applyPeerState(e.clock.now(), &linkpb.State{Tables: []*linkpb.TableState{
		{Table: "operator", Version: 3, Full: true}, {Table: "servers", Version: 3, Full: true},
	}})
	require.True(t, e.canServe())
}
