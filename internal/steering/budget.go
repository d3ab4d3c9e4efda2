package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Transfer is the number of bytes that a request and its response send over a link.
type Transfer struct {
	Upload   int64 // from the ingress to the owner
	Response int64 // from the owner to the ingress
}

// TransferOf returns the expected transfer of a request.
func TransferOf(m *model.RequestMeta) Transfer {
	return Transfer{Upload: max(0, m.BodyBytes), Response: max(0, m.AnswerBytes)}
}

// bucket is a token bucket in bytes. Its level may become negative because the
// size of a response is known only after it was sent.
type bucket struct {
	rate       float64 // bytes per second
	burst      float64 // bytes
	tokens     float64
	refilledAt model.Instant
}

func (b *bucket) refill(now model.Instant) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// setRate changes the rate and keeps the relative fill level.
func (b *bucket) setRate(now model.Instant, rate float64, burst time.Duration) {
	if rate == b.rate {
		return
	}
	level := 1.0
	if b.burst > 0 {
		b.refill(now)
		level = b.tokens / b.burst
	}
	b.rate = rate
	b.burst = rate * burst.Seconds()
	b.tokens = level * b.burst
	b.refilledAt = now
}

// direction limits one direction of a link. The bucket of a rank limits the total
// of that rank and all less urgent ones, so the first bucket holds the whole budget.
type direction struct{ ranks [model.RankCount]bucket }

func (d *direction) allows(now model.Instant, rank model.Rank) bool {
	for r := range rank + 1 {
		d.ranks[r].refill(now)
		if d.ranks[r].tokens <= 0 {
			return false
		}
	}
	return true
}

func (d *direction) charge(now model.Instant, rank model.Rank, bytes int64) {
	for r := range rank + 1 {
		d.ranks[r].refill(now)
		d.ranks[r].tokens -= float64(bytes)
	}
}

// linkState is this instance's share of the link between its region and another.
type linkState struct {
	region            model.RegionName
	budget            float64 // bytes per second in each direction, of all instances together
	outbound, inbound direction
	countedAt         model.Instant // when the instances sharing the link were last counted; 0 forces a new count
	used              Transfer      // by requests that ended
}

// instanceCountTTL is how long a count of the instances sharing a link stays valid.
const instanceCountTTL = time.Second

// linkTable holds the links of this instance's region that have a budget. Traffic
// to regions without an entry is not limited.
type linkTable struct {
	ownRegion model.RegionName
	links     []*linkState
}

func (t *linkTable) configure(text *config.Text, ownRegion model.RegionName) {
	old := *t
	t.ownRegion = ownRegion
	t.links = nil
	for _, link := range text.Limits.Links {
		var other model.RegionName
		switch ownRegion {
		case link.A:
			other = link.B
		case link.B:
			other = link.A
		default:
			continue
		}
		state := &linkState{region: other}
		if old.ownRegion == ownRegion {
			if known := old.linkTo(other); known != nil {
				state = known
			}
		}
		state.budget = float64(link.BytesPerSecond)
		state.countedAt = 0
		t.links = append(t.links, state)
	}
}

// linkTo returns the link to a region, or nil if its traffic is not limited.
func (t *linkTable) linkTo(region model.RegionName) *linkState {
	for _, l := range t.links {
		if l.region == region {
			return l
		}
	}
	return nil
}

// setInstances splits the budget evenly among the instances of both regions. All
// of them use both directions: one for their requests, the other for the responses
// to these.
func (l *linkState) setInstances(now model.Instant, instances int, s Settings) {
	perInstance := l.budget / float64(max(1, instances))
	for rank, share := range s.LinkShares {
		l.outbound.ranks[rank].setRate(now, perInstance*share, s.LinkBurst)
		l.inbound.ranks[rank].setRate(now, perInstance*share, s.LinkBurst)
	}
}

// linkAllows reports whether the link to a region has budget left for a rank. It
// recounts the instances sharing the link when the last count has expired.
func (p *Planner) linkAllows(now model.Instant, rank model.Rank, region model.RegionName, v View) bool {
	l := p.links.linkTo(region)
	if l == nil {
		return true
	}
	if l.countedAt == 0 || now.Sub(l.countedAt) >= instanceCountTTL {
		l.countedAt = now
		l.setInstances(now, v.ReadyInstances(p.links.ownRegion)+v.ReadyInstances(region), p.settings)
	}
	return l.allows(now, rank)
}

func (l *linkState) allows(now model.Instant, rank model.Rank) bool {
	return l.outbound.allows(now, rank) && l.inbound.allows(now, rank)
}

// Sent records that a request was sent according to c and charges the link with
// its expected transfer.
func (p *Planner) Sent(now model.Instant, m *model.RequestMeta, c Choice) {
	if c.cell == nil {
		return
	}
	c.cell.sent++
	c.state.sent++
	c.state.inFlight[m.Rank]++
	if c.Spill {
		c.cell.sentSpill++
	}
	p.charge(now, m.Rank, c, TransferOf(m))
}

// Finished records that a request sent according to c has ended and adjusts the
// link's charge to the actual transfer.
func (p *Planner) Finished(now model.Instant, m *model.RequestMeta, c Choice, actual Transfer) {
	if c.cell == nil {
		return
	}
	// A report received since may already count the request as in use, so these
	// counters can become negative.
	c.cell.sent--
	c.state.sent--
	c.state.inFlight[m.Rank]--
	if c.Spill {
		c.cell.sentSpill--
	}
	if l := p.links.linkTo(c.cell.region); l != nil {
		l.used.Upload += actual.Upload
		l.used.Response += actual.Response
	}
	planned := TransferOf(m)
	p.charge(now, m.Rank, c, Transfer{actual.Upload - planned.Upload, actual.Response - planned.Response})
}

func (p *Planner) charge(now model.Instant, rank model.Rank, c Choice, t Transfer) {
	if l := p.links.linkTo(c.cell.region); l != nil {
		l.outbound.charge(now, rank, t.Upload)
		l.inbound.charge(now, rank, t.Response)
	}
}

// LinkUse describes this instance's use of the link to a region.
type LinkUse struct {
	Region         model.RegionName
	BytesPerSecond float64  // this instance's share of the budget in each direction; 0 before the first use
	Used           Transfer // by finished requests, since the configuration first listed the link
}

// LinkUses returns the use of each link of this instance's region that has a budget.
func (p *Planner) LinkUses() []LinkUse {
	list := make([]LinkUse, 0, len(p.links.links))
	for _, l := range p.links.links {
		list = append(list, LinkUse{Region: l.region, BytesPerSecond: l.outbound.ranks[model.Urgent].rate, Used: l.used})
	}
	return list
}
