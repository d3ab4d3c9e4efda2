package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// ErrOverBudget reports that the write budget has no room for a claim in time.
var ErrOverBudget = errors.New("ledger write budget is exhausted")

// change is one conditional write that waits for a transaction.
type change struct {
	key     string
	version int64
	value   []byte
	rank    model.Rank
	done    chan error // receives the transaction's result once
}

// batcher groups conditional writes into transactions within a budget of
// transactions per second, most urgent first.
type batcher struct {
	table   platform.Table
	limiter *rate.Limiter
	maxRows int
	maxWait int // changes that may wait, per rank
	timeout time.Duration

	mu      sync.Mutex
	waiting [model.RankCount][]*change
	wake    chan struct{}
}

func newBatcher(table platform.Table, s Settings) *batcher {
	return &batcher{
		table:   table,
		limiter: rate.NewLimiter(rate.Limit(s.TransactionsPerSecond), burst(s)),
		maxRows: s.RowsPerTransaction,
		maxWait: s.WaitingPerRank,
		timeout: s.Timeout,
		wake:    make(chan struct{}, 1),
	}
}

// burst is the number of transactions that may start at once: what the budget
// gives in a tenth of a second.
func burst(s Settings) int { return max(1, s.TransactionsPerSecond/10) }

// run sends batches until ctx ends. Several transactions may be on their way.
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
			batch := b.take()
			go b.send(ctx, batch)
		}
	}
}

// submit queues a change and waits for its transaction.
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
	if len(b.waiting[c.rank]) >= b.maxWait {
		return false
	}
	b.waiting[c.rank] = append(b.waiting[c.rank], c)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// abandon gives up on a change. Where it was still waiting, nothing was sent.
func (b *batcher) abandon(ctx context.Context, c *change) error {
	b.mu.Lock()
	queue := b.waiting[c.rank]
	at := slices.Index(queue, c)
	if at >= 0 {
		b.waiting[c.rank] = slices.Delete(queue, at, at+1)
	}
	b.mu.Unlock()
	if at >= 0 {
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
	return slices.ContainsFunc(b.waiting[:], func(q []*change) bool { return len(q) > 0 })
}

// take removes the next batch, most urgent first. Two changes of one key never
// share a transaction: the second would conflict with the first.
func (b *batcher) take() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*change
	seen := make(map[string]bool)
	for r := range b.waiting {
		rest := b.waiting[r][:0]
		for _, c := range b.waiting[r] {
			if len(batch) < b.maxRows && !seen[c.key] {
				seen[c.key] = true
				batch = append(batch, c)
				continue
			}
			rest = append(rest, c)
		}
		clear(b.waiting[r][len(rest):])
		b.waiting[r] = rest
	}
	return batch
}

// send commits a batch. A conflict names one key: that change fails alone and
// the others go again at once.
func (b *batcher) send(ctx context.Context, batch []*change) {
	for len(batch) > 0 {
		err := b.commit(ctx, batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			finish(batch, err)
			return
		}
		at := slices.IndexFunc(batch, func(c *change) bool { return c.key == conflict.Key })
		if at < 0 {
			finish(batch, fmt.Errorf("commit ledger batch: conflict on foreign key: %w", err))
			return
		}
		batch[at].done <- err
		batch = slices.Delete(batch, at, at+1)
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

func finish(batch []*change, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

func (b *batcher) failAll(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.waiting {
		finish(b.waiting[r], &platform.UnavailableError{Step: "ledger write", Peer: "platform", Err: err})
		b.waiting[r] = nil
	}
}
