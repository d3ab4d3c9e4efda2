package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scripted is a Store that gives one answer after another.
type scripted struct {
	mu    sync.Mutex
	calls []string
	steps []func() (Batch, error)
	end   context.CancelFunc
}

func (s *scripted) next(call string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.end()
		return Batch{}, errors.New("the script has ended")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scripted) Snapshot(context.Context, string) (Batch, error) { return s.next("snapshot") }

func (s *scripted) Changes(_ context.Context, _ string, after int64, _ time.Duration) (Batch, error) {
	return s.next(fmt.Sprint("changes after ", after))
}

// sink is a Sink over a cache.
type sink struct {
	cache *Cache
	tried []bool
}

func (s *sink) Version(table string) int64 { return s.cache.Version(table) }
func (s *sink) Apply(_ time.Time, b Batch) { s.cache.Apply(b) }
func (s *sink) Tried(_ string, _ time.Time, err error) {
	s.tried = append(s.tried, err == nil)
}
func (s *sink) Due(string) bool { return true }

func TestFollowReadsAnewWhenHistoryIsGone(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	give := func(b Batch) func() (Batch, error) { return func() (Batch, error) { return b, nil } }
	store := &scripted{end: cancel, steps: []func() (Batch, error){
		give(Batch{Table: "t", Version: 3, Full: true, Rows: []Row{row("a", 2)}}),
		give(Batch{Table: "t", Version: 7, Rows: []Row{row("a", 7)}}),
		func() (Batch, error) { return Batch{}, fmt.Errorf("read: %w", ErrHistoryGone) },
		give(Batch{Table: "t", Version: 6, Full: true, Rows: []Row{row("a", 2)}}), // a stale copy
		give(Batch{Table: "t", Version: 9, Full: true}),
	}}
	s := &sink{cache: NewCache()}
	Follow(ctx, store, Table{Name: "t"}, s)
	require.Equal(t, []string{"snapshot", "changes after 3", "changes after 7", "snapshot", "changes after 7", "changes after 9"}, store.calls)
	require.EqualValues(t, 9, s.cache.Version("t"))
	require.Equal(t, []bool{true, true, false, true, true, false}, s.tried)
}
