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
	rate   float64 // bytes a second
	burst  float64 // bytes
	tokens float64
	at     model.Instant
}

func (b *bucket) refill(now model.Instant) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.at = now
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
	b.at = now
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
	region    model.RegionName
	budget    float64 // bytes a second each way, of all instances together
	out, back direction
	countedAt model.Instant // when the instances that share it were last counted
	used      Transfer      // by requests that ended
}

// countEvery is how long a count of the instances that share a link is used.
const countEvery = time.Second

// linkTable holds the links of this instance's region; regions without an entry
// have no budget set and are not bounded.
type linkTable struct {
	own   model.RegionName
	links []*linkState
}

func (t *linkTable) configure(text *config.Text, own model.RegionName) {
	old := *t
	t.own = own
	t.links = nil
	for _, link := range text.Limits.Links {
		var other model.RegionName
		switch own {
		case link.A:
			other = link.B
		case link.B:
			other = link.A
		default:
			continue
		}
		state := &linkState{region: other}
		if old.own == own {
			if known := old.to(other); known != nil {
				state = known
			}
		}
		state.budget = float64(link.BytesPerSecond)
		state.countedAt = 0
		t.links = append(t.links, state)
	}
}

// to returns the link to a region, nil where it is not bounded.
func (t *linkTable) to(region model.RegionName) *linkState {
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
	part := l.budget / float64(max(1, instances))
	for rank, share := range s.LinkShares {
		l.out.ranks[rank].setRate(now, part*share, s.LinkBurst)
		l.back.ranks[rank].setRate(now, part*share, s.LinkBurst)
	}
}

// linkAllows reports whether the link to a region has budget left for a rank.
func (p *Planner) linkAllows(now model.Instant, rank model.Rank, region model.RegionName, v View) bool {
	l := p.links.to(region)
	if l == nil {
		return true
	}
	if l.countedAt == 0 || now.Sub(l.countedAt) >= countEvery {
		l.countedAt = now
		l.setInstances(now, v.ReadyInstances(p.links.own)+v.ReadyInstances(region), p.settings)
	}
	return l.allows(now, rank)
}

func (l *linkState) allows(now model.Instant, rank model.Rank) bool {
	return l.out.allows(now, rank) && l.back.allows(now, rank)
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
	if l := p.links.to(c.cell.region); l != nil {
		l.used.Upload += actual.Upload
		l.used.Answer += actual.Answer
	}
	planned := TransferOf(m)
	p.charge(now, m.Rank, c, Transfer{actual.Upload - planned.Upload, actual.Answer - planned.Answer})
}

func (p *Planner) charge(now model.Instant, rank model.Rank, c Choice, t Transfer) {
	if l := p.links.to(c.cell.region); l != nil {
		l.out.charge(now, rank, t.Upload)
		l.back.charge(now, rank, t.Answer)
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
		list = append(list, LinkUse{Region: l.region, BytesPerSecond: l.out.ranks[model.Urgent].rate, Used: l.used})
	}
	return list
}
