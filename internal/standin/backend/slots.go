package backend

import (
	"container/list"
	"sync"
	"time"
)

// slotResult is the result of a request for a slot.
type slotResult int

const (
	slotGranted   slotResult = iota
	slotRefused              // the queue is full
	slotExpired              // the deadline passed before a slot was granted
	slotAbandoned            // the caller closed the connection, or the server crashed
)

// slotPool limits the number of requests that run concurrently. Further requests wait in a
// FIFO queue of limited length.
type slotPool struct {
	changed func() // called after each change, without holding mu

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

// usage returns the number of slots in use, the number of slots, and the maximum number in
// use so far.
func (p *slotPool) usage() (inUse, slots, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, p.slots, p.peak
}

// tryAcquire acquires a slot if one is free and nobody waits. Otherwise it returns a queued
// waiter, or nil if the queue is full.
func (p *slotPool) tryAcquire() (granted bool, waiter *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse < p.slots && p.waiting.Len() == 0 {
		p.occupy()
		return true, nil
	}
	if p.waiting.Len() >= p.queue {
		return false, nil
	}
	return false, p.waiting.PushBack(&slotWaiter{ready: make(chan struct{})})
}

// wait blocks until the queued waiter is granted a slot, the deadline passes or one of at
// most two abandoned channels is closed. A zero deadline means none.
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
		return p.abandon(element, slotExpired)
	case <-first:
		return p.abandon(element, slotAbandoned)
	case <-second:
		return p.abandon(element, slotAbandoned)
	}
}

func channelAt(channels []<-chan struct{}, i int) <-chan struct{} {
	if i < len(channels) {
		return channels[i]
	}
	return nil
}

// abandon removes the waiter from the queue and returns result. If the waiter was granted a
// slot in the meantime, abandon releases it.
func (p *slotPool) abandon(element *list.Element, result slotResult) slotResult {
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

// release frees a slot and grants it to the next waiter.
func (p *slotPool) release() {
	p.mu.Lock()
	p.inUse--
	p.grantWaiting()
	p.mu.Unlock()
	p.changed()
}

// resize changes the number of slots. If more are in use, the requests in excess run to their
// end first.
func (p *slotPool) resize(slots int) {
	p.mu.Lock()
	p.slots = slots
	p.grantWaiting()
	p.mu.Unlock()
	p.changed()
}

// grantWaiting gives free slots to the waiters in order. The caller must hold mu.
func (p *slotPool) grantWaiting() {
	for p.inUse < p.slots && p.waiting.Len() > 0 {
		waiter := p.waiting.Remove(p.waiting.Front()).(*slotWaiter)
		waiter.granted = true
		p.occupy()
		close(waiter.ready)
	}
}

// occupy takes a slot. The caller must hold mu.
func (p *slotPool) occupy() {
	p.inUse++
	p.peak = max(p.peak, p.inUse)
}
