package tablestore

import "sync/atomic"

// Counters holds the number of calls since New. Refused calls and lost requests count only
// as such; a call whose reply is lost also counts as its kind of call.
type Counters struct {
	Gets         int64 `json:"gets"`
	Scans        int64 `json:"scans"`
	Commits      int64 `json:"commits"`   // commits applied
	Conflicts    int64 `json:"conflicts"` // commits refused because a condition did not hold
	ObjectPuts   int64 `json:"object_puts"`
	ObjectGets   int64 `json:"object_gets"`
	Lists        int64 `json:"lists"`
	Registers    int64 `json:"registers"`
	Refused      int64 `json:"refused"` // calls refused because of an outage or a rate limit
	LostRequests int64 `json:"lost_requests"`
	LostReplies  int64 `json:"lost_replies"`
}

// counters is the form of Counters that is updated concurrently.
type counters struct {
	gets, scans, commits, conflicts    atomic.Int64
	objectPuts, objectGets             atomic.Int64
	lists, registers                   atomic.Int64
	refused, lostRequests, lostReplies atomic.Int64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Gets:         c.gets.Load(),
		Scans:        c.scans.Load(),
		Commits:      c.commits.Load(),
		Conflicts:    c.conflicts.Load(),
		ObjectPuts:   c.objectPuts.Load(),
		ObjectGets:   c.objectGets.Load(),
		Lists:        c.lists.Load(),
		Registers:    c.registers.Load(),
		Refused:      c.refused.Load(),
		LostRequests: c.lostRequests.Load(),
		LostReplies:  c.lostReplies.Load(),
	}
}
