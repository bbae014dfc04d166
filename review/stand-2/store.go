package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	mostRowsListed  = 500
)

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeAnswer struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has-more"`
	Version uint64      `json:"row-version"`
	NowMS   int64       `json:"now-ms"`
}

// store is the platform's metadata store. Dropped rows stay as marks for the feed.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]storedRow
	version uint64
	changed chan struct{}
	since   time.Time
	// lastWriter is the number of the process that last wrote under a condition.
	lastWriter int
}

// leader returns the number of the process that last wrote under a condition.
func (s *store) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func newStore() *store {
	return &store{rows: map[rowName]storedRow{}, changed: make(chan struct{}), since: time.Now()}
}

// put writes a row as the operator, a runner or another writer does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // a value of this program that JSON cannot hold
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowName{Table: table, Key: key}, encoded, false)
	s.announce()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := rowName{Table: table, Key: key}
	if r, ok := s.rows[name]; !ok || r.Deleted {
		return
	}
	s.version++
	s.write(name, nil, true)
	s.announce()
}

// write needs the lock.
func (s *store) write(name rowName, value []byte, deleted bool) {
	s.rows[name] = storedRow{rowName: name, Value: value, Version: s.version, Deleted: deleted}
}

// announce needs the lock.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wayOf returns the store as the process with the number calls it.
func (s *store) wayOf(process int) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		s.lastWriter = process
		s.mu.Unlock()
		s.transact(w, q)
	})
	m.HandleFunc("GET /-/rows-get", s.get)
	m.HandleFunc("GET /-/rows-feed", s.feed)
	return m
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	var call struct {
		Require []storedRow `json:"expected-rev"`
		Put     []storedRow `json:"set-keys"`
		Drop    []rowName   `json:"remove"`
	}
	if err := json.NewDecoder(q.Body).Decode(&call); err != nil {
		respond(w, http.StatusBadRequest, err.Error())
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storedRow{}, NowMS: time.Since(s.since).Milliseconds()}
	for _, r := range call.Require {
		if now := s.rows[r.rowName]; now.Deleted && r.Version != 0 || !now.Deleted && now.Version != r.Version {
			for _, x := range call.Require {
				a.Rows = append(a.Rows, s.rows[x.rowName])
			}
			a.Version = s.version
			respond(w, http.StatusPreconditionFailed, a)
			return
		}
	}
	s.version++
	for _, r := range call.Put {
		s.write(r.rowName, r.Value, false)
	}
	for _, name := range call.Drop {
		s.write(name, nil, true)
	}
	s.announce()
	a.Version = s.version
	respond(w, http.StatusOK, a)
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeAnswerTime)
	v := q.URL.Query()
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 || limit > mostRowsListed {
		limit = mostRowsListed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storedRow{}, Version: s.version, NowMS: time.Since(s.since).Milliseconds()}
	for name, r := range s.rows {
		if name.Table == v.Get("table") && name.Part == v.Get("part") && !r.Deleted &&
			name.Key >= v.Get("from") && (v.Get("target") == "" || name.Key < v.Get("target")) {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y storedRow) int { return cmp.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	respond(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, err.Error())
		return
	}
	wait, err := strconv.Atoi(v.Get("wait-ms"))
	if err != nil {
		respond(w, http.StatusBadRequest, err.Error())
		return
	}
	time.Sleep(storeAnswerTime)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		a, changed := s.changesAfter(v.Get("table"), after)
		if len(a.Rows) > 0 {
			respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			respond(w, http.StatusOK, a)
			return
		case <-q.Context().Done():
			return
		}
	}
}

// changesAfter returns the rows of a table that changed after a version, and a channel that
// is closed at the next change of the store.
func (s *store) changesAfter(table string, after uint64) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storedRow{}, Version: s.version, NowMS: time.Since(s.since).Milliseconds()}
	for name, r := range s.rows {
		if name.Table == table && r.Version > after {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y storedRow) int { return cmp.Compare(x.Version, y.Version) })
	return a, s.changed
}

// respond writes an answer with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone if this fails
}
