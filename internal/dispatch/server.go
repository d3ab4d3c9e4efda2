package dispatch

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// server is what this instance knows of one backend server.
type server struct {
	entry  catalog.Server
	region model.RegionName
	hash   uint64

	inFlight    int           // requests that this instance has sent to it
	otherLoad   float64       // requests of other instances, as last reported
	otherLoadAt model.Instant // when others was reported
	coldUntil   model.Instant
	coldSends   pacing.Window
	warm        warmSet

	misdirected  bool // another server answers at its address
	failures     int  // in a row
	ejectedUntil model.Instant
	probing      bool
	suspected    bool          // left alone for its silence only; it is not known to have failed
	busySince    model.Instant // when inFlight last left 0
	answeredAt   model.Instant // last answer, of any kind
	listedAt     model.Instant // when this instance learnt of it
	unlistedAt   model.Instant // when its entry vanished, 0 while it is listed
	shed         average
}

// othersFade is the time in which a reported load of other instances loses 63 % of
// its weight: about two mean run times of the services that have been measured.
const otherLoadDecay = time.Second

// load returns the requests that the server is believed to hold.
func (s *server) load(now model.Instant) float64 {
	age := now.Sub(s.otherLoadAt).Seconds() / otherLoadDecay.Seconds()
	return float64(s.inFlight) + s.otherLoad*math.Exp(-age)
}

// reported takes over the server's own word. held is how many of the requests
// that it counts are this instance's.
func (s *server) applyReport(now model.Instant, r *ServerReport, ownRequests int) {
	if r.HasLoad {
		s.otherLoad = float64(max(0, r.Running+r.Waiting-ownRequests))
		s.otherLoadAt = now
	}
	if r.HasCold {
		s.coldUntil = now.Add(r.ColdLeft)
	}
}

func (s *server) cold(now model.Instant) bool { return now < s.coldUntil }

// average is an exponentially weighted mean of observations.
type average struct {
	value float64
	n     int
}

// averageWeight is the weight of the latest observation once there are several.
const averageWeight = 0.15

func (a *average) add(v float64) {
	a.n++
	weight := max(averageWeight, 1/float64(a.n))
	a.value += weight * (v - a.value)
}

// warmth remembers which objects a server has handled lately.
type warmSet map[uint64]model.Instant

// warmFor is how long a server is believed to know an object after it handled it.
const warmTTL = 20 * time.Second

// maxWarm bounds the objects that are remembered for one server.
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
