//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The times of the platform's store, as in the settings of a small deployment.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeCommitTime = 8 * time.Millisecond
	maxPageRows     = 500
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type wireRows struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"nowMs"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	started  time.Time
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]row           // with the deleted ones
	changed chan struct{}            // closed and replaced at each change
	reads   map[string]chan struct{} // by table, closed at the next read
}

func newStore(host string) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{started: time.Now(), listener: l, rows: map[rowKey]row{}, changed: make(chan struct{}), reads: map[string]chan struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator and the workers do. The acknowledgement is its return.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the case has passed a value that has no JSON form
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: text})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.rows[rowKey{table, "", key}]; ok && !old.Deleted {
		s.write(row{Table: table, Key: key, Deleted: true})
	}
}

// write writes a row with the next version. The caller holds mu.
func (s *store) write(r row) {
	s.ver++
	s.writeAt(r)
}

// writeAt writes a row with the current version. The caller holds mu.
func (s *store) writeAt(r row) {
	r.Ver = s.ver
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireRows{Rows: rows, HasMore: more, Ver: ver, NowMs: time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	s.noteRead(q.Get("table"))
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var list []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !v.Deleted && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(list) > limit
	s.answer(w, http.StatusOK, list[:min(len(list), limit)], more, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	s.noteRead(q.Get("table"))
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		list, ver, changed := s.since(q.Get("table"), after)
		if len(list) > 0 {
			s.answer(w, http.StatusOK, list, false, ver)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			s.answer(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(table string, after int64) ([]row, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for k, v := range s.rows {
		if k.table == table && v.Ver > after {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return int(a.Ver - b.Ver) })
	return list, s.ver, s.changed
}

type wireCommit struct {
	ExpectRev []row `json:"expectRev"`
	Puts      []row `json:"puts"`
	Remove    []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeCommitTime)
	var c wireCommit
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		s.answer(w, http.StatusBadRequest, nil, false, 0)
		return
	}
	for _, list := range [][]row{c.Puts, c.Remove} {
		for _, v := range list {
			if v.Table == "op" || v.Table == "servers" {
				s.answer(w, http.StatusForbidden, nil, false, 0)
				return
			}
		}
	}
	s.mu.Lock()
	var failed []row
	for _, want := range c.ExpectRev {
		have := s.rows[rowKey{want.Table, want.Part, want.Key}]
		if have.Deleted {
			have.Ver = 0
		}
		if have.Ver != want.Ver {
			failed = append(failed, have)
		}
	}
	if len(failed) == 0 && len(c.Puts)+len(c.Remove) > 0 {
		s.ver++
		for _, v := range c.Puts {
			v.Deleted = false
			s.writeAt(v)
		}
		for _, v := range c.Remove {
			if old, ok := s.rows[rowKey{v.Table, v.Part, v.Key}]; ok && !old.Deleted {
				v.Value, v.Deleted = nil, true
				s.writeAt(v)
			}
		}
	}
	ver := s.ver
	s.mu.Unlock()
	if len(failed) > 0 {
		s.answer(w, http.StatusPreconditionFailed, failed, false, ver)
		return
	}
	time.Sleep(storeAnswerTime)
	s.answer(w, http.StatusOK, nil, false, ver)
}

// awaitRead waits for the next read of a table.
func (s *store) awaitRead(table string) {
	s.mu.Lock()
	read := s.reads[table]
	if read == nil {
		read = make(chan struct{})
		s.reads[table] = read
	}
	s.mu.Unlock()
	<-read
}

// noteRead ends the waits for a read of a table.
func (s *store) noteRead(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read := s.reads[table]; read != nil {
		close(read)
		delete(s.reads, table)
	}
}
