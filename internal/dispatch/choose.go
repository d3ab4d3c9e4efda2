package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// regionRoundTrip is the round trip between two regions that is reckoned with: the
// users' regions lie 55 ms apart.
const regionRoundTrip = 110 * time.Millisecond

// choice is the outcome of choosing a server.
type choice struct {
	server *server
	moved  bool // to another region than that of the object's first place
	// wait is, without a server, how long until one may be free.
	wait  time.Duration
	cause model.Cause
}

// choose picks the server with the least expected time for a request among its
// object's places.
//
// It answers a load in which most requests meet their objective only at a server
// that knows their object. Each object has a few places among the usable servers,
// by a hash of object and server and by distance, on which all instances agree
// whatever they believe of the load. When all of them are full the request is
// refused: elsewhere it would take several times as long, and push out objects
// that are known there.
func (d *Dispatcher) choose(now model.Instant, q *request) choice {
	best := choice{cause: model.CauseNoBackend, wait: noServerRetry}
	var bestCost time.Duration
	candidates := d.candidatesFor(now, q)
	for _, s := range candidates {
		if wait := d.wait(now, s, q); wait > 0 {
			if best.server == nil {
				best.wait, best.cause = min(best.wait, wait), model.CauseQueueFull
			}
			continue
		}
		cost := d.cost(now, s, q)
		if best.server == nil || cost < bestCost {
			best.server, best.moved, bestCost = s, s.region != candidates[0].region, cost
		}
	}
	return best
}

// places returns the usable servers among which a request's object is shared: the
// first by hash and distance, and the nearest other by hash alone, so that what a
// region cannot carry spreads over all. Where no more may move between regions, the
// other counts only if it is in the first's region. The result is valid until the
// next call.
func (d *Dispatcher) candidatesFor(now model.Instant, q *request) []*server {
	d.ranked = d.ranked[:0]
	first := -1
	for _, s := range d.byService[q.service] {
		if !d.usable(now, s, q) {
			continue
		}
		score := rendezvousScore(q.object, s.hash)
		d.ranked = append(d.ranked, rankedServer{server: s, placementCost: d.placementCost(s, q, score), score: score})
		if last := len(d.ranked) - 1; first < 0 || d.ranked[last].placementCost < d.ranked[first].placementCost {
			first = last
		}
	}
	d.candidates = d.candidates[:0]
	if first < 0 {
		return nil
	}
	if !q.sticky {
		return d.allCandidates(now, q, first)
	}
	d.candidates = append(d.candidates, d.ranked[first].server)
	if second := d.secondCandidate(now, q, first); second >= 0 {
		d.candidates = append(d.candidates, d.ranked[second].server)
	}
	return d.candidates
}

// anywhere returns every usable server for a request that is as fast at one as at
// another: those of the first's region, or all while requests may move.
func (d *Dispatcher) allCandidates(now model.Instant, q *request, first int) []*server {
	home := d.ranked[first].server
	mayMove := d.mayMove(now, q.service)
	d.candidates = append(d.candidates, home)
	for i, p := range d.ranked {
		if i != first && (mayMove || p.server.region == home.region) {
			d.candidates = append(d.candidates, p.server)
		}
	}
	return d.candidates
}

// secondPlace returns the index of the nearest other by hash alone, or -1 where there
// is none or it may not be used now.
func (d *Dispatcher) secondCandidate(now model.Instant, q *request, first int) int {
	second := -1
	for i, p := range d.ranked {
		if i != first && (second < 0 || p.score < d.ranked[second].score) {
			second = i
		}
	}
	if second < 0 || d.ranked[second].server.region == d.ranked[first].server.region || d.mayMove(now, q.service) {
		return second
	}
	return -1
}

// place is a server as seen from an object.
type rankedServer struct {
	server        *server
	placementCost time.Duration
	score         float64
}

// distance grades servers for an object by hash, and by the way to their region.
func (d *Dispatcher) placementCost(s *server, q *request, score float64) time.Duration {
	if d.settings.Naive {
		return time.Duration(d.nextRandom() >> 32)
	}
	var placementCost time.Duration
	if q.sticky {
		placementCost = scale(q.objective, hashWeight*score)
	}
	if s.region != d.settings.Region {
		placementCost += regionRoundTrip
	}
	return placementCost
}

// hashSpread is how many objectives the hash spreads the servers over: the more, the
// less the distance between regions counts.
const hashWeight = 1.0

