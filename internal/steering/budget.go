package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Transfer is what a request costs a link, in bytes.
type Transfer struct {
	Upload int64 // towards the owner
	Answer int64 // back to the ingress
}

// TransferOf is what a request is expected to cost.
func TransferOf(m *model.RequestMeta) Transfer {
	return Transfer{Upload: max(0, m.BodyBytes), Answer: max(0, m.AnswerBytes)}
}

// bucket is a token bucket in bytes. It may be overdrawn, since an answer's size
// is known only afterwards.
type bucket struct {
	rate       float64 // bytes a second
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

// setRate changes the rate and keeps the fill level in proportion.
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

// direction is one way of a link. Each rank's bucket bounds that rank and every
// less urgent one together; the first holds the whole budget.
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

// linkState is this instance's part of the link between its region and another.
type linkState struct {
	region            model.RegionName
	budget            float64 // bytes a second each way, of all instances together
	outbound, inbound direction
	countedAt         model.Instant // when the instances that share it were last counted
	used              Transfer      // by requests that ended
}

// countEvery is how long a count of the instances that share a link is used.
const instanceCountTTL = time.Second

// linkTable holds the links of this instance's region; regions without an entry
// have no budget set and are not bounded.
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

// to returns the link to a region, nil where it is not bounded.
func (t *linkTable) linkTo(region model.RegionName) *linkState {
	for _, l := range t.links {
		if l.region == region {
			return l
		}
	}
	return nil
}

// setInstances splits the budget evenly: the instances of both regions use both
// ways, for what they send and for what they are answered.
func (l *linkState) setInstances(now model.Instant, instances int, s Settings) {
	perInstance := l.budget / float64(max(1, instances))
	for rank, share := range s.LinkShares {
		l.outbound.ranks[rank].setRate(now, perInstance*share, s.LinkBurst)
		l.inbound.ranks[rank].setRate(now, perInstance*share, s.LinkBurst)
	}
}

// linkAllows reports whether the link to a region has budget left for a rank.
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

// Sent counts a request that was sent as chosen, with what it is expected to
// cost the link.
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

// Finished counts a request that ended, with what it cost the link in fact.
func (p *Planner) Finished(now model.Instant, m *model.RequestMeta, c Choice, actual Transfer) {
	if c.cell == nil {
		return
	}
	// A report may include the request as in use, so the counts may fall below 0.
	c.cell.sent--
	c.state.sent--
	c.state.inFlight[m.Rank]--
	if c.Spill {
		c.cell.sentSpill--
	}
	if l := p.links.linkTo(c.cell.region); l != nil {
		l.used.Upload += actual.Upload
		l.used.Answer += actual.Answer
	}
	planned := TransferOf(m)
	p.charge(now, m.Rank, c, Transfer{actual.Upload - planned.Upload, actual.Answer - planned.Answer})
}

func (p *Planner) charge(now model.Instant, rank model.Rank, c Choice, t Transfer) {
	if l := p.links.linkTo(c.cell.region); l != nil {
		l.outbound.charge(now, rank, t.Upload)
		l.inbound.charge(now, rank, t.Answer)
	}
}

// LinkUse is what this instance's requests have used of the link to a region.
type LinkUse struct {
	Region         model.RegionName
	BytesPerSecond float64  // this instance's part of the budget, each way; 0 before its first use
	Used           Transfer // by requests that ended, since the text named the link
}

// LinkUses lists the bounded links of this instance's region.
func (p *Planner) LinkUses() []LinkUse {
	list := make([]LinkUse, 0, len(p.links.links))
	for _, l := range p.links.links {
		list = append(list, LinkUse{Region: l.region, BytesPerSecond: l.outbound.ranks[model.Urgent].rate, Used: l.used})
	}
	return list
}
