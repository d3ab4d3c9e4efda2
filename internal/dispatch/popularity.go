package dispatch

import (
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// MinSpread and MaxSpread are the least and the largest number of servers over which an object
// is spread.
const (
	MinSpread = 2
	MaxSpread = 4
)

const (
	// popularityColumns is the number of counters in each row of popularity.
	popularityColumns = 1024
	// popularityHalving is how often the counters are halved.
	popularityHalving = 10 * time.Second
	// popularityRequests is the number of recent requests of this instance from which an
	// object's own share is used. With fewer, only the mean share of the route's objects is.
	popularityRequests = 10
	// minShareRequests is the number of recent requests from which a share is observed: with
	// fewer, a single one is a large share.
	minShareRequests = 50
	// shareWeight is the least weight of a request in the mean share of a route's objects.
	shareWeight = 0.005
)

// popularity estimates the shares of objects in the load of a service from the requests of this
// instance. It counts run times in a table of fixed size, in which two objects rarely have
// both counters in common.
type popularity struct {
	counters [2][popularityColumns]float32 // seconds of run time
	total    float64
	halvedAt model.Instant
}

// add counts a request and returns the load of its object and of all objects before it.
func (p *popularity) add(object uint64, run float64) (own, all float64) {
	a, b := &p.counters[0][object%popularityColumns], &p.counters[1][object>>32%popularityColumns]
	own, all = float64(min(*a, *b)), p.total
	// Only the lower counter is raised, so that an object adds little to another's.
	counted := float32(own + run)
	*a, *b = max(*a, counted), max(*b, counted)
	p.total += run
	return own, all
}

func (p *popularity) halve(now model.Instant) {
	if now.Sub(p.halvedAt) < popularityHalving {
		return
	}
	p.halvedAt = now
	for row := range p.counters {
		for i := range p.counters[row] {
			p.counters[row][i] /= 2
		}
	}
	p.total /= 2
}

const (
	// thirdServerLoad is the load of an object, as a multiple of the mean load of a server,
	// from which it is spread over a third server. thirdServerOff is the load below which a
	// route's objects lose it.
	thirdServerLoad = 0.88
	thirdServerOff  = 0.7
	// fourthServerLoad is the same for a fourth server.
	fourthServerLoad = 4
	// minRepeats is the number of earlier requests about the same objects, summed over a
	// route's requests, from which the mean share of its objects is used: it is then known to
	// 8 %. Instances that take a load for another side of thirdServerLoad warm servers in vain.
	minRepeats = 150
	// minOutlierRepeats is the same from which objects with popularFactor times the mean share,
	// and as many earlier requests, are left out of the mean: they say nothing of the others.
	minOutlierRepeats = 16
	popularFactor     = 4
	// minRunTime is the least run time that a request is counted with, in seconds.
	minRunTime = 0.001
)

// notePopularity counts a request that has arrived and decides over how many servers its
// object is spread.
//
// The load pattern is a route with hardly more objects than its service has servers: two
// servers for each object leave the busiest one with twice the mean. All instances see the same
// mean share of a route's objects, and an object that is far more popular soon enough.
func (d *Dispatcher) notePopularity(now model.Instant, q *request) {
	svc := d.service(q.service)
	if svc.popularity == nil {
		svc.popularity = &popularity{}
	}
	run := max(minRunTime, q.runTimes.slotTime().Seconds())
	own, all := svc.popularity.add(q.object, run)
	servers := float64(svc.capacity.localServers + svc.capacity.otherServers)
	r := q.runTimes
	known := own >= popularityRequests*run
	outlier := r.repeats >= minOutlierRepeats && own >= popularFactor*max(run, r.objectShare.value*all)
	if all >= minShareRequests*run && !outlier {
		r.objectShare.addWeighted(own/all, shareWeight)
		r.repeats += own / run
	}
	before := r.thirdServer
	switch load := r.objectShare.value * servers; {
	case r.repeats < minRepeats:
	case load >= thirdServerLoad:
		r.thirdServer = true
	case load < thirdServerOff:
		r.thirdServer = false
	}
	if r.thirdServer != before {
		message := "objects are spread over two servers"
		if r.thirdServer {
			message = "objects are spread over three servers"
		}
		d.record(now, string(q.route.Name), message, fmt.Sprintf("one is %.2f of the mean load of a server", r.objectShare.value*servers))
	}
	q.spreadOver = MinSpread
	switch {
	case known && own*servers >= fourthServerLoad*all:
		q.spreadOver = MaxSpread
	case r.thirdServer, known && own*servers >= thirdServerLoad*all:
		q.spreadOver = 3
	}
	d.spreadRequests[q.spreadOver]++
}

// halvePopularity lets the counts of earlier requests fade.
func (d *Dispatcher) halvePopularity(now model.Instant) {
	for _, s := range d.services {
		if s.popularity != nil {
			s.popularity.halve(now)
		}
	}
}
