package control

import (
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// NewPeer converts a peer as the membership group sees it.
func NewPeer(now model.Instant, p *membership.Peer) Peer {
	out := Peer{
		Instance:    p.Record.ID,
		Zone:        p.Record.Zone,
		State:       p.Record.State.String(),
		Reachable:   p.Health == membership.HealthAlive,
		Incarnation: p.Record.Incarnation,
		Revision:    p.Record.Revision,
		LinkAddr:    p.Record.LinkAddr,
		CallerAddr:  p.Record.CallerAddr,
		ControlAddr: p.Record.ControlAddr,
	}
	if p.Health == membership.HealthDead || p.Health == membership.HealthListed {
		out.State = string(p.Health)
	}
	if p.Silence >= 0 {
		out.LastHeard = now.Add(-p.Silence).Time()
	}
	return out
}
