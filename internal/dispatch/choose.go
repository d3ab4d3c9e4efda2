package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// regionRoundTrip is the assumed round-trip time between two regions. The
// one-way time in known deployments is 55 ms.
const regionRoundTrip = 110 * time.Millisecond

// choice is the outcome of choosing a server.
type choice struct {
	server *server
	moved  bool // to a region other than that of the first candidate
	// wait is the time until a server may become available; valid only if server is
	// nil.
	wait  time.Duration
	cause model.Cause
}

// choose picks the server with the lowest expected time among the candidates for the
// request's object.
//
// The policy targets a load under which most requests meet their objective only at a
// server that has their object warm. Each object therefore has a few candidates among
// the usable servers, ranked by a hash of object and server and by distance, so that
// all instances agree on them whatever load each one assumes. If all candidates are
// full, the request is refused: another server would take several times as long and
// would evict objects that are warm there.
func (d *Dispatcher) choose(now model.Instant, q *request) choice {
	best := choice{cause: model.CauseNoBackend, wait: defaultRetryAfter}
	var bestCost time.Duration
	candidates := d.candidatesFor(now, q)
	if len(candidates) == 0 {
		if wait := d.shortestTermsWait(now, q); wait > 0 {
			best.wait, best.cause = wait, model.CauseQueueFull
		}
	}
	roomy := d.spread > 1 && d.orderSpread(now, q) < spreadBusy
	for i, s := range candidates {
		if best.server != nil && (i < d.spread || roomy) {
			continue // the object's servers come in the order of their load
		}
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

// candidatesFor returns the usable servers that share a request's object: the server
// ranked first by hash and distance, and the server ranked first by hash alone among
// the others, so that load beyond a region's capacity spreads over all regions. While
// requests may not move between regions, the latter is included only if it is in the
// region of the former. With Settings.SpreadObjects, the server ranked next in the region of the
// first candidate comes between them. Requests that are not sticky use allCandidates instead. The
// result is valid until the next call.
func (d *Dispatcher) candidatesFor(now model.Instant, q *request) []*server {
	q.distance = d.distance(q)
	d.ranked, d.limited = d.ranked[:0], d.limited[:0]
	if q.sticky && !d.settings.RandomServers {
		d.rankFirst(now, q)
	} else {
		d.rankAll(now, q)
	}
	d.candidates, d.spread = d.candidates[:0], 0
	first := -1
	for i := range d.ranked {
		if first < 0 || comparePlacement(d.ranked[i], d.ranked[first]) < 0 {
			first = i
		}
	}
	d.noteLimited(now, q, first)
	if first < 0 {
		return nil
	}
	if !q.sticky {
		return d.allCandidates(now, q, first)
	}
	d.candidates = append(d.candidates, d.ranked[first].server)
	if q.spreadOver > 1 {
		d.appendSpread(q, first)
	}
	if second := d.secondCandidate(now, q, first); second >= 0 && !slices.Contains(d.candidates, d.ranked[second].server) {
		d.candidates = append(d.candidates, d.ranked[second].server)
	}
	return d.candidates
}

// noteLimited counts the request at the servers that would come before the first candidate, but
// for their limits.
func (d *Dispatcher) noteLimited(now model.Instant, q *request, first int) {
	if q.hypothetical {
		return
	}
	for i := range d.limited {
		if first < 0 || d.limited[i].placementCost <= d.ranked[first].placementCost {
			d.limited[i].server.terms.want(now, q)
		}
	}
}

// comparePlacement orders servers by placement cost.
func comparePlacement(a, b rankedServer) int {
	if a.placementCost != b.placementCost {
		return cmp.Compare(a.placementCost, b.placementCost)
	}
	return compareByID(a.server, b.server)
}

// rankFirst fills d.ranked with the servers of each region that may be candidates for a
// request about an object: the first two by hash and those that cost the same. It takes the
// same time with any number of servers.
func (d *Dispatcher) rankFirst(now model.Instant, q *request) {
	p := d.service(q.service).placement
	for i, k := range p.rankings(bucketOf(q.object)) {
		if d.excludedRegion(p.regions[i].region, q) != notExcluded {
			continue
		}
		before := len(d.ranked)
		if d.appendUsable(now, q, k.first) || k.complete {
			continue
		}
		d.ranked = d.ranked[:before]
		for _, s := range p.regions[i].usable {
			if d.excluded(now, s, q) == notExcluded {
				d.ranked = append(d.ranked, d.ranking(s, q))
			}
		}
	}
}

// appendUsable appends to d.ranked the usable ones of the first servers of a ranking, and
// reports whether none of the others can be a candidate.
func (d *Dispatcher) appendUsable(now model.Instant, q *request, first []rankedServer) bool {
	var found int
	var cost time.Duration
	for _, r := range first {
		switch d.excluded(now, r.server, q) {
		case notExcluded:
			r.placementCost = d.placementCost(r.server, q, r.score)
		case excludedLimited:
			r.placementCost = d.placementCost(r.server, q, r.score)
			d.limited = append(d.limited, r)
			continue
		default:
			continue
		}
		if found >= max(2, q.spreadOver) && r.placementCost > cost {
			return true
		}
		if found == 0 {
			cost = r.placementCost
		}
		d.ranked = append(d.ranked, r)
		found++
	}
	return found >= 2 && d.ranked[len(d.ranked)-1].placementCost > cost
}

// rankAll fills d.ranked with all usable servers.
func (d *Dispatcher) rankAll(now model.Instant, q *request) {
	for _, s := range d.byService[q.service] {
		switch d.excluded(now, s, q) {
		case notExcluded:
			d.ranked = append(d.ranked, d.ranking(s, q))
		case excludedLimited:
			d.limited = append(d.limited, d.ranking(s, q))
		default:
		}
	}
}

func (d *Dispatcher) ranking(s *server, q *request) rankedServer {
	score := rendezvousScore(bucketOf(q.object), s.hash)
	return rankedServer{server: s, placementCost: d.placementCost(s, q, score), score: score}
}

// allCandidates returns every usable server, for a request that is equally fast at all
// of them: the servers in the region of the first candidate, or in all regions while
// requests may move.
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

// secondCandidate returns the index of the server ranked first by hash alone among
// those other than first, or -1 if there is none or it may not be used.
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

// rankedServer is a server with its rank for one object; lower values rank first.
type rankedServer struct {
	server        *server
	placementCost time.Duration
	score         float64
}

// placementCost ranks a server for an object by hash and by the network distance to the
// server's region. With Settings.RandomServers it is random.
func (d *Dispatcher) placementCost(s *server, q *request, score float64) time.Duration {
	if d.settings.RandomServers {
		return time.Duration(d.nextRandom() >> 32)
	}
	var placementCost time.Duration
	if q.sticky {
		placementCost = scale(q.objective, hashWeight*score)
	}
	if s.region != d.settings.Region {
		placementCost += q.distance
	}
	return placementCost
}

// distance returns the placement cost of a server in another region.
func (d *Dispatcher) distance(q *request) time.Duration {
	if !q.sticky {
		return regionRoundTrip
	}
	return d.service(q.service).capacity.distance(scale(q.objective, hashWeight))
}

// hashWeight is the placement cost at the highest hash score, as a multiple of the
// request's objective. The higher it is, the less the distance between regions counts.
const hashWeight = 1.0

// wait returns the time until a server may accept a request, 0 if it may immediately.
func (d *Dispatcher) wait(now model.Instant, s *server, q *request) time.Duration {
	wait, _ := d.takes(now, s, q)
	return wait
}

// connectionMargin is the fraction of a server's connection limit that is used. The rest
// covers connections that are being closed, and instances that disagree on the number of
// instances, so that all of them together stay within the limit.
const connectionMargin = 0.8

// minWait is the shortest wait reported for a server without free connections: one
// tick.
const minWait = 100 * time.Millisecond

// connectionShare returns how many connections this instance may open to a server, 0 if the
// instances outnumber the connections and others have them. Connections change hands at
// once: one too many is refused by the server and costs only an attempt.
func (d *Dispatcher) connectionShare(now model.Instant, s *server) int {
	if d.config == nil {
		return math.MaxInt
	}
	svc := d.config.Service(s.entry.Service)
	if svc == nil || svc.MaxConnections <= 0 {
		return math.MaxInt
	}
	units := max(1, int(connectionMargin*float64(svc.MaxConnections)))
	if equal := units / d.instances.Instances(); equal > 0 {
		return equal
	}
	if !d.instances.Listed() {
		return 1
	}
	return d.instances.Share(now, pacing.Bound{Key: s.hash, Units: units, Near: s.region})
}

// queueWaitFactor is the maximum expected wait in a server's queue, as a multiple of the
// request's objective: a late answer is worth less than one in time, but more than a
// refusal. docs/MEASUREMENTS-PLATFORM.md shows the effect of other values.
const queueWaitFactor = 1.0

// queueWait returns the time until a server's queue has room for a request, 0 if it has.
//
// The bound protects against load above the servers' capacity: a queue that grows
// without limit delays every answer beyond its objective, and beyond the time for which
// callers wait.
func (d *Dispatcher) queueWait(now model.Instant, s *server, q *request) time.Duration {
	slots := float64(max(1, s.entry.Slots))
	run := q.runTimes.slotTime()
	return max(0, scale(run, (d.loadAgainst(now, s, q)+1-slots)/slots)-q.maxQueueWait())
}

// defaultRetryAfter is the Retry-After value sent if no server is usable, if there is no
// configuration, and if a failed request may not be retried. It also bounds the value
// sent if all candidates are full. It is about the time that a crashed server takes to
// come back.
const defaultRetryAfter = time.Second

// excluded returns why a server may not take a request, if it may not.
func (d *Dispatcher) excluded(now model.Instant, s *server, q *request) exclusion {
	standing := d.standingOf(now, s)
	switch {
	case standing != notExcluded:
		return standing
	case slices.Contains(q.tried, s):
		return excludedTried
	case d.termsWait(now, s, q) > 0:
		return excludedLimited
	default:
		return d.excludedRegion(s.region, q)
	}
}

// excludedRegion returns why the servers of a region may not take a request, if they may not.
func (d *Dispatcher) excludedRegion(region model.RegionName, q *request) exclusion {
	switch {
	case !q.mayRunIn(region):
		return excludedHomeRegions
	case d.settings.RandomServers && region != d.settings.Region:
		return excludedOtherRegion
	default:
		return notExcluded
	}
}

// cost estimates the time that a request takes at a server beyond the best possible
// time.
func (d *Dispatcher) cost(now model.Instant, s *server, q *request) time.Duration {
	cost := d.placementCost(s, q, rendezvousScore(bucketOf(q.object), s.hash)) + d.queueCost(now, s, q)
	if q.sticky && !s.warm.contains(now, q.object) {
		cost += q.runTimes.missPenalty()
	}
	if s.cold(now) {
		cost += q.runTimes.missPenalty()
	}
	return cost
}

// queueCost estimates the time until a slot is free. It adds a small cost for each
// request already at the server, so that equal servers share the load.
func (d *Dispatcher) queueCost(now model.Instant, s *server, q *request) time.Duration {
	slots := float64(max(1, s.entry.Slots))
	load := s.load(now)
	run := q.runTimes.slotTime()
	waiting := max(0, load+1-slots)
	cost := scale(run, waitWeight*waiting/slots) + scale(run, loadWeight*load/slots)
	return cost + scale(run, shedWeight*s.shed.value)
}

const (
	// loadWeight is the cost of a fully loaded server compared with an idle one, in run
	// times.
	loadWeight = 0.03
	// waitWeight is the fraction of the expected wait that counts as cost. Instances
	// estimate load differently, and agreeing on a server matters more.
	waitWeight = 0.3
	// shedWeight is the cost of a server that refuses everything, in run times.
	shedWeight = 3
)

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// objectHash hashes the object of a request together with its route: the same key may
// name different objects on two routes. Without an affinity key, the path is the key.
func objectHash(r *catalog.Route, affinity, path string) uint64 {
	if affinity == "" {
		affinity = path
	}
	return xxh3.HashString(string(r.Name) + "\x00" + affinity)
}

// nextRandom is a xorshift generator for Settings.RandomServers. Its state is part of
// the Dispatcher, so that Step stays deterministic.
func (d *Dispatcher) nextRandom() uint64 {
	d.randomState ^= d.randomState << 13
	d.randomState ^= d.randomState >> 7
	d.randomState ^= d.randomState << 17
	return d.randomState
}
