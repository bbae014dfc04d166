package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/ingress"
	"persimmonworks.example/persimmonworks/intake"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/wire"
)

const crowdedRetryMS = 1000 // for a request that was refused for want of room

// ShardName returns the name of job shard n.
func ShardName(n uint64) string { return "jobs-" + strconv.FormatUint(n, 10) }

// JobResponse is the response to an accepted submission or cancellation.
type JobResponse struct {
	Job string `json:"job"`
	// Existing is true if an earlier submission with the same idempotency key
	// created the job.
	Existing bool `json:"existing,omitempty"`
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	o := s.Access.Organisation(w, r, RightSubmit)
	if o == nil {
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	spec, ok := s.parseSpec(w, r, o, body)
	if !ok {
		return
	}
	shard := s.shardFor(spec)
	if s.forwardToOwner(w, r, s.DataCentre, shard, body) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.SubmitWait)
	defer cancel()
	out := s.Jobs.Submit(ctx, shard, spec)
	if out.Refusal != nil {
		s.Log.Emit(event.JobRefused, "organisation", o.Name, "reason", out.Refusal.Reason)
		WriteRefusal(w, "", out.Refusal)
		return
	}
	if out.KeyConflict {
		WriteProblem(w, http.StatusConflict, Problem{
			Outcome: OutcomeNotRun, Reason: "idempotency-key: belongs to job " + out.Job + ", which was submitted with another body",
			Findings: []job.FieldError{{Field: "idempotency-key", Problem: "belongs to job " + out.Job + ", which was submitted with another body"}},
		})
		return
	}
	status := http.StatusCreated
	if out.Existing {
		status = http.StatusOK
	}
	w.Header().Set("Location", "/v1/jobs/"+out.Job)
	WriteJSON(w, status, JobResponse{Job: out.Job, Existing: out.Existing})
}

// readBody reads the request body. If that fails or the body exceeds MaxBodyBytes,
// it writes an error response and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := ingress.ReadBody(w, r, s.MaxBodyBytes)
	if err == nil {
		return body, true
	}
	var refused *intake.RefusedError
	if errors.As(err, &refused) {
		WriteProblem(w, http.StatusServiceUnavailable, Problem{Outcome: OutcomeNotRun, Reason: refused.Error(), RetryAfterMS: crowdedRetryMS})
		return nil, false
	}
	status, reason := http.StatusBadRequest, "body: truncated"
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status, reason = http.StatusRequestEntityTooLarge, fmt.Sprintf("body: larger than the limit of %d bytes", s.MaxBodyBytes)
	}
	s.Log.Emit(event.BadInput, "path", r.URL.Path, "reason", reason)
	WriteProblem(w, status, Problem{Outcome: OutcomeNotRun, Reason: reason})
	return nil, false
}

// RefuseForRoom answers a request for which the process has no place. Retry-After is set.
func RefuseForRoom(w http.ResponseWriter, _ *http.Request) {
	WriteProblem(w, http.StatusServiceUnavailable, Problem{Outcome: OutcomeNotRun, Reason: "too many connections are open"})
}

// parseSpec parses a submission and checks that it names the caller's organisation.
// Otherwise it writes an error response and returns false.
func (s *Server) parseSpec(w http.ResponseWriter, r *http.Request, o *pool.Organisation, body []byte) (job.Spec, bool) {
	spec, err := s.decode(body)
	if err == nil && spec.Organisation != o.Name {
		WriteProblem(w, http.StatusForbidden, Problem{
			Outcome: OutcomeNotRun, Reason: "the token belongs to organisation " + o.Name + ", the job names " + spec.Organisation,
		})
		return job.Spec{}, false
	}
	if err == nil {
		return spec, true
	}
	var found job.FieldErrors
	errors.As(err, &found)
	s.Log.Emit(event.BadInput, "organisation", o.Name, "path", r.URL.Path, "findings", len(found))
	WriteProblem(w, http.StatusUnprocessableEntity, Problem{Outcome: OutcomeNotRun, Reason: err.Error(), Findings: found})
	return job.Spec{}, false
}

// decode decodes large submissions one at a time.
func (s *Server) decode(body []byte) (job.Spec, error) {
	if ingress.IsLarge(body) {
		s.large.Lock()
		defer s.large.Unlock()
	}
	return job.ParseSpec(body, s.Limits())
}

// shardFor returns the job shard for a submission by hashing its organisation and
// idempotency key, so that all submissions with the same key go to the same shard.
// Without a key the shard is random.
func (s *Server) shardFor(spec job.Spec) string {
	key := spec.IdempotencyKey
	if key == "" {
		key = uuid.NewString()
	}
	return ShardName(xxhash.Sum64String(spec.Organisation+"/"+key) % uint64(s.JobShards))
}

