// Package console is the operators' HTTP interface of an entry process, below
// /v1/operator/.
//
// Every process answers for the whole pool: it asks the others for their part
// (gateway.FanOut) and names those that did not answer in the header
// Persimmon-Missing and in the answer. A request that another process passed
// on is answered with this process's part alone.
//
// A plan is made against the gathered state and kept; confirming it brings
// its configuration into the chain and waits, within a bound, until the status
// exchange shows it in force at every process. Viewers may read, planners may
// plan, operators may confirm.
//
// Usage:
//
//	c := &console.Server{Process: "e1", Access: access, Router: router, Plans: plans, Chain: &follower, ...}
//	router.PathPrefix("/v1/operator/").Handler(c.Handler())
package console

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/usage"
)

// Chain is the configuration in force here.
type Chain interface {
	Current() *chain.Entry
	// Announce tells that a number is in the chain.
	Announce(number uint64)
}

// Local shows what this process owns.
type Local interface {
	// LocalState returns the shards of this process with what runs and waits there.
	LocalState(ctx context.Context) (LocalState, error)
}

// PoolView shows what this process knows of the rest of the pool.
type PoolView interface {
	// Hosts returns the platform's list as last read.
	Hosts() []provider.Host
	// Processes returns all processes that are known, this one among them.
	Processes(now time.Time) []Standing
}

// Accounts returns the records that the archive may not have yet.
type Accounts interface {
	Unstored() []usage.Record
}

// Burn returns the counts of this process.
type Burn interface {
	Snapshot() burn.Snapshot
}

var (
	_ Chain = (*chain.Follower)(nil)
	_ Burn  = (*burn.Ledger)(nil)
)

// Server serves operators. Exported fields are set before Handler.
type Server struct {
	Process     string
	RunID       string // of this run of the process, see burn.Archive
	Access      *gateway.Access
	Router      gateway.Router
	Plans       *confirmation.PlanStore // its State is not used
	Chain       Chain
	Local       Local
	PoolView    PoolView
	Accounts    Accounts
	Archive     *usage.Archive
	Burn        Burn
	BurnArchive *burn.Archive
	Log         event.Emitter
}

const (
	maxBody       = 256 << 10 // bytes of an operator's request
	maxWhy        = 500       // bytes of a reason
	gatherTimeout = 3 * time.Second
	callTimeout   = 30 * time.Second
)

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().PathPrefix("/v1/operator").Subrouter()
	route := func(method, path string, role pool.Role, h func(http.ResponseWriter, *http.Request, *pool.Operator)) {
		r.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			o := s.Access.Operator(w, q, role)
			if o == nil {
				return
			}
			ctx, cancel := context.WithTimeout(q.Context(), callTimeout)
			defer cancel()
			q.Body = http.MaxBytesReader(w, q.Body, maxBody)
			h(w, q.WithContext(ctx), o)
		}).Methods(method)
	}
	route(http.MethodPost, "/plans", pool.RolePlanner, s.propose)
	route(http.MethodGet, "/plans/{digest}", pool.RoleViewer, s.showPlan)
	route(http.MethodPost, "/plans/{digest}/confirm", pool.RoleOperator, s.confirm)
	route(http.MethodGet, "/plans/{digest}/progress", pool.RoleViewer, s.progress)
	route(http.MethodPost, "/undo", pool.RolePlanner, s.undo)
	route(http.MethodGet, "/history", pool.RoleViewer, s.history)
	route(http.MethodGet, "/usage", pool.RoleViewer, s.usage)
	route(http.MethodGet, "/burn", pool.RoleViewer, s.burn)
	route(http.MethodGet, "/state", pool.RoleViewer, s.state)
	route(http.MethodGet, "/shards", pool.RoleViewer, s.shards)
	route(http.MethodGet, "/hosts", pool.RoleViewer, s.hosts)
	route(http.MethodGet, "/processes", pool.RoleViewer, s.processes)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		refuse(w, http.StatusNotFound, "no such path: "+q.URL.Path)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, "method "+q.Method+" is not allowed on "+q.URL.Path)
	})
	return r
}

func refuse(w http.ResponseWriter, status int, reason string) {
	gateway.WriteProblem(w, status, gateway.Problem{Outcome: gateway.OutcomeNotRun, Reason: reason})
}

// passedOn reports whether another process asks for this one's part.
func passedOn(r *http.Request) bool { return r.Header.Get(gateway.HeaderForwarded) != "" }

// planStore returns the plan store with the state as the caller of r may see it.
func (s *Server) planStore(r *http.Request, missing *[]string) *confirmation.PlanStore {
	d := *s.Plans
	d.State = func(context.Context) (intent.State, error) {
		state, gone := s.gatherState(r)
		*missing = gone
		return state, nil
	}
	return &d
}
