package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// farStore is a store in another region. Its pages take a round trip and the time that a slow
// link needs for them.
type farStore struct {
	rows     int
	pageTime time.Duration
	fails    func(call int) bool // fails calls, numbered from 1, if not nil
	epoch    func(call int) int64
	calls    int
	sent     int // rows in all answers
	began    []string
}

const farPageRows = 500

func (s *farStore) Page(ctx context.Context, _, from string) (Page, error) {
	s.calls++
	s.began = append(s.began, from)
	call := s.calls
	sleep(ctx, s.pageTime)
	if ctx.Err() != nil {
		return Page{}, ctx.Err()
	}
	if s.fails != nil && s.fails(call) {
		return Page{}, errors.New("lost")
	}
	first := 0
	if from != "" {
		_, _ = fmt.Sscanf(from, "%d", &first)
	}
	end := min(first+farPageRows, s.rows)
	version := int64(9)
	if s.epoch != nil {
		version, _ = JoinVersion(s.epoch(call), version)
	}
	p := Page{Version: version}
	for i := first; i < end; i++ {
		p.Rows = append(p.Rows, row(fmt.Sprintf("%05d", i), 1))
	}
	s.sent += len(p.Rows)
	if end < s.rows {
		p.Next = fmt.Sprintf("%05d", end)
	}
	return p, nil
}

func (s *farStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error) {
	sleep(ctx, max(wait, s.pageTime))
	return Batch{Table: table, Version: after}, ctx.Err()
}

// readUntilKnown follows a table until a copy is known and returns how long that took, 0 if
// it is unknown after a minute.
func readUntilKnown(t *testing.T, store *farStore, table Table, sink Sink) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, store, table, sink)
	}()
	var took time.Duration
	for ctx.Err() == nil && took == 0 {
		sleep(ctx, time.Millisecond)
		if sink.Version(table.Name) > 0 {
			took = time.Since(started)
		}
	}
	cancel()
	<-done
	return took
}

// TestTableOfManyPagesIsRead replays the start of instances that are far from the store and
// have slow links, in fleets of 7, 78, 303 and 784. All pages of a table together take longer
// than one call may take: with one limit for all of them, an instance would read the first
// pages over and over.
func TestTableOfManyPagesIsRead(t *testing.T) {
	const pageTime = 180 * time.Millisecond
	for _, servers := range []int{52, 894, 3000, 7800} {
		for name, fails := range map[string]func(int) bool{
			"no call fails":          nil,
			"each third call fails":  func(call int) bool { return call%3 == 0 },
			"the first calls fail":   func(call int) bool { return call <= 4 },
			"two calls in a row out": func(call int) bool { return call%5 < 2 },
		} {
			t.Run(fmt.Sprint(servers, " ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := &farStore{rows: servers, pageTime: pageTime, fails: fails}
					sink := &cacheSink{cache: NewCache()}
					took := readUntilKnown(t, store, Table{Name: "t"}, sink)
					require.Len(t, sink.cache.Since("t", 0).Rows, servers)
					require.Equal(t, servers, store.sent, "no row is read twice")
					pages := (servers + farPageRows - 1) / farPageRows
					failed := len(sink.succeeded) - 1
					require.LessOrEqual(t, took, time.Duration(pages)*pageTime+time.Duration(failed)*retryInterval+5*time.Millisecond)
				})
			})
		}
	}
}

// TestWholeReadStartsOver covers pages that do not belong together: the store has been
// restored from a copy between them, or they are older than its history.
func TestWholeReadStartsOver(t *testing.T) {
	for name, c := range map[string]struct {
		epoch func(int) int64
		fails func(int) bool
		began []string
	}{
		"restored": {
			epoch: func(call int) int64 { return int64(min(call/2, 1)) },
			began: []string{"", "00500", "", "00500"},
		},
		"outage longer than the history": {
			fails: func(call int) bool { return call > 1 && call <= 2+int(wholeReadLimit/retryInterval) },
			began: []string{""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &farStore{rows: 900, pageTime: time.Millisecond, fails: c.fails, epoch: c.epoch}
				sink := &cacheSink{cache: NewCache()}
				require.NotZero(t, readUntilKnown(t, store, Table{Name: "t"}, sink))
				require.Len(t, sink.cache.Since("t", 0).Rows, 900)
				require.Equal(t, []string{"", "00500"}, store.began[len(store.began)-2:])
				require.Equal(t, c.began, store.began[:len(c.began)])
				if c.fails != nil {
					require.Equal(t, 900+farPageRows, store.sent, "the first page is read twice")
				}
			})
		})
	}
}

// waitingSink relies on a peer after the first page.
type waitingSink struct {
	cacheSink
	peerSends time.Time
}

func (s *waitingSink) ShouldRead(table string, begun bool) bool {
	if begun && s.Version(table) == 0 && !time.Now().Before(s.peerSends) {
		s.Apply(time.Now(), Batch{Table: table, Version: 7, Full: true, Rows: []Row{row("a", 7)}})
	}
	return !begun
}

// TestPeersCopyEndsWholeRead guards against reading the rest of a table from the store after
// a peer has sent it.
func TestPeersCopyEndsWholeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &farStore{rows: 3000, pageTime: 180 * time.Millisecond}
		sink := &waitingSink{cacheSink: cacheSink{cache: NewCache()}, peerSends: time.Now().Add(300 * time.Millisecond)}
		took := readUntilKnown(t, store, Table{Name: "t"}, sink)
		require.Less(t, took, 300*time.Millisecond+2*continueInterval)
		require.Equal(t, farPageRows, store.sent)
		require.Equal(t, 1, store.calls)
	})
}

// TestPeersChangesReplaceLostHistory guards against reading a whole table because the store
// has dropped changes that a peer has sent meanwhile.
func TestPeersChangesReplaceLostHistory(t *testing.T) {
	f := &follower{table: Table{Name: "t"}, sink: &cacheSink{cache: NewCache()}}
	cache := f.sink.(*cacheSink).cache
	require.True(t, f.needsWholeTable())
	cache.Apply(Batch{Table: "t", Version: 5, Full: true})
	require.False(t, f.needsWholeTable())
	f.noHistory, f.lostAt = true, 5
	require.True(t, f.needsWholeTable())
	cache.Apply(Batch{Table: "t", Version: 6})
	require.False(t, f.needsWholeTable())
}
