// Package gateway is the HTTP API of an entry process for callers.
//
// It authenticates the caller, validates the input, and forwards jobs to the
// process that owns their job shard and service requests to the Requests
// handler. Every error response is a Problem, a JSON object that states whether
// anything may have run and when to retry.
//
// Usage:
//
//	s := &gateway.Server{Process: "e1", DataCentre: "dc1", Current: follower, Jobs: dispatcher, Router: router}
//	http.Server{Handler: s.Handler()}
package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/wire"
)

// Headers of requests and responses.
const (
	HeaderRequestID      = "Persimmon-Request"         // ID of a request
	HeaderIdempotencyKey = "Persimmon-Idempotency-Key" // requests with the same key get the first outcome
	HeaderNonIdempotent  = "Persimmon-Non-Idempotent"  // "true" runs the request at most once
	HeaderClass          = "Persimmon-Class"
	HeaderDeadline       = "Persimmon-Deadline-Ms" // time after which the caller no longer waits
	HeaderRunner         = "Persimmon-Runner"      // runner that answered
	HeaderOutcome        = "Persimmon-Outcome"     // of an error response: OutcomeNotRun, OutcomeUnknown or OutcomeFailed
	HeaderForwarded      = "Persimmon-Forwarded"   // set on requests forwarded by another entry process
)

// Jobs manages the jobs whose shards this process owns.
type Jobs interface {
	Submit(ctx context.Context, shard string, s job.Spec) dispatch.Outcome
	Cancel(ctx context.Context, id string) dispatch.Outcome
	Job(ctx context.Context, id string) (dispatch.JobView, bool, error)
	Tasks(ctx context.Context, id string, from, limit int) ([]dispatch.TaskView, bool, error)
	List(ctx context.Context, organisation string) ([]dispatch.JobView, error)
}

var _ Jobs = (*dispatch.Dispatcher)(nil)

// Router finds the owners of job shards and forwards requests to them.
type Router interface {
	// Owner returns the process that owns a job shard, or "" if there is none.
	Owner(dataCentre, shard string) string
	// ForwardRequest forwards a request to another process and writes its response to w. It
	// returns false only if nothing can have been sent.
	ForwardRequest(w http.ResponseWriter, r *http.Request, process string) bool
	// Processes returns the other live processes of all data centres.
	Processes() []string
}

// Server implements the HTTP API. Exported fields must be set before Handler is
// called.
type Server struct {
	Process    string
	DataCentre string
	Access     Access
	Jobs       Jobs
	Router     Router
	// Requests serves service requests of authenticated callers. OrganisationOf
	// returns the caller's organisation.
	Requests http.Handler
	// Operators serves all paths under /v1/operator/.
	Operators http.Handler
	Metrics   http.Handler
	// Limits returns the current limits on jobs.
	Limits func() job.Limits
	// JobShards is the number of job shards of each data centre.
	JobShards int
	// Ready returns the reason why the process is not ready, or "" if it is.
	Ready        func() string
	MaxBodyBytes int64
	SubmitWait   time.Duration
	Log          event.Emitter

	large sync.Mutex // held while a large submission is decoded, which takes many times its size
}

// Handler returns the router for all paths of the API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	r.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs", s.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", s.view).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", s.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/jobs/{id}/tasks", s.tasks).Methods(http.MethodGet)
	r.PathPrefix("/v1/services/{service}").Handler(s.serviceHandler())
	r.PathPrefix("/v1/operator/").Handler(s.Operators)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, http.StatusNotFound, Problem{Outcome: OutcomeNotRun, Reason: "no such path: " + r.URL.Path})
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, http.StatusMethodNotAllowed, Problem{Outcome: OutcomeNotRun, Reason: "method " + r.Method + " is not allowed on " + r.URL.Path})
	})
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if why := s.Ready(); why != "" {
		writeText(w, http.StatusServiceUnavailable, why)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// Outcomes in an error response.
const (
	OutcomeNotRun  = "not-run" // nothing ran
	OutcomeUnknown = "unknown" // the request may have run
	OutcomeFailed  = "failed"  // the request ran and failed
)

// Problem is the body of every error response.
type Problem struct {
	Outcome      string           `json:"outcome"`
	Reason       string           `json:"reason"`
	RetryAfterMS uint64           `json:"retry-after-ms,omitempty"`
	Request      string           `json:"request,omitempty"`
	Findings     []job.FieldError `json:"findings,omitempty"`
}

// WriteProblem writes an error response.
func WriteProblem(w http.ResponseWriter, status int, p Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, p.Outcome)
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatUint((p.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// OutcomeName converts an outcome of the protocol between processes to its name
// in the HTTP API.
func OutcomeName(o wire.Outcome) string {
	switch o {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return OutcomeNotRun
	case wire.Outcome_OUTCOME_FAILED:
		return OutcomeFailed
	default:
		return OutcomeUnknown
	}
}

// WriteRefusal writes a refusal of the protocol between processes as an error
// response.
func WriteRefusal(w http.ResponseWriter, request string, r *wire.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		status = http.StatusBadGateway
	}
	WriteProblem(w, status, Problem{Outcome: OutcomeName(r.Outcome), Reason: r.Reason, RetryAfterMS: r.RetryAfterMs, Request: request})
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
