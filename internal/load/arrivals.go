package load

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the arrival times of one class from a Poisson process whose rate
// changes with the phases.
type arrivals struct {
	random *rand.Rand
	class  *Class
	phases []Phase
	phase  int
	start  time.Duration // start of the current phase
	at     time.Duration // time of the last arrival, or start of the current phase if later
}

func newArrivals(e *Experiment, class int) *arrivals {
	return &arrivals{
		random: rand.New(rand.NewPCG(e.Seed, uint64(class))),
		class:  &e.Classes[class],
		phases: e.Phases,
	}
}

// next returns the time of the next arrival, counted from the start of the run,
// and the index of its phase. After the last phase, ok is false.
func (a *arrivals) next() (at time.Duration, phase int, ok bool) {
	// The integral of the rate up to the next arrival is exponentially distributed
	// with mean 1.
	exposure := a.random.ExpFloat64()
	for a.phase < len(a.phases) {
		p := &a.phases[a.phase]
		rate := a.class.Rate * p.Factors[a.class.Rank]
		left := (a.start + p.Length - a.at).Seconds()
		if exposure < rate*left {
			a.at += time.Duration(exposure / rate * float64(time.Second))
			return a.at, a.phase, true
		}
		exposure -= rate * left
		a.start += p.Length
		a.at = a.start
		a.phase++
	}
	return 0, 0, false
}
