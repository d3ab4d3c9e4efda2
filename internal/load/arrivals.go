package load

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the arrival times of one class: a Poisson process whose rate
// changes with the phases.
type arrivals struct {
	random *rand.Rand
	class  *Class
	phases []Phase
	phase  int
	start  time.Duration // of the phase
	at     time.Duration // of the last arrival
}

func newArrivals(e *Experiment, class int) *arrivals {
	return &arrivals{
		random: rand.New(rand.NewPCG(e.Seed, uint64(class))),
		class:  &e.Classes[class],
		phases: e.Phases,
	}
}

// next returns the time of the next arrival since the start and its phase, or
// false after the last phase.
func (a *arrivals) next() (at time.Duration, phase int, ok bool) {
	exposure := a.random.ExpFloat64() // expected arrivals until the next one
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
