package membership

import (
	"cmp"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Settings holds the timeouts and sizes of a Group. Zero fields take the values of
// DefaultSettings.
type Settings struct {
	HeartbeatEvery   time.Duration // period of the heartbeats to each peer
	SuspectAfter     time.Duration // silence after which a peer is suspected
	LinkDownAfter    time.Duration // silence after which a peer is suspected if its link is down
	HoldDown         time.Duration // time from suspicion to death unless the suspicion is refuted
	RetainDead       time.Duration // retention of the records of dead and left instances
	MaxTickGap       time.Duration // longest time between two ticks; a longer one counts as a pause of the process
	PauseGracePeriod time.Duration // messages within this time after a pause may have been buffered and are no evidence
	StartPeriod      time.Duration // longest wait for messages of peers before owning backend servers
	JoinDelay        time.Duration // time from announcing Ready to owning backend servers, so that others release them first
	LoadEvery        time.Duration // minimum time between two published changes of this instance's loads
	ZoneEvery        time.Duration // period of the summaries of a zone
	ZoneLoadEvery    time.Duration // minimum time between two changes of the loads in a zone's summary
	ZoneSilence      time.Duration // age of a zone's summary at which, after a death there, the zone is cut off
	ReplaceAfter     time.Duration // silence after which a link that is reported as up is replaced
	RedialEvery      time.Duration // minimum time between two replacements of a silent link
	FetchEvery       time.Duration // minimum time between two fetches of the same revision

	RingDegree    int // number of heartbeat peers in a large zone
	Bridges       int // number of instances per zone that exchange messages with other zones
	SmallZoneSize int // largest number of live instances in a zone at which they send their own loads to other zones
	MaxEntries    int // maximum length of the list that Entries returns

	// Ownership and BridgeChoice select how backend servers and the role of bridge are
	// assigned to instances.
	Ownership    Weighting
	BridgeChoice Weighting

	// Seeds are the instances to contact before any record or list is known.
	Seeds []Seed
}

// Weighting selects whether the uptime of instances is considered when backend
// servers or the role of bridge are assigned.
type Weighting uint8

// The weightings.
const (
	// PlainHash ignores the uptime.
	PlainHash Weighting = iota
	// ByUptime assigns less to instances with a short uptime.
	ByUptime
)

// Seed is an instance known only from the settings or the platform's list.
type Seed struct {
	ID   model.InstanceID
	Zone model.ZoneName
	Addr string // host:port for links between entry instances
}

// DefaultSettings returns the settings for instances that tick at least every
// 100 ms.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatEvery:   400 * time.Millisecond,
		SuspectAfter:     1200 * time.Millisecond,
		LinkDownAfter:    800 * time.Millisecond,
		HoldDown:         time.Second,
		RetainDead:       time.Hour,
		MaxTickGap:       time.Second,
		PauseGracePeriod: 400 * time.Millisecond,
		StartPeriod:      2 * time.Second,
		JoinDelay:        200 * time.Millisecond,
		LoadEvery:        500 * time.Millisecond,
		ZoneEvery:        time.Second,
		ZoneLoadEvery:    2 * time.Second,
		ZoneSilence:      4 * time.Second,
		ReplaceAfter:     3 * time.Second,
		RedialEvery:      2 * time.Second,
		FetchEvery:       300 * time.Millisecond,
		RingDegree:       6,
		Bridges:          2,
		SmallZoneSize:    4,
		MaxEntries:       8,
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
	s.PauseGracePeriod = cmp.Or(s.PauseGracePeriod, d.PauseGracePeriod)
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
	s.SmallZoneSize = cmp.Or(s.SmallZoneSize, d.SmallZoneSize)
	s.MaxEntries = cmp.Or(s.MaxEntries, d.MaxEntries)
	return s
}
