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
	defaultMaxRetryAfter = 5 * time.Second // bound on a server's own hint
)

// Policy holds the limits under which a Controller admits work.
type Policy struct {
	// Floors are the shares of a service's slot time that each rank with a
	// backlog keeps, 0 to 1 each and at most 1 together.
	Floors [model.RankCount]float64
	// ShiftCap bounds the growth of spill. A zero Window or Fraction admits none.
	ShiftCap config.ShiftCap
	// Turns are this owner's turns among the owners of a service in its zone.
	Turns map[model.ServiceName]config.Turn
	// QueuePerSlot bounds the queue of a service: requests per owned slot.
	QueuePerSlot int
	// MaxWait bounds the expected time in the queue; 0 leaves it to the deadlines.
	MaxWait time.Duration
	// ShedRecovery is the time after which a server that shed a request regains
	// one slot of its limit.
	ShedRecovery time.Duration
	// MaxRetryAfter bounds the pause that a server asks for when it sheds.
	MaxRetryAfter time.Duration
}

func (p Policy) withDefaults() Policy {
	p.QueuePerSlot = lo.CoalesceOrEmpty(p.QueuePerSlot, defaultQueuePerSlot)
	p.ShedRecovery = lo.CoalesceOrEmpty(p.ShedRecovery, defaultShedRecovery)
	p.MaxRetryAfter = lo.CoalesceOrEmpty(p.MaxRetryAfter, defaultMaxRetryAfter)
	return p
}
