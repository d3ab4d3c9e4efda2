package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// placementBuckets is the number of buckets of objects. All objects of a bucket have the same
// candidates, so that the rankings of a service take a bounded amount of memory. All
// instances must agree on it.
const placementBuckets = 1 << 14

// placement is an index of a service's servers. A choice takes the same time with any number
// of servers: for each bucket of objects that is in use, it holds the first servers of each
// region, and brings them up to date by the changes since the bucket was last used.
type placement struct {
	regions []*regionServers
	buckets map[uint64][]ranking // by region, as in regions
}

// regionServers are the servers of a service in a region.
type regionServers struct {
	region   model.RegionName
	usable   []*server           // in no particular order
	excluded [exclusionCount]int // other servers, by reason
	// changes are the latest changes to usable. The first of them has number firstChange.
	changes     []usableChange
	firstChange int
}

type usableChange struct {
	server *server
	usable bool
}

// ranking holds the usable servers of a region that rank first for a bucket.
type ranking struct {
	first    []rankedServer // the lowest score first
	complete bool           // first holds all usable servers
	upTo     int            // number of the first change that is not applied
	built    bool
}

const (
	// rankedServers is the number of servers in a new ranking. A request needs two, beside
	// those that it has tried.
	rankedServers = 4
	// minRankedServers is the number of servers below which a ranking is built anew.
	minRankedServers = 3
	// maxChanges bounds the changes that are kept. A bucket that has missed more is ranked
	// anew.
	maxChanges = 512
)

func newPlacement() *placement { return &placement{buckets: map[uint64][]ranking{}} }

func (p *placement) regionOf(name model.RegionName) *regionServers {
	for _, r := range p.regions {
		if r.region == name {
			return r
		}
	}
	r := &regionServers{region: name}
	p.regions = append(p.regions, r)
	return r
}

// rankings returns the rankings of a bucket, up to date, by region as in p.regions.
func (p *placement) rankings(bucket uint64) []ranking {
	list := p.buckets[bucket]
	if len(list) < len(p.regions) {
		list = append(list, make([]ranking, len(p.regions)-len(list))...)
		p.buckets[bucket] = list
	}
	for i, r := range p.regions {
		r.update(&list[i], bucket)
	}
	return list
}

func (r *regionServers) update(k *ranking, bucket uint64) {
	if !k.built || k.upTo < r.firstChange {
		r.rank(k, bucket)
		return
	}
	for _, c := range r.changes[k.upTo-r.firstChange:] {
		if c.usable {
			k.insert(rankedServer{server: c.server, score: rendezvousScore(bucket, c.server.hash)})
		} else {
			k.remove(c.server)
		}
	}
	k.upTo = r.firstChange + len(r.changes)
	if len(k.first) < minRankedServers && !k.complete {
		r.rank(k, bucket)
	}
}

// rank builds a ranking from all usable servers.
func (r *regionServers) rank(k *ranking, bucket uint64) {
	*k = ranking{first: k.first[:0], complete: true, upTo: r.firstChange + len(r.changes), built: true}
	for _, s := range r.usable {
		k.insert(rankedServer{server: s, score: rendezvousScore(bucket, s.hash)})
	}
}

func compareRanked(a, b rankedServer) int {
	if a.score != b.score {
		return cmp.Compare(a.score, b.score)
	}
	return compareByID(a.server, b.server)
}

func (k *ranking) insert(s rankedServer) {
	n := len(k.first)
	switch {
	case !k.complete && (n == 0 || compareRanked(s, k.first[n-1]) > 0):
		return // servers that are not held may rank before it
	case n >= rankedServers && compareRanked(s, k.first[n-1]) > 0:
		k.complete = false
		return
	}
	pos, _ := slices.BinarySearchFunc(k.first, s, compareRanked)
	k.first = slices.Insert(k.first, pos, s)
	if len(k.first) > rankedServers {
		k.first = k.first[:rankedServers]
		k.complete = false
	}
}

func (k *ranking) remove(s *server) {
	k.first = slices.DeleteFunc(k.first, func(r rankedServer) bool { return r.server == s })
}

// note records that a server has become usable or unusable.
func (r *regionServers) note(s *server, usable bool) {
	if usable {
		s.position = len(r.usable)
		r.usable = append(r.usable, s)
	} else {
		last := r.usable[len(r.usable)-1]
		r.usable[s.position], last.position = last, s.position
		r.usable[len(r.usable)-1] = nil
		r.usable = r.usable[:len(r.usable)-1]
	}
	if len(r.changes) >= maxChanges {
		r.firstChange += len(r.changes)
		r.changes = r.changes[:0]
	}
	r.changes = append(r.changes, usableChange{server: s, usable: usable})
}

// index adds a server to the index of its service.
func (d *Dispatcher) index(now model.Instant, s *server) {
	s.standing = d.standingOf(now, s)
	r := d.service(s.entry.Service).placement.regionOf(s.region)
	if s.standing == notExcluded {
		r.note(s, true)
	} else {
		r.excluded[s.standing]++
	}
}

// unindex removes a server from the index of its service.
func (d *Dispatcher) unindex(s *server) {
	r := d.service(s.entry.Service).placement.regionOf(s.region)
	if s.standing == notExcluded {
		r.note(s, false)
	} else {
		r.excluded[s.standing]--
	}
}

// reindex brings the index up to date with what is known of a server. It must be called
// after each change to what standingOf depends on.
func (d *Dispatcher) reindex(now model.Instant, s *server) {
	if d.servers[s.entry.ID] != s || d.standingOf(now, s) == s.standing {
		return
	}
	d.unindex(s)
	d.index(now, s)
}

// reindexByID does so for the server with an identifier, if it is known.
func (d *Dispatcher) reindexByID(now model.Instant, id model.BackendName) {
	if s := d.servers[id]; s != nil {
		d.reindex(now, s)
	}
}

// reindexAll does so for every server.
func (d *Dispatcher) reindexAll(now model.Instant) {
	for _, s := range d.servers {
		d.reindex(now, s)
	}
}

// standingOf returns why a server may take no request at all, if it may not.
func (d *Dispatcher) standingOf(now model.Instant, s *server) exclusion {
	switch {
	case s.misdirected:
		return excludedMisdirected
	case s.leaves():
		return excludedDraining
	case d.evacuations.active[s.entry.Zone]:
		return excludedEvacuated
	case s.ejectedUntil != 0:
		return excludedEjected
	case d.connectionShare(now, s) == 0:
		return excludedConnections
	default:
		return notExcluded
	}
}

// bucketOf returns the bucket of an object.
func bucketOf(object uint64) uint64 { return object % placementBuckets }

// rendezvousScore hashes a bucket of objects and a server to a value in [0, 1).
func rendezvousScore(bucket, server uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], bucket)
	binary.LittleEndian.PutUint64(b[8:], server)
	return float64(xxh3.Hash(b[:])>>11) / (1 << 53)
}
