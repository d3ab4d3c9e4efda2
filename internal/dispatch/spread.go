package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Load pattern: objects are nearly equally popular, and a server is the first candidate of two
// to eleven of them by chance. If each request goes to the first candidate, the busiest server
// gets twice the mean of the requests: its queue fills while others are idle. With
// Settings.SpreadObjects, an object therefore has several servers in the region of its first
// candidate, and each request goes to the one with the lowest estimated load.
//
// All instances agree on an object's servers, which follow from the hash alone, so that they
// need not agree on loads: whichever server an instance prefers has the object warm.

const (
	// spreadJitter is the largest random addition to a server's load, as a multiple of its
	// slots. It divides requests evenly among servers of which nothing is known yet.
	spreadJitter = 0.1
	// spreadBusy is the load, as a multiple of a server's slots, above which the servers that
	// are not known to have the object warm count as fuller: there is no room for runs that
	// take over three times as long. Below it, a request does not leave the object's servers.
	spreadBusy = 0.75
	// timeFactorDecay is the time constant after which a reported time factor has lost 63 % of
	// its weight, and timeFactorLife the age from which it is not used. The servers that are
	// slow change about every 600 ms.
	timeFactorDecay = 300 * time.Millisecond
	timeFactorLife  = 4 * timeFactorDecay
	// runLoad is what a request adds to the load of a server that reports its time factor, as
	// a multiple of its slots, so that a slow server counts as fuller also when it is idle.
	runLoad = 0.3
)

// spreads reports whether the requests about an object are balanced over several servers.
func (d *Dispatcher) spreads() bool { return d.settings.SpreadObjects && !d.settings.RandomServers }

// appendSpread appends to the first candidate the other servers that the object is spread over.
func (d *Dispatcher) appendSpread(q *request, first int) {
	// A server that was tried counts: a retry warms no further one.
	for len(d.candidates) < q.spreadOver-len(q.tried) {
		next := -1
		for i, r := range d.ranked {
			if r.server.region == d.ranked[first].server.region && !slices.Contains(d.candidates, r.server) &&
				(next < 0 || r.score < d.ranked[next].score) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		d.candidates = append(d.candidates, d.ranked[next].server)
	}
	d.spread = len(d.candidates)
}

// orderSpread moves the server with the lowest load among those that the object is spread
// over to the front, and returns that load.
func (d *Dispatcher) orderSpread(now model.Instant, q *request) float64 {
	best, lowest := 0, 0.0
	for i, s := range d.candidates[:d.spread] {
		load := d.spreadLoad(now, s, q)
		if i == 0 || load < lowest {
			best, lowest = i, load
		}
	}
	d.candidates[0], d.candidates[best] = d.candidates[best], d.candidates[0]
	return lowest
}

// spreadLoad returns the load by which a server is chosen among those of an object, as a
// multiple of its slots.
func (d *Dispatcher) spreadLoad(now model.Instant, s *server, q *request) float64 {
	load := s.load(now) / float64(max(1, s.entry.Slots))
	if s.timeFactor > 0 {
		if age := now.Sub(s.otherLoadAt); age < timeFactorLife {
			load = (load + runLoad) * (1 + (s.timeFactor-1)*math.Exp(-float64(age)/float64(timeFactorDecay)))
		} else {
			load += runLoad
		}
	}
	load += shedWeight*s.shed.value + spreadJitter*float64(d.nextRandom()>>11)/(1<<53)
	if load > spreadBusy && !s.warm.contains(now, q.object) {
		load += load - spreadBusy
	}
	if s.cold(now) {
		load++
	}
	return load
}
