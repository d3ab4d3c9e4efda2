package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// ErrOverBudget reports that the write budget cannot admit a change in time. Nothing
// was sent.
var ErrOverBudget = errors.New("ledger write budget is exhausted")

// change is a conditional write that is queued for a transaction.
type change struct {
	key     string
	version int64
	value   []byte
	rank    model.Rank
	done    chan error // receives the result of the transaction exactly once
}

// batcher groups conditional writes into transactions, most urgent first, within a
// budget of transactions per second.
type batcher struct {
	table     platform.Table
	limiter   *rate.Limiter
	maxRows   int
	maxQueued int // maximum number of queued changes per rank
	timeout   time.Duration
	panics    *contain.Panics

	mu     sync.Mutex
	queued [model.RankCount][]*change
	wake   chan struct{}
}

func newBatcher(table platform.Table, s Settings) *batcher {
	return &batcher{
		table:     table,
		limiter:   rate.NewLimiter(rate.Limit(s.TransactionsPerSecond), burst(s)),
		maxRows:   s.RowsPerTransaction,
		maxQueued: s.MaxQueuedPerRank,
		timeout:   s.Timeout,
		panics:    s.Panics,
		wake:      make(chan struct{}, 1),
	}
}

// burst returns the number of transactions that may start at once: the budget of a
// tenth of a second, but at least one.
func burst(s Settings) int { return max(1, s.TransactionsPerSecond/10) }

// run sends batches until ctx is done. Several transactions may be in flight at the
// same time.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			b.failAll(ctx.Err())
			return
		case <-b.wake:
		}
		for b.pending() {
			if b.limiter.Wait(ctx) != nil {
				break
			}
			batch := b.nextBatch()
			go b.sendContained(ctx, batch)
		}
	}
}

// submit queues a change and waits for the result of its transaction. It returns
// ErrOverBudget if the queue of its rank is full.
func (b *batcher) submit(ctx context.Context, c *change) error {
	c.done = make(chan error, 1)
	if !b.enqueue(c) {
		return ErrOverBudget
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return b.abandon(ctx, c)
	}
}

func (b *batcher) enqueue(c *change) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queued[c.rank]) >= b.maxQueued {
		return false
	}
	b.queued[c.rank] = append(b.queued[c.rank], c)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// abandon gives up on a change after ctx is done. It returns ErrOverBudget if the
// change was still queued, since nothing was sent, and otherwise the result of its
// transaction, or *platform.UncertainError if there is none yet.
func (b *batcher) abandon(ctx context.Context, c *change) error {
	b.mu.Lock()
	queue := b.queued[c.rank]
	i := slices.Index(queue, c)
	if i >= 0 {
		b.queued[c.rank] = slices.Delete(queue, i, i+1)
	}
	b.mu.Unlock()
	if i >= 0 {
		return ErrOverBudget
	}
	select {
	case err := <-c.done:
		return err
	default:
		return &platform.UncertainError{Step: "ledger write", Peer: "platform", Err: ctx.Err()}
	}
}

func (b *batcher) pending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.queued[:], func(q []*change) bool { return len(q) > 0 })
}

// nextBatch removes the next batch from the queues, most urgent changes first. Two
// changes to the same key never share a transaction, because the second would
// conflict with the first.
func (b *batcher) nextBatch() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*change
	seen := make(map[string]bool)
	for r := range b.queued {
		rest := b.queued[r][:0]
		for _, c := range b.queued[r] {
			if len(batch) < b.maxRows && !seen[c.key] {
				seen[c.key] = true
				batch = append(batch, c)
				continue
			}
			rest = append(rest, c)
		}
		clear(b.queued[r][len(rest):])
		b.queued[r] = rest
	}
	return batch
}

// sendContained commits a batch. If that panics, the result of the changes without one is unknown.
func (b *batcher) sendContained(ctx context.Context, batch []*change) {
	all := slices.Clone(batch) // send removes changes from batch
	if b.panics.Do(contain.Ledger, func() { b.send(ctx, batch) }) {
		return
	}
	for _, c := range all {
		select {
		case c.done <- &platform.UncertainError{Step: "ledger write", Peer: "platform", Err: errPanic}:
		default: // it has its result
		}
	}
}

var errPanic = errors.New("the transaction failed in this instance")

// send commits a batch. A conflict names one key: only that change fails, and the
// others are committed again immediately.
func (b *batcher) send(ctx context.Context, batch []*change) {
	for len(batch) > 0 {
		err := b.commit(ctx, batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			complete(batch, err)
			return
		}
		i := slices.IndexFunc(batch, func(c *change) bool { return c.key == conflict.Key })
		if i < 0 {
			complete(batch, fmt.Errorf("commit ledger batch: conflict on a key outside the batch: %w", err))
			return
		}
		batch[i].done <- err
		batch = slices.Delete(batch, i, i+1)
	}
}

func (b *batcher) commit(ctx context.Context, batch []*change) error {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	txn := platform.Transaction{}
	for _, c := range batch {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: c.key, Version: c.version})
		txn.Writes = append(txn.Writes, platform.Write{Key: c.key, Value: c.value})
	}
	return b.table.Commit(ctx, txn)
}

func complete(batch []*change, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

func (b *batcher) failAll(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.queued {
		complete(b.queued[r], &platform.UnavailableError{Step: "ledger write", Peer: "platform", Err: err})
		b.queued[r] = nil
	}
}
