package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/worker"
)

// handler serves the parts of the role, and the tester's paths, which no fault
// affects.
func (p *Platform) handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(PathFaults, p.serveFaults).Methods(http.MethodGet, http.MethodPost)
	m.HandleFunc(PathLedger, p.serveLedger).Methods(http.MethodGet)
	m.HandleFunc(PathCheck, p.serveCheck).Methods(http.MethodGet)
	m.HandleFunc(PathCounters, p.serveCounters).Methods(http.MethodGet, http.MethodDelete)
	if p.Role != HostsOnly {
		m.HandleFunc(provider.PathRow, p.read(p.serveRow)).Methods(http.MethodGet)
		m.HandleFunc(provider.PathRange, p.read(p.serveRange)).Methods(http.MethodGet)
		m.HandleFunc(provider.PathHosts, p.read(p.serveHosts)).Methods(http.MethodGet)
		m.HandleFunc(provider.PathObjects, p.read(p.serveObject)).Methods(http.MethodGet)
		m.HandleFunc(provider.PathCommit, p.write(p.serveCommit)).Methods(http.MethodPost)
		m.HandleFunc(provider.PathObjects, p.write(p.putObject)).Methods(http.MethodPut)
		m.HandleFunc(provider.PathObjects, p.write(p.deleteObject)).Methods(http.MethodDelete)
	}
	if p.Role != Service {
		m.HandleFunc(workerPrefix+"{id}"+worker.PathSync, p.serveSync).Methods(http.MethodPost)
		m.PathPrefix(runnerPrefix + "{id}").HandlerFunc(p.serveRequest)
	}
	return m
}

// operation answers one call of the platform, or fails without an effect.
type operation func(*http.Request) (any, error)

func (p *Platform) read(o operation) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if !p.admit(w, q) {
			return
		}
		p.reads.add()
		answer, err := o(q)
		if body, raw := answer.([]byte); err == nil && !raw {
			if body, err = json.Marshal(answer); err == nil {
				validate(w, q, body)
				return
			}
		}
		reply(w, answer, err)
	}
}

// validate answers a read, with no body if the client names the tag of what it
// would get.
func validate(w http.ResponseWriter, q *http.Request, body []byte) {
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if q.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a client that has left needs no answer
}

func (p *Platform) write(o operation) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if !p.admit(w, q) {
			return
		}
		p.writes.add()
		answer, err := o(q)
		if err == nil && p.faults.ShouldLoseResponse() {
			panic(http.ErrAbortHandler)
		}
		reply(w, answer, err)
	}
}

// admit applies the platform's faults before a call has any effect. A slow
// call whose client has left still takes effect.
func (p *Platform) admit(w http.ResponseWriter, q *http.Request) bool {
	if p.faults.PartitionedFromPlatform(q.Header.Get(provider.ClientHeader)) {
		panic(http.ErrAbortHandler)
	}
	f := p.faults.Platform()
	if f.Away {
		w.Header().Set(provider.OutcomeHeader, provider.OutcomeNotApplied)
		http.Error(w, "platform is away", http.StatusServiceUnavailable)
		return false
	}
	if f.SlowMs > 0 {
		timer := time.NewTimer(time.Duration(f.SlowMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.stopping:
			panic(http.ErrAbortHandler)
		}
	}
	return true
}

func reply(w http.ResponseWriter, answer any, err error) {
	switch {
	case errors.Is(err, provider.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, provider.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		if body, raw := answer.([]byte); raw {
			_, _ = w.Write(body) // a client that has left needs no answer
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func body(q *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(nil, q.Body, provider.MaxBodyBytes))
}

func (p *Platform) serveRow(q *http.Request) (any, error) {
	return p.table.Get(q.Context(), q.FormValue("key"))
}

func (p *Platform) serveRange(q *http.Request) (any, error) {
	limit, err := strconv.Atoi(q.FormValue("limit"))
	if err != nil {
		return nil, fmt.Errorf("limit of a range read: %w", err)
	}
	return p.table.Range(q.Context(), q.FormValue("prefix"), q.FormValue("after"), limit)
}

func (p *Platform) serveHosts(q *http.Request) (any, error) { return p.list.Hosts(q.Context()) }

func (p *Platform) serveCommit(q *http.Request) (any, error) {
	content, err := body(q)
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	var request provider.CommitRequest
	if err := json.Unmarshal(content, &request); err != nil {
		return nil, fmt.Errorf("commit is not valid: %w", err)
	}
	versions, err := p.table.Commit(q.Context(), request.Ops...)
	return provider.CommitResponse{Versions: versions}, err
}

func (p *Platform) serveObject(q *http.Request) (any, error) {
	return p.objects.Get(q.Context(), q.FormValue("name"))
}

func (p *Platform) putObject(q *http.Request) (any, error) {
	content, err := body(q)
	if err != nil {
		return nil, fmt.Errorf("object %q: %w", q.URL.Query().Get("name"), err)
	}
	return struct{}{}, p.objects.Put(q.Context(), q.URL.Query().Get("name"), content)
}

func (p *Platform) deleteObject(q *http.Request) (any, error) {
	return struct{}{}, p.objects.Delete(q.Context(), q.URL.Query().Get("name"))
}

// reach applies the partition between a client and a host, and returns the id
// of the host.
func (p *Platform) reach(q *http.Request) string {
	id := mux.Vars(q)["id"]
	if p.faults.PartitionedFromHosts(q.Header.Get(provider.ClientHeader), p.hosts[id].DataCentre) {
		panic(http.ErrAbortHandler)
	}
	return id
}

func (p *Platform) serveSync(w http.ResponseWriter, q *http.Request) {
	a, found := p.agents[p.reach(q)]
	if !found {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	var s worker.Sync
	content, err := body(q)
	if err == nil {
		err = json.Unmarshal(content, &s)
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("sync is not valid: %v", err), http.StatusBadRequest)
		return
	}
	report, err := a.Sync(q.Context(), s)
	switch {
	case errors.Is(err, worker.ErrStaleEpoch):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		reply(w, report, nil)
	}
}

func (p *Platform) serveRequest(w http.ResponseWriter, q *http.Request) {
	r, found := p.runners[p.reach(q)]
	if !found {
		http.Error(w, "no such runner", http.StatusNotFound)
		return
	}
	r.ServeHTTP(w, q)
}

func (p *Platform) serveFaults(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodPost {
		content, err := body(q)
		if err == nil {
			err = p.SetFaults(content)
		}
		if err != nil {
			reply(w, nil, err)
			return
		}
	}
	reply(w, p.faults.State(), nil)
}

func (p *Platform) serveLedger(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.ledger.Entries(), nil)
}

func (p *Platform) serveCheck(w http.ResponseWriter, _ *http.Request) {
	found := ledger.Check(p.ledger.Entries())
	if found == nil {
		found = []ledger.Violation{} // an empty list in JSON, not null
	}
	reply(w, found, nil)
}

func (p *Platform) serveCounters(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodDelete {
		p.reads.reset()
		p.writes.reset()
	}
	reply(w, p.Counters(), nil)
}