// forwardToOwner forwards a request to the owner of a job shard and reports
// whether a response was written. It returns false if this process is the owner
// or the request was already forwarded once, and must then be handled here.
func (s *Server) forwardToOwner(w http.ResponseWriter, r *http.Request, dataCentre, shard string, body []byte) bool {
	owner := s.Router.Owner(dataCentre, shard)
	if owner == s.Process || r.Header.Get(HeaderForwarded) != "" {
		return false
	}
	if owner != "" {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		if s.Router.ForwardRequest(w, r, owner) {
			return true
		}
	}
	WriteRefusal(w, "", &wire.Refusal{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryAfterMs: 1000,
		Reason: "job shard " + dataCentre + "/" + shard + " has no reachable owner now",
	})
	return true
}

// resolveJob authenticates the caller and returns the job ID in the path if this
// process handles it. Otherwise it writes or forwards the response and returns
// false.
func (s *Server) resolveJob(w http.ResponseWriter, r *http.Request, right string) (id string, o *pool.Organisation, ok bool) {
	o = s.Access.Organisation(w, r, right)
	if o == nil {
		return "", nil, false
	}
	id = mux.Vars(r)["id"]
	dataCentre, shard, err := job.SplitID(id)
	if err != nil {
		WriteProblem(w, http.StatusNotFound, Problem{Outcome: OutcomeNotRun, Reason: err.Error()})
		return "", nil, false
	}
	if s.forwardToOwner(w, r, dataCentre, shard, nil) {
		return "", nil, false
	}
	return id, o, true
}

func refuseUnknownJob(w http.ResponseWriter, id string) {
	WriteProblem(w, http.StatusNotFound, Problem{Outcome: OutcomeNotRun, Reason: "job " + id + " is not known"})
}

// viewOwnedBy returns the view of a job if it belongs to o. Otherwise it writes an
// error response and returns false. A job of another organisation is reported as
// unknown.
func (s *Server) viewOwnedBy(w http.ResponseWriter, r *http.Request, id string, o *pool.Organisation) (dispatch.JobView, bool) {
	v, found, err := s.Jobs.Job(r.Context(), id)
	switch {
	case err != nil:
		WriteProblem(w, http.StatusServiceUnavailable, Problem{Outcome: OutcomeNotRun, Reason: err.Error(), RetryAfterMS: 1000})
	case !found || v.Organisation != o.Name:
		refuseUnknownJob(w, id)
	default:
		return v, true
	}
	return v, false
}

func (s *Server) view(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.resolveJob(w, r, RightRead)
	if !ok {
		return
	}
	if v, ok := s.viewOwnedBy(w, r, id, o); ok {
		WriteJSON(w, http.StatusOK, v)
	}
}

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

func (s *Server) tasks(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.resolveJob(w, r, RightRead)
	if !ok {
		return
	}
	if _, ok := s.viewOwnedBy(w, r, id, o); !ok {
		return
	}
	from, limit, ok := pageBounds(w, r)
	if !ok {
		return
	}
	views, found, err := s.Jobs.Tasks(r.Context(), id, from, limit)
	if err != nil || !found {
		refuseUnknownJob(w, id)
		return
	}
	WriteJSON(w, http.StatusOK, views)
}

// pageBounds parses the query parameters from and limit. If one is invalid, it
// writes an error response and returns false.
func pageBounds(w http.ResponseWriter, r *http.Request) (from, limit int, ok bool) {
	number := func(name string, fallback, maximum int) (int, bool) {
		text := r.URL.Query().Get(name)
		if text == "" {
			return fallback, true
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maximum {
			WriteProblem(w, http.StatusUnprocessableEntity, Problem{
				Outcome: OutcomeNotRun, Reason: fmt.Sprintf("%s: %q is not a number from 0 to %d", name, text, maximum),
			})
			return 0, false
		}
		return n, true
	}
	if from, ok = number("from", 0, 1<<30); !ok {
		return 0, 0, false
	}
	limit, ok = number("limit", defaultPageSize, maxPageSize)
	return from, limit, ok
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.resolveJob(w, r, RightCancel)
	if !ok {
		return
	}
	v, ok := s.viewOwnedBy(w, r, id, o)
	if !ok {
		return
	}
	if v.Open == 0 {
		WriteJSON(w, http.StatusAccepted, JobResponse{Job: id}) // the job has already ended
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.SubmitWait)
	defer cancel()
	out := s.Jobs.Cancel(ctx, id)
	if out.Refusal != nil {
		WriteRefusal(w, "", out.Refusal)
		return
	}
	WriteJSON(w, http.StatusAccepted, JobResponse{Job: id})
}

// list returns the jobs of an organisation from all processes. The header
// Persimmon-Missing lists the processes that did not respond.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	o := s.Access.Organisation(w, r, RightRead)
	if o == nil {
		return
	}
	views, err := s.Jobs.List(r.Context(), o.Name)
	if err != nil {
		WriteProblem(w, http.StatusServiceUnavailable, Problem{Outcome: OutcomeNotRun, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	if r.Header.Get(HeaderForwarded) == "" {
		views = s.gatherJobs(w, r, views)
	}
	if views == nil {
		views = []dispatch.JobView{}
	}
	WriteJSON(w, http.StatusOK, views)
}
