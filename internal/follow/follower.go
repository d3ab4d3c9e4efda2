package follow

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is wrapped by the error of Changes where the store has forgotten
// what changed since the version asked for.
var ErrHistoryGone = errors.New("history is gone")

// Store is the platform's store as far as tables are followed.
type Store interface {
	// Snapshot returns all of a table.
	Snapshot(ctx context.Context, table string) (Batch, error)
	// Changes returns what changed after a version, as soon as there is something,
	// or an empty batch after wait.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
}

// Table says how one table is followed.
type Table struct {
	Name string
	// Wait is how long the store holds a call until something changes.
	Wait time.Duration
	// Every is the least time between the starts of two calls. Frequent changes
	// come together then.
	Every time.Duration
}

// retryEvery is the time between two calls while the store fails: well within the
// shortest bound on how late a change may come into force.
const retryEvery = 400 * time.Millisecond

// answerSlack is how much longer than its wait a call may take: a round trip
// between regions and a slow store.
const answerSlack = time.Second

// Sink takes what a follower learns. Its methods must not block.
type Sink interface {
	// Version returns the version up to which a table is known.
	Version(table string) int64
	// Apply takes what a call returned; the store cannot have been read before fresh.
	Apply(fresh time.Time, b Batch)
	// Tried reports how a call ended that began at started; nil is success.
	Tried(table string, started time.Time, err error)
	// Due reports whether a table should be read now rather than left to peers.
	Due(table string) bool
}

// dueEvery is how often a table that peers keep up to date is looked at: it bounds
// how much later than due the store is read.
const dueEvery = 100 * time.Millisecond

// Follow keeps a table up to date until the context ends.
func Follow(ctx context.Context, store Store, t Table, sink Sink) {
	snapshot := sink.Version(t.Name) == 0
	for ctx.Err() == nil {
		if !snapshot && !sink.Due(t.Name) {
			sleep(ctx, dueEvery)
			continue
		}
		started := time.Now()
		pause := t.Every
		b, err := read(ctx, store, t, sink.Version(t.Name), snapshot)
		sink.Tried(t.Name, started, err)
		switch {
		case errors.Is(err, ErrHistoryGone):
			snapshot = true
			continue
		case err != nil:
			pause = retryEvery
		default:
			sink.Apply(freshness(t, started, b), b)
			snapshot = false
		}
		sleep(ctx, pause-time.Since(started))
	}
}

// freshness is the earliest time at which the store may have been read by a call. A
// held call without changes has been waiting in the store all the while.
func freshness(t Table, started time.Time, b Batch) time.Time {
	if t.Wait > 0 && !b.Full && len(b.Rows) == 0 && time.Since(started) >= t.Wait {
		return started.Add(t.Wait)
	}
	return started
}

func read(ctx context.Context, store Store, t Table, after int64, snapshot bool) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Wait+answerSlack)
	defer cancel()
	if snapshot || after == 0 {
		return store.Snapshot(ctx, t.Name)
	}
	return store.Changes(ctx, t.Name, after, t.Wait)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
