package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// start takes the next request that may start now, with its server; nil where
// none may.
func (s *service) start(now model.Instant) (*request, *server) {
	var blocked [model.RankCount]bool
	for {
		rank, ok := s.nextRank(now, &blocked)
		if !ok {
			return nil, nil
		}
		if r, server := s.startOf(now, rank); r != nil {
			return r, server
		}
		blocked[rank] = true
	}
}

// startOf takes the next request of a rank.
func (s *service) startOf(now model.Instant, rank int) (*request, *server) {
	queue := &s.queues[rank]
	for r := queue.retries.head; r != nil; r = r.next {
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

// nextRank chooses the rank that the next free slot goes to: the one that is
// owed most under its floor, else the most urgent one with a backlog, unless the
// slot is kept for ranks more urgent still.
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

// withinReserve reports whether the rank may take one more slot and leave more
// urgent ranks the idle ones kept for them.
func (s *service) withinReserve(now model.Instant, rank int) bool {
	used := 1 - s.excess(now)
	for _, n := range s.inUse {
		used += n
	}
	return used <= s.capacity-s.kept(rank)
}

// reserveRounding added to a reserve before its fraction is dropped keeps a whole
// slot for all but small fractions.
const reserveRounding = 0.8

// kept is the reserve of a rank in whole slots.
func (s *service) kept(rank int) int { return int(s.reserve[rank] + reserveRounding) }
