package edge

import (
	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// configurationTable is the table name under which instances exchange the newest
// configuration that they know. Its versions are those that the operator gives, which do not
// depend on the store.
const configurationTable = "newest-configuration"

// newestConfiguration is the newest configuration that an instance knows. It is kept apart
// from the copy of the operator's table, in which a restored store may replace it by an older
// one.
type newestConfiguration struct {
	row     follow.Row // in the operator's table
	version int64
	listed  int64 // version that the operator's table lists
}

func (n *newestConfiguration) observe(row follow.Row, c *catalog.Configuration) {
	if c.Version > n.version {
		n.row, n.version = row, c.Version
	}
}

// unlisted reports whether the operator's table lists an older configuration. Otherwise,
// peers receive the newest one with that table.
func (n *newestConfiguration) unlisted() bool { return n.listed < n.version }

// digest returns the digest for peers, or nil if there is nothing to tell them.
func (n *newestConfiguration) digest() *linkpb.TableDigest {
	if !n.unlisted() {
		return nil
	}
	return &linkpb.TableDigest{Table: configurationTable, Complete: n.version, Changed: n.version}
}

// since returns the configuration for a peer that knows a version of it.
func (n *newestConfiguration) since(version int64) *linkpb.TableState {
	state := &linkpb.TableState{Table: configurationTable, Version: n.version}
	if n.unlisted() && n.version > version {
		state.Rows = []*linkpb.TableRow{{Key: n.row.Key, Value: n.row.Value, Version: n.version}}
	}
	return state
}

// applyPeerConfiguration applies the newest configuration that a peer knows.
func (e *Edge) applyPeerConfiguration(now model.Instant, state *linkpb.TableState) {
	for _, row := range batchFromProto(state).Rows {
		change, err := e.decode(e.options.Tables.Operator, row)
		if err != nil {
			e.invalid.row(configurationTable, row.Key, err)
			continue
		}
		if c, ok := change.(*catalog.ConfigurationChange); ok {
			e.panics.Do(contain.Row, func() { e.applyConfiguration(now, row, c) })
		}
	}
}
