package dispatch

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// server is the state of one backend server as seen by this instance.
type server struct {
	entry  catalog.Server
	region model.RegionName
	hash   uint64

	standing exclusion // why it may take no request, as in the service's index
	position int       // in regionServers.usable

	inFlight    int           // requests of this instance that are at the server
	otherLoad   float64       // requests of other instances, as last reported
	otherLoadAt model.Instant // when otherLoad was reported
	timeFactor  float64       // run time as a multiple of the usual one when otherLoad was reported
	usualLoad   average       // of other instances' requests, over reports
	regionLoad  *average      // the same over all servers of the service in the region
	sent        float64       // requests of this instance, of which earlier ones count less
	coldUntil   model.Instant
	coldAsOf    model.Instant // when the report or entry that set coldUntil arrived
	coldSends   pacing.Window
	warm        warmSet
	terms       serverTerms

	misdirected  bool // a different server answers at its address
	failures     int  // consecutive failures
	ejectedUntil model.Instant
	probing      bool
	probedBroken bool          // the health check in progress was started by probeBroken
	unreachable  bool          // its last health check got no connection, and it has not answered since
	suspected    bool          // ejected only because it is silent; not known to have failed
	busySince    model.Instant // when inFlight last left 0
	answeredAt   model.Instant // last answer of any kind to a request
	checkedAt    model.Instant // last health check that passed
	listedAt     model.Instant // when this instance first saw its entry
	unlistedAt   model.Instant // when its entry disappeared, 0 while it is listed
	// removedAt is when it was removed although it had not reported that it leaves, otherwise 0.
	removedAt model.Instant
	shed      average
}

// incarnation names one start of the server, so that a failure after the next start counts as
// that of another server.
func (s *server) incarnation() model.BackendName {
	return model.BackendName(s.entry.Incarnation())
}

// otherLoadDecay is the time constant after which a reported load of other instances has
// lost 63 % of its weight: about two mean run times of a typical service.
const otherLoadDecay = time.Second

// load returns the estimated number of requests at the server. A reported load of other
// instances fades to what is usual, because an instance of a large fleet hears from a
// server less often than the server's load changes.
func (s *server) load(now model.Instant) float64 {
	age := now.Sub(s.otherLoadAt).Seconds() / otherLoadDecay.Seconds()
	usual := s.expectedOtherLoad()
	return float64(s.inFlight) + usual + (s.otherLoad-usual)*math.Exp(-age)
}

// minLoadReports is the number of reports before a server's own mean is used.
const minLoadReports = 3

// expectedOtherLoad returns the load of other instances that is usual at the server, or at
// the servers of its service in its region while it has reported too little.
func (s *server) expectedOtherLoad() float64 {
	if s.usualLoad.n >= minLoadReports {
		return s.usualLoad.value
	}
	return s.regionLoad.value
}

// applyReport applies the load and cold state that the server reported. reportedAt is when the
// report arrived, which may be long ago if it came with the head of an answer. ownRequests is
// how many of the requests in the report were sent by this instance.
func (s *server) applyReport(now, reportedAt model.Instant, r *ServerReport, ownRequests int) {
	if r.HasLoad {
		s.otherLoad = float64(max(0, r.Running+r.Waiting-ownRequests))
		s.otherLoadAt = now
		s.timeFactor = r.TimeFactor
		s.usualLoad.add(s.otherLoad)
		s.regionLoad.add(s.otherLoad)
	}
	if r.HasCold && reportedAt >= s.coldAsOf {
		s.coldUntil, s.coldAsOf = reportedAt.Add(r.ColdLeft), reportedAt
	}
}

func (s *server) cold(now model.Instant) bool { return now < s.coldUntil }

// average is an exponentially weighted mean of observations.
type average struct {
	value float64
	n     int
}

// averageWeight is the minimum weight of the latest observation. The first observations
// weigh more, as in a plain mean.
const averageWeight = 0.15

func (a *average) add(v float64) { a.addWeighted(v, averageWeight) }

// addWeighted adds an observation with a minimum weight of its own.
func (a *average) addWeighted(v, least float64) {
	a.n++
	weight := max(least, 1/float64(a.n))
	a.value += weight * (v - a.value)
}

// warmSet holds the objects that a server has handled recently, with the time of the
// last request.
type warmSet map[uint64]model.Instant

// warmTTL is how long an object is assumed to stay warm after a server handled it.
const warmTTL = 20 * time.Second

// maxWarmObjects bounds the number of objects stored per server.
const maxWarmObjects = 256

func (w warmSet) contains(now model.Instant, object uint64) bool {
	at, ok := w[object]
	return ok && now.Sub(at) < warmTTL
}

func (w warmSet) add(now model.Instant, object uint64) {
	if _, ok := w[object]; !ok && len(w) >= maxWarmObjects {
		w.evictOldest()
	}
	w[object] = now
}

func (w warmSet) evictOldest() {
	var oldest uint64
	at := model.Instant(math.MaxInt64)
	for object, t := range w {
		if t < at || (t == at && object < oldest) {
			oldest, at = object, t
		}
	}
	delete(w, oldest)
}
