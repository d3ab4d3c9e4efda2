package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	testStart   = model.Instant(1_800_000_000_000_000_000)
	tickEvery   = 100 * time.Millisecond
	redialEvery = 500 * time.Millisecond
	zoneDelay   = 500 * time.Microsecond
	farDelay    = 55 * time.Millisecond
)

// cluster simulates a cluster of Groups in memory. It delivers their messages, ticks
// each Group every 100 ms, and can kill and pause instances and break links.
type cluster struct {
	now      model.Instant
	text     *config.Text
	settings Settings
	nodes    []*node
	byID     map[model.InstanceID]*node
	queue    deliveries
	seq      int
	cut      func(a, b *node) bool // reports whether new links between two nodes fail
	fetches  bool                  // nodes fetch higher revisions from their peers
	log      strings.Builder       // all notes of all nodes
}

type node struct {
	id                model.InstanceID
	zone              model.ZoneName
	group             *Group
	running           bool
	paused            bool
	opened            map[model.InstanceID]bool
	links             map[model.InstanceID]bool
	silenced          map[model.InstanceID]bool // links that are up but deliver nothing
	buffered          []delivery                // messages that arrived during a pause
	sent              int                       // bytes of the messages sent
	brokenWhilePaused []model.InstanceID        // links that broke during a pause
	received          int                       // bytes received, with wireOverhead
	sentCount         int                       // number of messages sent
	fetchFrom         model.InstanceID
	notes             []Note
	incarnation       uint64
	startedAt         model.Instant
}

// testText returns a configuration with zones named "<region>-<letter>", two zones
// per region.
func testText(zones, backendsPerZone int) *config.Text {
	text := &config.Text{Services: []config.Service{{Name: "web"}}}
	for z := range zones {
		name := zoneName(z)
		text.Zones = append(text.Zones, config.Zone{Name: name, Region: model.RegionName(fmt.Sprintf("r%02d", z/2))})
		for b := range backendsPerZone {
			text.Backends = append(text.Backends, config.Backend{
				Name: model.BackendName(fmt.Sprintf("%s-web-%03d", name, b)), Service: "web", Zone: name, Slots: 3,
			})
		}
	}
	return text
}

func zoneName(z int) model.ZoneName {
	return model.ZoneName(fmt.Sprintf("r%02d-%c", z/2, 'a'+rune(z%2)))
}

func newCluster(text *config.Text, settings Settings) *cluster {
	return &cluster{now: testStart, text: text, settings: settings, byID: map[model.InstanceID]*node{}, cut: noCut}
}

