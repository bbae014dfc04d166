package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	transactionTime = 5 * time.Millisecond
	readTime        = 4 * time.Millisecond
	mostRows        = 500 // in one answer
)

// row is a row of the store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

func (r *row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type transaction struct {
	Expected []row `json:"expected-rev"`
	Set      []row `json:"set-keys"`
	Remove   []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"row-version"`
	Now     int64  `json:"now-ms"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	history []row // in the order of versions
	version uint64
	changed chan struct{} // closed at the next change
	parts   map[string]*sync.Mutex
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	m.HandleFunc("GET /-/rows-get", s.serveRead)
	m.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return m
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

// put writes a row as the operator or a runner does, whatever it was.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("encode " + table + "/" + key + ": " + err.Error()) // maps and structs of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Set: []row{{Table: table, Key: key, Value: encoded}}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// apply carries a transaction out. The caller must hold s.mu.
func (s *store) apply(t transaction) {
	s.version++
	for _, r := range t.Set {
		r.Version, r.Deleted = s.version, false
		s.rows[r.name()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		if _, ok := s.rows[r.name()]; !ok {
			continue
		}
		delete(s.rows, r.name())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// partLock serialises the transactions of a part.
func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.parts[part]
	if !ok {
		l = &sync.Mutex{}
		s.parts[part] = l
	}
	return l
}

func (s *store) serveTransaction(w http.ResponseWriter, q *http.Request) {
	var t transaction
	if err := json.NewDecoder(q.Body).Decode(&t); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	part := ""
	for _, r := range slices.Concat(t.Expected, t.Set, t.Remove) {
		part = r.Part
	}
	for _, r := range slices.Concat(t.Set, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			respond(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	status, a := s.commit(part, t)
	time.Sleep(tripTime)
	respond(w, status, a)
}

// commit carries a transaction out in the turn of its part.
func (s *store) commit(part string, t transaction) (int, rowsAnswer) {
	l := s.partLock(part)
	l.Lock()
	defer l.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.unexpected(t.Expected); ok {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version, Now: s.now()}
	}
	s.apply(t)
	return http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
}

// unexpected returns the rows as they are and true if one has another version than
// expected. The caller must hold s.mu.
func (s *store) unexpected(expected []row) ([]row, bool) {
	differs := false
	current := []row{}
	for _, r := range expected {
		is, ok := s.rows[r.name()]
		differs = differs || is.Version != r.Version
		if ok {
			current = append(current, is)
		}
	}
	return current, differs
}

func (s *store) serveRead(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 || limit > mostRows {
		limit = mostRows
	}
	time.Sleep(readTime + tripTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
	for name, r := range s.rows {
		if name.table == v.Get("table") && name.part == v.Get("part") && name.key >= v.Get("from") &&
			(v.Get("target") == "" || name.key < v.Get("target")) {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	respond(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	wait, err := strconv.Atoi(v.Get("wait-ms"))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	time.Sleep(readTime)
	for {
		a, changed := s.changes(v.Get("table"), after)
		if len(a.Rows) > 0 || ctx.Err() != nil {
			time.Sleep(tripTime)
			respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changes returns the rows of a table that changed after a version, and a channel that is
// closed at the next change of any row.
func (s *store) changes(table string, after uint64) (rowsAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
	from, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, version uint64) int {
		return int(int64(r.Version) - int64(version))
	})
	for _, r := range s.history[from:] {
		if r.Table != table {
			continue
		}
		if len(a.Rows) == mostRows && r.Version > a.Rows[mostRows-1].Version {
			a.Version = a.Rows[mostRows-1].Version
			break
		}
		a.Rows = append(a.Rows, r)
	}
	return a, s.changed
}

// respond writes an answer.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone if this fails
}
