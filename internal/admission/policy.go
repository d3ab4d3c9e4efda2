package admission

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Defaults of the Policy fields that are left at zero.
const (
	defaultQueuePerSlot  = 100             // requests
	defaultShedRecovery  = time.Second     // per slot
	defaultMaxRetryAfter = 5 * time.Second // bound of the Retry-After of a server
)

// Policy holds the limits under which a Controller admits work.
type Policy struct {
	// Floors are the shares of a service's slot time that are guaranteed to each
	// rank with a backlog. Each is between 0 and 1, and their sum is at most 1.
	Floors [model.RankCount]float64
	// ShiftCap bounds the growth of spill. With a zero Window or Fraction no spill
	// is admitted.
	ShiftCap config.ShiftCap
	// Turns holds, for each service, the times at which this owner may take a ramp
	// step, so that the owners of the service in a zone alternate.
	Turns map[model.ServiceName]config.Turn
	// QueuePerSlot is the maximum queue length of a service, in requests per owned
	// slot.
	QueuePerSlot int
	// MaxWait bounds the expected time in the queue. At 0, only the deadlines bound
	// it.
	MaxWait time.Duration
	// ShedRecovery is the time after which a server that shed a request regains
	// one slot of its limit.
	ShedRecovery time.Duration
	// MaxRetryAfter bounds the pause that a server requests when it sheds.
	MaxRetryAfter time.Duration
}

func (p Policy) withDefaults() Policy {
	p.QueuePerSlot = lo.CoalesceOrEmpty(p.QueuePerSlot, defaultQueuePerSlot)
	p.ShedRecovery = lo.CoalesceOrEmpty(p.ShedRecovery, defaultShedRecovery)
	p.MaxRetryAfter = lo.CoalesceOrEmpty(p.MaxRetryAfter, defaultMaxRetryAfter)
	return p
}
