package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/pool"
)

// operators returns the handler of the operators' paths.
func (p *Process) operators() http.Handler {
	access := &gateway.Access{Current: p.configuration, Log: p.Log}
	r := mux.NewRouter().PathPrefix("/v1/operator").Subrouter()
	r.HandleFunc("/shards", func(w http.ResponseWriter, r *http.Request) {
		if access.Operator(w, r, pool.RoleViewer) != nil {
			p.showShards(w, r)
		}
	}).Methods(http.MethodGet)
	return r
}

// shardView is what an operator sees of a shard that this process owns.
type shardView struct {
	Shard   string            `json:"shard"`
	Epoch   uint64            `json:"epoch"`
	Process string            `json:"process"`
	Closed  map[string]string `json:"closed-workers,omitempty"` // worker to reason
	Free    string            `json:"free,omitempty"`
}

func (p *Process) showShards(w http.ResponseWriter, r *http.Request) {
	views := []shardView{}
	held := p.shards.Held()
	err := p.loop.Do(r.Context(), func() {
		for _, g := range held {
			v := shardView{Shard: g.Shard, Epoch: g.Epoch, Process: p.Settings.Process.Name}
			if x, ok := p.racks.Rack(g.Shard); ok {
				v.Free, v.Closed = x.Free().String(), map[string]string{}
				for _, id := range x.Workers() {
					if why := x.Closed(id); why != "" {
						v.Closed[id] = why
					}
				}
			}
			views = append(views, v)
		}
	})
	if err != nil {
		gateway.Refuse(w, http.StatusServiceUnavailable, gateway.Problem{Outcome: gateway.NotRun, Reason: err.Error()})
		return
	}
	gateway.WriteJSON(w, http.StatusOK, views)
}
