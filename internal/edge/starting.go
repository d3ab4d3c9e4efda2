package edge

import (
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// linkTimeout is the time since the start in which the links to peers come up and the
	// peers tell whether they have a copy of the servers' table.
	linkTimeout = 600 * time.Millisecond
	// copyTimeout is the time since the start until which a peer may be sending its copy.
	copyTimeout = 2 * time.Second
	// copyAttemptTimeout is the time after which the next peer is asked although the previous one has
	// not answered.
	copyAttemptTimeout = 400 * time.Millisecond
)

// startup decides whether a starting instance reads the servers' table from the store or
// waits for the copy of a peer in its availability zone. Without peers, hundreds of instances
// that start at the same moment would each read thousands of rows. It is not safe for
// concurrent use.
type startup struct {
	began  model.Instant
	listed bool // the instances' table is known, and links to the peers in it are requested
	peers  map[model.InstanceID]peerCopy
}

// peerCopy is what a starting instance knows of a peer's copy of the servers' table.
type peerCopy int

const (
	copyUnknown   peerCopy = iota // the link is not up yet
	copyRequested                 // no answer yet
	copyMissing                   // the peer has no recent copy, or cannot be reached
)

func newStartup(began model.Instant) *startup {
	return &startup{began: began, peers: map[model.InstanceID]peerCopy{}}
}

// linkRequested records that a link to a peer in this availability zone is being opened.
func (s *startup) linkRequested(peer model.InstanceID) { s.peers[peer] = copyUnknown }

// linkDown records that a peer cannot be reached. Other instances are ignored.
func (s *startup) linkDown(peer model.InstanceID) {
	if _, ok := s.peers[peer]; ok {
		s.peers[peer] = copyMissing
	}
}

// requestCopy reports whether to ask a peer, whose link is up, for its copy.
func (s *startup) requestCopy(peer model.InstanceID) bool {
	if _, ok := s.peers[peer]; !ok {
		return false
	}
	s.peers[peer] = copyRequested
	return true
}

// copyAnswered records that a peer has no recent copy or has not sent it in time.
func (s *startup) copyAnswered(peer model.InstanceID) { s.linkDown(peer) }

// mayReadStore reports whether this instance need not wait for a peer's copy any longer:
// no peer has one, or the peers take too long.
func (s *startup) mayReadStore(now model.Instant) bool {
	waited := now.Sub(s.began)
	if waited >= copyTimeout {
		return true
	}
	pending := !s.listed
	for _, c := range s.peers {
		if c == copyRequested {
			return false
		}
		pending = pending || c == copyUnknown
	}
	return !pending || waited >= linkTimeout
}

// waitsForCopy reports whether this instance is starting and expects the servers' table from
// a peer in its availability zone. The caller must hold fleetMu.
func (e *Edge) waitsForCopy(now model.Instant) bool {
	return e.replica.Version(e.options.Tables.Servers) == 0 && !e.startup.mayReadStore(now)
}

// inOtherRegion reports whether an instance is listed in another region. The caller must hold
// fleetMu.
func (e *Edge) inOtherRegion(id model.InstanceID) bool {
	zone := e.listed[id].entry.Zone
	return zone != "" && e.options.Regions[zone] != e.options.Region
}

// requestCopy asks a peer for its copy of the store when its turn comes, unless another peer
// has sent one meanwhile.
func (e *Edge) requestCopy(peer model.InstanceID) {
	select {
	case e.copyTurns <- struct{}{}:
	case <-e.ctx.Done():
		return
	}
	endTurn := sync.OnceFunc(func() { <-e.copyTurns })
	defer endTurn()
	defer time.AfterFunc(copyAttemptTimeout, endTurn).Stop()
	if e.Version(e.options.Tables.Servers) > 0 {
		return
	}
	asked, state, err := e.requestState(peer, copyTimeout)
	if err == nil && e.hasRecentServers(state) {
		e.applyPeerState(asked, state)
		return
	}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.startup.copyAnswered(peer)
}

// hasRecentServers reports whether a peer's answer contains a copy of the servers' table
// that is recent enough to serve with.
func (e *Edge) hasRecentServers(state *linkpb.State) bool {
	table := e.options.Tables.Servers
	for _, t := range state.GetTables() {
		if t.GetTable() == table {
			return t.GetVersion() > 0 && time.Duration(t.GetAgeNs()) <= e.maxAge(table)
		}
	}
	return false
}
