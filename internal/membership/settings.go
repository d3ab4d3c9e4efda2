package membership

import (
	"cmp"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Settings are the time-outs and sizes of a Group. Zero fields take the values
// of DefaultSettings.
type Settings struct {
	HeartbeatEvery  time.Duration // period of the messages to each peer
	SuspectAfter    time.Duration // silence after which a peer is suspected
	LinkDownAfter   time.Duration // silence that suffices where the link is down
	HoldDown        time.Duration // from suspicion to death, unless refuted
	RetainDead      time.Duration // how long records of dead and left instances are kept
	MaxTickGap      time.Duration // between two ticks; beyond it the instance was frozen
	QuietAfterPause time.Duration // messages received earlier after a pause prove nothing
	StartPeriod     time.Duration // longest wait for peers before owning anything
	JoinDelay       time.Duration // from announcing Ready to owning, so that others release first
	LoadEvery       time.Duration // least time between two changes of the own loads
	ZoneEvery       time.Duration // period of a zone's summary
	ZoneLoadEvery   time.Duration // least time between two changes of the loads in a zone's summary
	ZoneSilence     time.Duration // age of a zone's summary that, with a death there, cuts the zone off
	ReplaceAfter    time.Duration // silence after which a link that seems up is replaced
	RedialEvery     time.Duration // least time between two replacements of a silent link
	FetchEvery      time.Duration // least time between two requests for the same revision

	RingDegree int // heartbeat peers inside a large zone
	Bridges    int // instances a zone that talk to other zones
	SmallZone  int // largest zone whose instances send their own loads to other zones
	MaxEntries int // longest list that Entries returns

	// Ownership and BridgeChoice select how duty is assigned.
	Ownership    Weighting
	BridgeChoice Weighting

	// Seeds are instances to contact before any record or list is known.
	Seeds []Seed
}

// Weighting says whether the time since an instance's start counts when duty is
// assigned.
type Weighting uint8

// The weightings.
const (
	// PlainHash ignores the time since start.
	PlainHash Weighting = iota
	// ByUptime gives young instances less duty.
	ByUptime
)

// Seed is an instance known from settings or the platform's list only.
type Seed struct {
	ID   model.InstanceID
	Zone model.ZoneName
	Addr string // host:port for links between entry instances
}

// DefaultSettings returns the settings for instances that tick at least every
// 100 ms.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatEvery:  400 * time.Millisecond,
		SuspectAfter:    1200 * time.Millisecond,
		LinkDownAfter:   800 * time.Millisecond,
		HoldDown:        time.Second,
		RetainDead:      time.Hour,
		MaxTickGap:      time.Second,
		QuietAfterPause: 400 * time.Millisecond,
		StartPeriod:     2 * time.Second,
		JoinDelay:       200 * time.Millisecond,
		LoadEvery:       500 * time.Millisecond,
		ZoneEvery:       time.Second,
		ZoneLoadEvery:   2 * time.Second,
		ZoneSilence:     4 * time.Second,
		ReplaceAfter:    3 * time.Second,
		RedialEvery:     2 * time.Second,
		FetchEvery:      300 * time.Millisecond,
		RingDegree:      6,
		Bridges:         2,
		SmallZone:       4,
		MaxEntries:      8,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.HeartbeatEvery = cmp.Or(s.HeartbeatEvery, d.HeartbeatEvery)
	s.SuspectAfter = cmp.Or(s.SuspectAfter, d.SuspectAfter)
	s.LinkDownAfter = cmp.Or(s.LinkDownAfter, d.LinkDownAfter)
	s.HoldDown = cmp.Or(s.HoldDown, d.HoldDown)
	s.RetainDead = cmp.Or(s.RetainDead, d.RetainDead)
	s.MaxTickGap = cmp.Or(s.MaxTickGap, d.MaxTickGap)
	s.QuietAfterPause = cmp.Or(s.QuietAfterPause, d.QuietAfterPause)
	s.StartPeriod = cmp.Or(s.StartPeriod, d.StartPeriod)
	s.JoinDelay = cmp.Or(s.JoinDelay, d.JoinDelay)
	s.LoadEvery = cmp.Or(s.LoadEvery, d.LoadEvery)
	s.ZoneEvery = cmp.Or(s.ZoneEvery, d.ZoneEvery)
	s.ZoneLoadEvery = cmp.Or(s.ZoneLoadEvery, d.ZoneLoadEvery)
	s.ZoneSilence = cmp.Or(s.ZoneSilence, d.ZoneSilence)
	s.ReplaceAfter = cmp.Or(s.ReplaceAfter, d.ReplaceAfter)
	s.RedialEvery = cmp.Or(s.RedialEvery, d.RedialEvery)
	s.FetchEvery = cmp.Or(s.FetchEvery, d.FetchEvery)
	s.RingDegree = cmp.Or(s.RingDegree, d.RingDegree)
	s.Bridges = cmp.Or(s.Bridges, d.Bridges)
	s.SmallZone = cmp.Or(s.SmallZone, d.SmallZone)
	s.MaxEntries = cmp.Or(s.MaxEntries, d.MaxEntries)
	return s
}
