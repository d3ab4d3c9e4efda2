package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/platform"
)

var errInjectedFault = errors.New("injected fault")

// fakeTable is an in-memory table. Its calls can fail before or after they take
// effect, and its commits can be delayed.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	counter     int64
	random      *rand.Rand
	lostReply   float64 // probability that a commit takes effect and its reply is lost
	lostRequest float64 // probability that a commit has no effect but is reported as uncertain
	delay       float64 // probability that a commit is held back until deliverDelayed
	down        bool
	delayed     []platform.Transaction
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rows: make(map[string]platform.Row), random: rand.New(rand.NewPCG(seed, 1))}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &platform.UnavailableError{Step: "get", Peer: "fake", Err: errInjectedFault}
	}
	rows := make([]platform.Row, 0, len(keys))
	for _, k := range keys {
		r := f.rows[k]
		r.Key = k
		rows = append(rows, r)
	}
	return rows, nil
}

func (f *fakeTable) Scan(context.Context, string, int) ([]platform.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, txn platform.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return &platform.UnavailableError{Step: "commit", Peer: "fake", Err: errInjectedFault}
	}
	if f.random.Float64() < f.lostRequest {
		return &platform.UncertainError{Step: "commit", Peer: "fake", Err: errInjectedFault}
	}
	if f.random.Float64() < f.delay {
		f.delayed = append(f.delayed, txn)
		return &platform.UncertainError{Step: "commit", Peer: "fake", Err: errInjectedFault}
	}
	if err := f.apply(txn); err != nil {
		return err
	}
	if f.random.Float64() < f.lostReply {
		return &platform.UncertainError{Step: "commit", Peer: "fake", Err: errInjectedFault}
	}
	return nil
}

func (f *fakeTable) apply(txn platform.Transaction) error {
	for _, c := range txn.Conditions {
		if actual := f.rows[c.Key].Version; actual != c.Version {
			return &platform.ConflictError{Step: "commit", Peer: "fake", Key: c.Key, Expected: c.Version, Actual: actual}
		}
	}
	for _, w := range txn.Writes {
		f.counter++
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.counter}
	}
	return nil
}

// deliverDelayed applies one random delayed commit, as if the network had held it back.
func (f *fakeTable) deliverDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delayed) == 0 {
		return
	}
	at := f.random.IntN(len(f.delayed))
	txn := f.delayed[at]
	f.delayed = append(f.delayed[:at], f.delayed[at+1:]...)
	_ = f.apply(txn)
}

type fakeObjects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.data == nil {
		f.data = make(map[string][]byte)
	}
	f.data[name] = data
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.data[name]
	if !ok {
		return nil, &platform.NotFoundError{Peer: "fake", Name: name}
	}
	return data, nil
}
