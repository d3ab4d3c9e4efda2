package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// dequeueNext removes the next request that may start now from its queue and
// returns it with its server. It returns nil if no request may start.
func (s *service) dequeueNext(now model.Instant) (*request, *server) {
	var blocked [model.RankCount]bool
	for {
		rank, ok := s.nextRank(now, &blocked)
		if !ok {
			return nil, nil
		}
		if r, server := s.dequeueFromRank(now, rank); r != nil {
			return r, server
		}
		blocked[rank] = true
	}
}

// dequeueFromRank removes the next request of a rank that may start now, and returns
// it with its server. It returns nil if there is none.
func (s *service) dequeueFromRank(now model.Instant, rank int) (*request, *server) {
	queue := &s.queues[rank]
	for r := queue.requeued.head; r != nil; r = r.next {
		if server := s.freeServerFor(now, r); server != nil {
			queue.remove(r)
			return r, server
		}
	}
	server := s.freeServer(now)
	if server == nil {
		return nil, nil
	}
	r := queue.baseline.pop(s.quantum)
	if r == nil {
		r = queue.spill.pop(s.quantum)
	}
	return r, server
}

// nextRank returns the rank that gets the next free slot: the rank that is owed the
// most under its floor, else the most urgent rank with a backlog. It returns false
// if no rank has a backlog, or if the slot is reserved for ranks that are more
// urgent than the latter.
func (s *service) nextRank(now model.Instant, blocked *[model.RankCount]bool) (int, bool) {
	if rank, ok := s.owedRank(blocked); ok {
		return rank, true
	}
	for rank := range s.queues {
		if blocked[rank] || s.queues[rank].count() == 0 {
			continue
		}
		return rank, s.withinReserve(now, rank)
	}
	return 0, false
}

// withinReserve reports whether the rank may take one more slot and still leave
// the idle slots that are reserved for more urgent ranks.
func (s *service) withinReserve(now model.Instant, rank int) bool {
	used := 1 - s.excessInUse(now)
	for _, n := range s.inUse {
		used += n
	}
	return used <= s.capacity-s.reservedSlots(rank)
}

// reserveRounding is added to a reserve before it is truncated to whole slots, so
// that all but small fractions (below 0.2) reserve a whole slot.
const reserveRounding = 0.8

// reservedSlots returns the number of whole slots that the rank must leave idle for
// more urgent ranks.
func (s *service) reservedSlots(rank int) int { return int(s.reserve[rank] + reserveRounding) }
