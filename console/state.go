package console

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

// LocalState is the part of the state that one process owns.
type LocalState struct {
	Process string              `json:"process"`
	Shards  []Shard             `json:"shards"`
	Running []Running           `json:"running"`
	Waiting []intent.QueuedWork `json:"waiting"`
}

// Shard is a shard as its owner sees it.
type Shard struct {
	Shard   string            `json:"shard"`
	Process string            `json:"process"`
	Epoch   uint64            `json:"epoch"`
	Free    string            `json:"free,omitempty"`           // of a rack shard
	Workers int               `json:"workers,omitempty"`        // of a rack shard
	Closed  map[string]string `json:"closed-workers,omitempty"` // worker to reason
}

// Running is an attempt that may be running, under the epoch of its shard.
type Running struct {
	intent.Attempt
	Epoch    uint64 `json:"epoch"`
	Stopping bool   `json:"stopping,omitempty"`
}

// Standing is what this process knows of a process.
type Standing struct {
	Process           string `json:"process"`
	DataCentre        string `json:"data-centre"`
	Number            uint64 `json:"config-number"` // as last heard
	Heard             bool   `json:"heard"`         // lately
	Leaving           bool   `json:"leaving,omitempty"`
	PlatformReachable bool   `json:"platform-reachable"`
	Shards            int    `json:"shards"`
}

// Processes is the answer about processes.
type Processes struct {
	Number    uint64     `json:"config-number"` // in force at the process that answers
	Processes []Standing `json:"processes"`
}

// Host is a worker or runner for an operator.
type Host struct {
	provider.Host
	Drained string `json:"drained-by,omitempty"`
	Owner   string `json:"owner,omitempty"`  // process of its rack shard
	Closed  string `json:"closed,omitempty"` // why it gets nothing new
	Running int    `json:"running"`          // attempts
}

// Gathered is a list from all processes.
type Gathered[T any] struct {
	Items   []T      `json:"items"`
	Missing []string `json:"missing,omitempty"` // processes that did not answer
}

// part answers with this process's part.
func (s *Server) state(w http.ResponseWriter, r *http.Request, _ *pool.Operator) {
	p, err := s.Local.LocalState(r.Context())
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the process is stopping: "+err.Error())
		return
	}
	gateway.WriteJSON(w, http.StatusOK, p)
}

// gatherParts returns the parts of all processes and who is missing.
func (s *Server) gatherParts(r *http.Request) (parts []LocalState, missing []string) {
	if own, err := s.Local.LocalState(r.Context()); err == nil {
		parts = append(parts, own)
	} else {
		missing = append(missing, s.Process)
	}
	gone := s.gather(r, "/v1/operator/state", func(_ string, body []byte) error {
		var p LocalState
		err := json.Unmarshal(body, &p)
		if err == nil {
			parts = append(parts, p)
		}
		return err
	})
	return parts, append(missing, gone...)
}

// gather asks the other processes for a path in the name of r's caller. It
// waits a bounded time for those that are cut off.
func (s *Server) gather(r *http.Request, path string, take func(process string, body []byte) error) []string {
	ctx, cancel := context.WithTimeout(r.Context(), gatherTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return s.Router.Processes()
	}
	q.RequestURI = path
	q.Header.Set("Authorization", r.Header.Get("Authorization"))
	return gateway.FanOut(s.Router, q, take)
}

// gatherState returns what plans are made against, without the configuration.
func (s *Server) gatherState(r *http.Request) (intent.State, []string) {
	parts, missing := s.gatherParts(r)
	return stateOf(s.PoolView.Hosts(), parts), missing
}

func stateOf(hosts []provider.Host, parts []LocalState) intent.State {
	var state intent.State
	for _, h := range hosts {
		state.Hosts = append(state.Hosts, intent.Host{ID: h.ID, Kind: h.Kind, Rack: h.Rack, DataCentre: h.DataCentre, Capacity: h.Capacity})
	}
	slices.SortFunc(state.Hosts, func(a, b intent.Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range running(parts) {
		state.Attempts = append(state.Attempts, a.Attempt)
	}
	waiting := make(map[string]int)
	for _, p := range parts {
		for _, x := range p.Waiting {
			waiting[x.Organisation] += x.Tasks
		}
	}
	for name, n := range waiting {
		state.Waiting = append(state.Waiting, intent.QueuedWork{Organisation: name, Tasks: n})
	}
	slices.SortFunc(state.Waiting, func(a, b intent.QueuedWork) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return state
}

// running returns the attempts of all parts in order. Of two owners of one
// shard, as just after a takeover, the one with the higher epoch counts.
func running(parts []LocalState) []Running {
	type name struct {
		task   string
		number uint64
	}
	best := make(map[name]Running)
	for _, p := range parts {
		for _, a := range p.Running {
			n := name{a.Task, a.Number}
			if old, ok := best[n]; !ok || a.Epoch > old.Epoch {
				best[n] = a
			}
		}
	}
	all := make([]Running, 0, len(best))
	for _, a := range best {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	return all
}

func note(w http.ResponseWriter, missing []string) {
	if len(missing) > 0 {
		w.Header().Set(gateway.HeaderMissing, strings.Join(missing, ", "))
	}
}

func (s *Server) shards(w http.ResponseWriter, r *http.Request, _ *pool.Operator) {
	parts, missing := s.gatherParts(r)
	answer := Gathered[Shard]{Items: []Shard{}, Missing: missing}
	for _, p := range parts {
		answer.Items = append(answer.Items, p.Shards...)
	}
	slices.SortFunc(answer.Items, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Process, b.Process))
	})
	note(w, missing)
	gateway.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request, _ *pool.Operator) {
	parts, missing := s.gatherParts(r)
	answer := Gathered[Host]{Items: []Host{}, Missing: missing}
	count := make(map[string]int)
	for _, a := range running(parts) {
		count[a.Host]++
	}
	owners := make(map[string]Shard)
	for _, p := range parts {
		for _, x := range p.Shards {
			if x.Epoch >= owners[x.Shard].Epoch {
				owners[x.Shard] = x
			}
		}
	}
	c := &s.Chain.Current().Configuration
	for _, h := range s.PoolView.Hosts() {
		x := owners["rack-"+h.Rack]
		v := Host{Host: h, Owner: x.Process, Closed: x.Closed[h.ID], Running: count[h.ID]}
		v.Drained, _ = c.Drained(h.ID, h.Rack, h.DataCentre)
		answer.Items = append(answer.Items, v)
	}
	slices.SortFunc(answer.Items, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	note(w, missing)
	gateway.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) processes(w http.ResponseWriter, _ *http.Request, _ *pool.Operator) {
	gateway.WriteJSON(w, http.StatusOK, Processes{Number: s.Chain.Current().Number, Processes: s.PoolView.Processes(time.Now())})
}
