package backend

import (
	"container/list"
	"sync"
	"time"
)

// slotResult is how a request for a slot ended.
type slotResult int

const (
	slotGranted   slotResult = iota
	slotRefused              // the queue is full
	slotExpired              // the deadline passed in the queue
	slotAbandoned            // the caller hung up, or the server crashed
)

// slotPool bounds concurrent work and queues what exceeds it, first come first
// served.
type slotPool struct {
	changed func() // called after each change, without the lock

	mu      sync.Mutex
	slots   int
	queue   int
	inUse   int
	peak    int
	waiting *list.List // of *slotWaiter
}

type slotWaiter struct {
	ready   chan struct{}
	granted bool
}

func newSlotPool(slots, queue int, changed func()) *slotPool {
	return &slotPool{slots: slots, queue: queue, changed: changed, waiting: list.New()}
}

// load returns the slots in use, the slots, and the highest use so far.
func (p *slotPool) load() (inUse, slots, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, p.slots, p.peak
}

// tryAcquire takes a slot without waiting. Otherwise it queues a waiter, or
// returns nil where the queue is full.
func (p *slotPool) tryAcquire() (granted bool, waiter *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse < p.slots && p.waiting.Len() == 0 {
		p.take()
		return true, nil
	}
	if p.waiting.Len() >= p.queue {
		return false, nil
	}
	return false, p.waiting.PushBack(&slotWaiter{ready: make(chan struct{})})
}

// wait waits for the slot of a queued waiter. A zero deadline is none.
func (p *slotPool) wait(element *list.Element, deadline time.Time, abandoned ...<-chan struct{}) slotResult {
	waiter := element.Value.(*slotWaiter)
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	first, second := channelAt(abandoned, 0), channelAt(abandoned, 1)
	select {
	case <-waiter.ready:
		p.changed()
		return slotGranted
	case <-expired:
		return p.giveUp(element, slotExpired)
	case <-first:
		return p.giveUp(element, slotAbandoned)
	case <-second:
		return p.giveUp(element, slotAbandoned)
	}
}

func channelAt(channels []<-chan struct{}, i int) <-chan struct{} {
	if i < len(channels) {
		return channels[i]
	}
	return nil
}

// giveUp leaves the queue, and returns a slot that was granted meanwhile.
func (p *slotPool) giveUp(element *list.Element, result slotResult) slotResult {
	p.mu.Lock()
	granted := element.Value.(*slotWaiter).granted
	if !granted {
		p.waiting.Remove(element)
	}
	p.mu.Unlock()
	if granted {
		p.release()
	}
	return result
}

// release returns a slot and grants it to the next waiter.
func (p *slotPool) release() {
	p.mu.Lock()
	p.inUse--
	p.grant()
	p.mu.Unlock()
	p.changed()
}

// resize changes the number of slots; work above it finishes first.
func (p *slotPool) resize(slots int) {
	p.mu.Lock()
	p.slots = slots
	p.grant()
	p.mu.Unlock()
	p.changed()
}

func (p *slotPool) grant() {
	for p.inUse < p.slots && p.waiting.Len() > 0 {
		waiter := p.waiting.Remove(p.waiting.Front()).(*slotWaiter)
		waiter.granted = true
		p.take()
		close(waiter.ready)
	}
}

func (p *slotPool) take() {
	p.inUse++
	p.peak = max(p.peak, p.inUse)
}
