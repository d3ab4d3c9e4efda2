package steering

import (
	"cmp"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Settings configures a Planner. Zero fields take the values of DefaultSettings.
type Settings struct {
	Seed uint64 // of the random number generator that picks among zones and owners

	SameZone    time.Duration // one-way delay inside a zone
	SameRegion  time.Duration // one-way delay between zones of a region
	OtherRegion time.Duration // one-way delay between regions

	RefreshEvery     time.Duration // maximum time between reads of the View
	StaleAfter       time.Duration // age beyond which a load counts as unknown
	Backoff          time.Duration // mean backoff after a refusal
	BackoffJitter    float64       // half width of the jitter, as a fraction of Backoff
	SpillReservation time.Duration // how long spill is reserved for a rank after the shift cap refused it

	// LinkShares is, by rank, the fraction of a link's budget that the rank and all
	// less urgent ones may use together.
	LinkShares [model.RankCount]float64
	LinkBurst  time.Duration // maximum burst, as the time in which it accrues at the full rate
}

// DefaultSettings returns settings that suit the deployment sizes this project is
// designed for.
func DefaultSettings() Settings {
	return Settings{
		Seed:             1,
		SameZone:         100 * time.Microsecond,
		SameRegion:       500 * time.Microsecond,
		OtherRegion:      55 * time.Millisecond,
		RefreshEvery:     50 * time.Millisecond,
		StaleAfter:       5 * time.Second,
		Backoff:          100 * time.Millisecond,
		BackoffJitter:    0.5,
		SpillReservation: 500 * time.Millisecond,
		LinkShares:       [model.RankCount]float64{1, 0.9, 0.5},
		LinkBurst:        200 * time.Millisecond,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.Seed = cmp.Or(s.Seed, d.Seed)
	s.SameZone = cmp.Or(s.SameZone, d.SameZone)
	s.SameRegion = cmp.Or(s.SameRegion, d.SameRegion)
	s.OtherRegion = cmp.Or(s.OtherRegion, d.OtherRegion)
	s.RefreshEvery = cmp.Or(s.RefreshEvery, d.RefreshEvery)
	s.StaleAfter = cmp.Or(s.StaleAfter, d.StaleAfter)
	s.Backoff = cmp.Or(s.Backoff, d.Backoff)
	s.BackoffJitter = cmp.Or(s.BackoffJitter, d.BackoffJitter)
	s.SpillReservation = cmp.Or(s.SpillReservation, d.SpillReservation)
	s.LinkShares = cmp.Or(s.LinkShares, d.LinkShares)
	s.LinkBurst = cmp.Or(s.LinkBurst, d.LinkBurst)
	return s
}