// add starts an instance that knows the given seeds.
func (c *cluster) add(id string, zone model.ZoneName, seeds ...*node) *node {
	n := &node{id: model.InstanceID(id), zone: zone}
	c.nodes = append(c.nodes, n)
	slices.SortFunc(c.nodes, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
	c.byID[n.id] = n
	c.start(n, seeds...)
	return n
}

func (c *cluster) start(n *node, seeds ...*node) {
	n.running = true
	n.paused = false
	n.brokenWhilePaused = nil
	n.buffered = nil
	n.opened = map[model.InstanceID]bool{}
	n.links = map[model.InstanceID]bool{}
	n.silenced = map[model.InstanceID]bool{}
	n.incarnation = uint64(c.now)
	s := c.settings
	for _, seed := range seeds {
		s.Seeds = append(s.Seeds, Seed{ID: seed.id, Zone: seed.zone, Addr: "addr-" + string(seed.id)})
	}
	n.group = New(Record{
		ID: n.id, Zone: n.zone, LinkAddr: "10.1.0.1:7000/" + string(n.id), CallerAddr: "10.1.0.1:8000/" + string(n.id),
		ControlAddr: "10.1.0.1:9000/" + string(n.id), Incarnation: n.incarnation, StartedAt: cmp.Or(n.startedAt, c.now),
	}, s)
	c.apply(n, n.group.Configure(c.now, c.text, nil))
	c.apply(n, n.group.SetState(c.now, Ready))
}

func (c *cluster) apply(n *node, out Output) {
	n.notes = append(n.notes, out.Notes...)
	for _, note := range out.Notes {
		at := c.now.Sub(testStart).Round(time.Millisecond)
		fmt.Fprintf(&c.log, "%7v %s: %s %s (%s)\n", at, n.id, note.Subject, note.Message, note.Reason)
	}
	if out.FetchFrom != "" {
		n.fetchFrom = out.FetchFrom
	}
	for _, addressed := range out.Messages {
		c.send(n, addressed)
	}
	for _, id := range out.Close {
		delete(n.opened, id)
		reopened := slices.ContainsFunc(out.Open, func(p PeerAddr) bool { return p.ID == id })
		if peer, ok := c.byID[id]; ok && (reopened || !peer.opened[n.id]) {
			c.breakLink(n, peer)
		}
	}
	for _, peer := range out.Open {
		n.opened[peer.ID] = true
		c.dial(n, peer.ID)
	}
}

func (c *cluster) delay(a, b *node) time.Duration {
	if a.zone[:3] == b.zone[:3] {
		return zoneDelay
	}
	return farDelay
}

func (c *cluster) send(n *node, a Addressed) {
	size := proto.Size(ToProto(c.now, a.Message))
	n.sent += size
	n.sentCount++
	to, ok := c.byID[a.To]
	if !ok || !n.links[a.To] || n.silenced[a.To] {
		return
	}
	c.seq++
	c.queue.push(delivery{at: c.now.Add(c.delay(n, to)), seq: c.seq, from: n, to: to, message: a.Message})
}

func (c *cluster) dial(n *node, id model.InstanceID) {
	peer, ok := c.byID[id]
	if !ok || n.links[id] || !peer.running || peer.paused || n.paused || c.cut(n, peer) {
		return
	}
	n.links[id] = true
	peer.links[n.id] = true
	c.apply(n, n.group.LinkUp(c.now, id))
	c.apply(peer, peer.group.LinkUp(c.now, n.id))
}

func (c *cluster) breakLink(a, b *node) {
	if !a.links[b.id] {
		return
	}
	delete(a.links, b.id)
	delete(b.links, a.id)
	between := func(d delivery) bool { return (d.from == a && d.to == b) || (d.from == b && d.to == a) }
	c.queue.drop(between)
	a.buffered = slices.DeleteFunc(a.buffered, between)
	b.buffered = slices.DeleteFunc(b.buffered, between)
	wasSilenced := a.silenced[b.id]
	delete(a.silenced, b.id)
	delete(b.silenced, a.id)
	if wasSilenced {
		return // neither end notices that a silent link breaks
	}
	c.linkDown(a, b)
	c.linkDown(b, a)
}

// linkDown reports a broken link to an instance, after its pause if it is paused.
func (c *cluster) linkDown(n, peer *node) {
	if n.paused {
		n.brokenWhilePaused = append(n.brokenWhilePaused, peer.id)
	} else if n.running {
		c.apply(n, n.group.LinkDown(c.now, peer.id))
	}
}

func (c *cluster) resume(n *node) {
	n.paused = false
	for _, d := range n.buffered {
		c.queue.push(d)
	}
	n.buffered = nil
	for _, peer := range n.brokenWhilePaused {
		c.apply(n, n.group.LinkDown(c.now, peer))
	}
	n.brokenWhilePaused = nil
}

func (c *cluster) kill(n *node) {
	n.running = false
	for _, peer := range c.nodes {
		c.breakLink(n, peer)
	}
}

// partition breaks the links for which cut returns true and prevents new ones between
// the same nodes.
func (c *cluster) partition(cut func(a, b *node) bool) {
	c.cut = cut
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if cut(a, b) {
				c.breakLink(a, b)
			}
		}
	}
}

// silence makes the current links selected by which drop all messages while they
// stay up. New links work unless they are cut.
func (c *cluster) silence(which func(a, b *node) bool) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if which(a, b) && a.links[b.id] {
				a.silenced[b.id] = true
				b.silenced[a.id] = true
			}
		}
	}
}

// run advances the time by d in ticks.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.now < end {
		next := c.now.Add(tickEvery)
		c.deliver(next)
		c.now = next
		for _, n := range c.nodes {
			if n.running && !n.paused {
				c.apply(n, n.group.Tick(c.now))
			}
		}
		if c.fetches {
			c.fetch()
		}
		if int64(c.now.Sub(testStart))%int64(redialEvery) == 0 {
			c.redial()
		}
	}
}

// fetch makes each node adopt the revision of the peer in fetchFrom if the peer can
// be reached.
func (c *cluster) fetch() {
	for _, n := range c.nodes {
		from := c.byID[n.fetchFrom]
		n.fetchFrom = ""
		if from == nil || !n.running || n.paused || !from.running || from.paused || c.cut(n, from) {
			continue
		}
		if from.group.revision.After(n.group.revision) {
			n.group.SetRevision(from.group.revision)
		}
	}
}

func (c *cluster) redial() {
	for _, n := range c.nodes {
		for _, peer := range c.nodes {
			if n.running && n.opened[peer.id] {
				c.dial(n, peer.id)
			}
		}
	}
}

// deliver delivers the messages that arrive by until. Messages to a paused instance
// are buffered.
func (c *cluster) deliver(until model.Instant) {
	for {
		d, ok := c.queue.pop(until)
		if !ok {
			return
		}
		if d.to.paused {
			d.to.buffered = append(d.to.buffered, d)
			continue
		}
		c.now = max(c.now, d.at)
		d.to.received += wireOverhead + proto.Size(ToProto(c.now, d.message))
		if d.to.running {
			c.apply(d.to, d.to.group.Receive(c.now, d.from.id, d.message))
		}
	}
}

// sevenInstances returns a cluster of 7 instances in 6 zones, the size of a
// typical deployment.
func sevenInstances(settings Settings) *cluster {
	c := newCluster(testText(6, 12), settings)
	first := c.add("i0", zoneName(0))
	for i := 1; i < 7; i++ {
		c.add(fmt.Sprintf("i%d", i), zoneName(i%6), first)
	}
	return c
}
