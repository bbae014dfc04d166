package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store of a small deployment, by the pages.
const (
	rowBytes   = 65536
	nameBytes  = 200
	mostItems  = 100     // entries of a call
	mostCall   = 1 << 20 // bytes of a call, and of a page
	mostRows   = 500     // rows of a page
	storeTime  = 4 * time.Millisecond
	txTime     = 5 * time.Millisecond
	mostWait   = 30 * time.Second
	history    = 20 * time.Second // history-s
	operatorDB = "op"
	serversDB  = "servers"
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type txCall struct {
	Expected []row `json:"expected-rev"`
	Set      []row `json:"set-keys"`
	Remove   []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"row-version"`
	NowMS   int64  `json:"now-ms"`
}

// store is a stand-in of the platform's store. It refuses what the pages do not allow with 400.
type store struct {
	record  *record
	begun   time.Time
	mu      sync.Mutex
	version uint64
	rows    map[string]*row
	changes []row // in order of their versions, those of the last history-s
	times   []time.Time
	dropped uint64 // version up to which changes are forgotten
	changed chan struct{}
	parts   map[string]*sync.Mutex
	refused int
}

func newStore(r *record) *store {
	return &store{record: r, begun: time.Now(), rows: map[string]*row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/rows-tx", s.commit)
	m.HandleFunc("GET /-/rows-get", s.get)
	m.HandleFunc("GET /-/rows-feed", s.feed)
	return m
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value})
	s.announce()
}

// drop removes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(row{Table: table, Key: key})
	s.announce()
}

func (s *store) set(r row) {
	r.Version = s.version
	s.rows[r.name()] = &r
	s.noteChange(r)
}

// noteChange keeps a change for as long as the history lasts.
func (s *store) noteChange(r row) {
	now := time.Now()
	s.changes, s.times = append(s.changes, r), append(s.times, now)
	old := 0
	for now.Sub(s.times[old]) > history {
		old++
	}
	if old > mostRows {
		s.dropped = s.changes[old-1].Version
		s.changes, s.times = slices.Clone(s.changes[old:]), slices.Clone(s.times[old:])
	}
}

func (s *store) remove(r row) {
	if _, ok := s.rows[r.name()]; !ok {
		return
	}
	delete(s.rows, r.name())
	r.Version, r.Deleted, r.Value = s.version, true, nil
	s.noteChange(r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// part returns the lock of a part, which carries out one transaction after the other.
func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// check returns what the pages do not allow of a transaction, or "".
func (c *txCall) check(size int64) string {
	if len(c.Expected)+len(c.Set)+len(c.Remove) > mostItems {
		return "more than 100 entries"
	}
	if size > mostCall {
		return "more than 1 MB"
	}
	for _, r := range slices.Concat(c.Expected, c.Set, c.Remove) {
		if max(len(r.Table), len(r.Part), len(r.Key)) > nameBytes {
			return "a name of more than 200 bytes"
		}
		if r.Part != c.Expected[0].Part {
			return "more than one part"
		}
	}
	for _, r := range c.Set {
		if len(r.Value) > rowBytes {
			return fmt.Sprintf("row %s has %d bytes, row-bytes is %d", r.Key, len(r.Value), rowBytes)
		}
	}
	return ""
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var c txCall
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil || len(c.Expected) == 0 {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	if fault := c.check(q.ContentLength); fault != "" {
		s.noteRefused(fault)
		respond(w, http.StatusBadRequest, map[string]string{"reason": fault})
		return
	}
	lock := s.part(c.Expected[0].Part)
	lock.Lock()
	time.Sleep(txTime)
	status, a := s.apply(c)
	lock.Unlock()
	time.Sleep(storeTime)
	respond(w, status, a)
}

func (s *store) noteRefused(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if s.refused <= 3 {
		s.record.write("store: a transaction is refused with 400: %s", fault)
	}
}

func (s *store) apply(c txCall) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range c.Set {
		if r.Table == operatorDB || r.Table == serversDB {
			return http.StatusForbidden, rowsAnswer{}
		}
	}
	a := rowsAnswer{Rows: []row{}, Version: s.version, NowMS: s.now()}
	met := true
	for _, r := range c.Expected {
		known, ok := s.rows[r.name()]
		if ok {
			a.Rows = append(a.Rows, *known)
		}
		met = met && (ok && known.Version == r.Version || !ok && r.Version == 0)
	}
	if !met {
		return http.StatusPreconditionFailed, a
	}
	s.version++
	for _, r := range c.Set {
		s.set(row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value})
	}
	for _, r := range c.Remove {
		s.remove(row{Table: r.Table, Part: r.Part, Key: r.Key})
	}
	s.announce()
	return http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, NowMS: s.now()}
}

func (s *store) now() int64 { return time.Since(s.begun).Milliseconds() }

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeTime)
	respond(w, http.StatusOK, s.page(q.URL.Query()))
}

func (s *store) page(v url.Values) rowsAnswer {
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit > mostRows {
		limit = mostRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, r := range s.rows {
		if r.Table == v.Get("table") && r.Part == v.Get("part") && r.Key >= v.Get("from") && (v.Get("target") == "" || r.Key < v.Get("target")) {
			found = append(found, *r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	a := rowsAnswer{Rows: []row{}, Version: s.version, NowMS: s.now()}
	size := 0
	for _, r := range found {
		size += len(r.Value)
		if len(a.Rows) == limit || size > mostCall && len(a.Rows) > 0 {
			a.More = true
			break
		}
		a.Rows = append(a.Rows, r)
	}
	return a
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	wait, _ := strconv.Atoi(v.Get("wait-ms")) // none is no wait
	end := time.NewTimer(min(mostWait, time.Duration(wait)*time.Millisecond))
	defer end.Stop()
	time.Sleep(storeTime)
	for waiting := true; ; {
		a, changed, gone := s.since(v.Get("table"), after)
		if gone {
			respond(w, http.StatusGone, struct{}{})
			return
		}
		if len(a.Rows) > 0 || !waiting {
			respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-q.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version, or true if the history is gone.
func (s *store) since(table string, after uint64) (a rowsAnswer, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return rowsAnswer{}, nil, true
	}
	a = rowsAnswer{Rows: []row{}, Version: s.version, NowMS: s.now()}
	from, _ := slices.BinarySearchFunc(s.changes, after+1, func(r row, v uint64) int { return int(int64(r.Version) - int64(v)) })
	size := 0
	for _, r := range s.changes[from:] {
		if r.Table != table {
			continue
		}
		size += len(r.Value)
		if len(a.Rows) > 0 && r.Version != a.Rows[len(a.Rows)-1].Version && (len(a.Rows) >= mostRows-mostItems || size > mostCall) {
			a.Version = a.Rows[len(a.Rows)-1].Version
			a.More = true
			break
		}
		a.Rows = append(a.Rows, r)
	}
	return a, s.changed, false
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone needs no answer
}