// wait returns how long until a server may take a request, 0 for now.
func (d *Dispatcher) wait(now model.Instant, s *server, q *request) time.Duration {
	if d.settings.Naive {
		return d.coldWait(now, s)
	}
	if s.inFlight >= d.connectionShare(s) {
		return max(minWait, q.runTimes.slotTime())
	}
	return max(d.coldWait(now, s), d.queueWait(now, s, q))
}

// connectionMargin is the part of a server's connections that is used, so that
// instances that disagree on their number, and connections that are being closed, stay
// within the bound together.
const connectionMargin = 0.8

// minWait is the shortest time after which a server that has no connection left is
// worth another look: a tick.
const minWait = 100 * time.Millisecond

// connectionPart returns how many connections this instance may have to a server: an
// equal part of what the server takes, and one at least.
func (d *Dispatcher) connectionShare(s *server) int {
	svc := d.config.Service(s.entry.Service)
	if svc == nil || svc.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionMargin*float64(svc.MaxConnections)/float64(max(1, d.instances))))
}

// queueShare bounds the expected wait in a server's queue, in objectives: a late answer
// is worth less than one in time but more than a refusal. The sensitivity is in
// docs/MEASUREMENTS-PLATFORM.md.
const queueWaitFactor = 1.5

// fullFor returns how long until a server's queue has room for a request, 0 for now.
//
// It answers a load above what the servers can carry: a queue that grows without bound
// makes every answer late, and later than callers wait.
func (d *Dispatcher) queueWait(now model.Instant, s *server, q *request) time.Duration {
	slots := float64(max(1, s.entry.Slots))
	run := q.runTimes.slotTime()
	maxWait := scale(q.objective, queueWaitFactor)
	return max(0, scale(run, (s.load(now)+1-slots)/slots)-maxWait)
}

// noServerRetry is when a caller should ask again where no server is in sight:
// about the time after which a server that crashed is back.
const noServerRetry = time.Second

func (d *Dispatcher) usable(now model.Instant, s *server, q *request) bool {
	switch {
	case s.misdirected, s.entry.Draining, d.evacuated[s.entry.Zone]:
		return false
	case s.ejectedUntil != 0:
		return false
	case slices.Contains(q.tried, s):
		return false
	case len(q.route.Homes) > 0 && !slices.Contains(q.route.Homes, s.region):
		return false
	case d.settings.Naive && s.region != d.settings.Region:
		return false
	}
	return true
}

// cost is the expected time that a request takes at a server, compared with the
// best possible.
func (d *Dispatcher) cost(now model.Instant, s *server, q *request) time.Duration {
	cost := d.placementCost(s, q, rendezvousScore(q.object, s.hash)) + d.queueCost(now, s, q)
	if q.sticky && !s.warm.contains(now, q.object) {
		cost += q.runTimes.missPenalty()
	}
	if s.cold(now) {
		cost += q.runTimes.missPenalty()
	}
	return cost
}

// queueCost is the time until a slot is free, and a little for each request that
// is there already, so that equal servers share.
func (d *Dispatcher) queueCost(now model.Instant, s *server, q *request) time.Duration {
	slots := float64(max(1, s.entry.Slots))
	load := s.load(now)
	run := q.runTimes.slotTime()
	waiting := max(0, load+1-slots)
	cost := scale(run, waitWeight*waiting/slots) + scale(run, loadWeight*load/slots)
	return cost + scale(run, shedWeight*s.shed.value)
}

const (
	// loadShare is the part of a run time that a fully loaded server counts for
	// against an idle one.
	loadWeight = 0.03
	// waitShare is the part of the expected wait that counts against a server: beliefs
	// of the load differ between instances, and agreement is worth more.
	waitWeight = 0.3
	// shedShare is how many run times a server counts for that refuses everything.
	shedWeight = 3
)

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// spread maps an object and a server to [0, 1).
func rendezvousScore(object, server uint64) float64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(object >> (8 * i))
		b[8+i] = byte(server >> (8 * i))
	}
	return float64(xxh3.Hash(b[:])>>11) / (1 << 53)
}

// objectOf hashes what a request is about, with its route: the same key of two
// routes may be two objects.
func objectHash(r *catalog.Route, affinity, path string) uint64 {
	if affinity == "" {
		affinity = path
	}
	return xxh3.HashString(string(r.Name) + "\x00" + affinity)
}

// nextRandom is the naive policy's source, so that Step depends on nothing outside.
func (d *Dispatcher) nextRandom() uint64 {
	d.randomState ^= d.randomState << 13
	d.randomState ^= d.randomState >> 7
	d.randomState ^= d.randomState << 17
	return d.randomState
}
