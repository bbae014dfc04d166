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
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/wire"
)

// ShardName returns the name of a job shard.
func ShardName(n uint64) string { return "jobs-" + strconv.FormatUint(n, 10) }

// Accepted is the answer to a submission.
type Accepted struct {
	Job string `json:"job"`
	// Existing is set when the idempotency key had been used before.
	Existing bool `json:"existing,omitempty"`
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	o := s.Access.Organisation(w, r, RightSubmit)
	if o == nil {
		return
	}
	body, ok := s.body(w, r)
	if !ok {
		return
	}
	spec, ok := s.spec(w, r, o, body)
	if !ok {
		return
	}
	shard := s.shardOf(spec)
	if s.passed(w, r, s.DataCentre, shard, body) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.SubmitWait)
	defer cancel()
	out := s.Jobs.Submit(ctx, shard, spec)
	if out.Refusal != nil {
		s.Log.Emit(event.JobRefused, "organisation", o.Name, "reason", out.Refusal.Reason)
		RefuseWire(w, "", out.Refusal)
		return
	}
	if out.KeyConflict {
		Refuse(w, http.StatusConflict, Problem{
			Outcome: NotRun, Reason: "idempotency-key: belongs to job " + out.Job + ", which was submitted with another body",
			Findings: []job.FieldError{{Field: "idempotency-key", Problem: "belongs to job " + out.Job + ", which was submitted with another body"}},
		})
		return
	}
	status := http.StatusCreated
	if out.Existing {
		status = http.StatusOK
	}
	w.Header().Set("Location", "/v1/jobs/"+out.Job)
	WriteJSON(w, status, Accepted{Job: out.Job, Existing: out.Existing})
}

// body reads a request's body within the limit.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err == nil {
		return body, true
	}
	status, reason := http.StatusBadRequest, "body: truncated"
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status, reason = http.StatusRequestEntityTooLarge, fmt.Sprintf("body: larger than the limit of %d bytes", s.MaxBodyBytes)
	}
	s.Log.Emit(event.BadInput, "path", r.URL.Path, "reason", reason)
	Refuse(w, status, Problem{Outcome: NotRun, Reason: reason})
	return nil, false
}

// spec parses a submission in the name of the caller's organisation.
func (s *Server) spec(w http.ResponseWriter, r *http.Request, o *pool.Organisation, body []byte) (job.Spec, bool) {
	spec, err := job.ParseSpec(body, s.Limits())
	if err == nil && spec.Organisation != o.Name {
		Refuse(w, http.StatusForbidden, Problem{
			Outcome: NotRun, Reason: "the token belongs to organisation " + o.Name + ", the job names " + spec.Organisation,
		})
		return job.Spec{}, false
	}
	if err == nil {
		return spec, true
	}
	var found job.FieldErrors
	errors.As(err, &found)
	s.Log.Emit(event.BadInput, "organisation", o.Name, "path", r.URL.Path, "findings", len(found))
	Refuse(w, http.StatusUnprocessableEntity, Problem{Outcome: NotRun, Reason: err.Error(), Findings: found})
	return job.Spec{}, false
}

// shardOf spreads jobs over the job shards; jobs with the same idempotency key
// meet in one shard.
func (s *Server) shardOf(spec job.Spec) string {
	key := spec.IdempotencyKey
	if key == "" {
		key = uuid.NewString()
	}
	return ShardName(xxhash.Sum64String(spec.Organisation+"/"+key) % uint64(s.JobShards))
}

// passed hands a request to the owner of a job shard and reports whether it
// has been answered: false when this process is the owner.
func (s *Server) passed(w http.ResponseWriter, r *http.Request, dataCentre, shard string, body []byte) bool {
	owner := s.Router.Owner(dataCentre, shard)
	if owner == s.Process || r.Header.Get(HeaderForwarded) != "" {
		return false
	}
	if owner != "" {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		if s.Router.Pass(w, r, owner) {
			return true
		}
	}
	RefuseWire(w, "", &wire.Refusal{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryAfterMs: 1000,
		Reason: "job shard " + dataCentre + "/" + shard + " has no reachable owner now",
	})
	return true
}

// job resolves the job in the path for its organisation, or answers.
func (s *Server) job(w http.ResponseWriter, r *http.Request, right string) (id string, o *pool.Organisation, ok bool) {
	o = s.Access.Organisation(w, r, right)
	if o == nil {
		return "", nil, false
	}
	id = mux.Vars(r)["id"]
	dataCentre, shard, err := job.SplitID(id)
	if err != nil {
		Refuse(w, http.StatusNotFound, Problem{Outcome: NotRun, Reason: err.Error()})
		return "", nil, false
	}
	if s.passed(w, r, dataCentre, shard, nil) {
		return "", nil, false
	}
	return id, o, true
}

func unknownJob(w http.ResponseWriter, id string) {
	Refuse(w, http.StatusNotFound, Problem{Outcome: NotRun, Reason: "job " + id + " is not known"})
}

func (s *Server) owned(w http.ResponseWriter, r *http.Request, id string, o *pool.Organisation) (dispatch.JobView, bool) {
	v, found, err := s.Jobs.Job(r.Context(), id)
	switch {
	case err != nil:
		Refuse(w, http.StatusServiceUnavailable, Problem{Outcome: NotRun, Reason: err.Error(), RetryAfterMS: 1000})
	case !found || v.Organisation != o.Name:
		unknownJob(w, id)
	default:
		return v, true
	}
	return v, false
}

func (s *Server) view(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.job(w, r, RightRead)
	if !ok {
		return
	}
	if v, ok := s.owned(w, r, id, o); ok {
		WriteJSON(w, http.StatusOK, v)
	}
}

const (
	defaultPage = 100
	maxPage     = 1000
)

func (s *Server) tasks(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.job(w, r, RightRead)
	if !ok {
		return
	}
	if _, ok := s.owned(w, r, id, o); !ok {
		return
	}
	from, limit, ok := page(w, r)
	if !ok {
		return
	}
	views, found, err := s.Jobs.Tasks(r.Context(), id, from, limit)
	if err != nil || !found {
		unknownJob(w, id)
		return
	}
	WriteJSON(w, http.StatusOK, views)
}

func page(w http.ResponseWriter, r *http.Request) (from, limit int, ok bool) {
	number := func(name string, standard, most int) (int, bool) {
		text := r.URL.Query().Get(name)
		if text == "" {
			return standard, true
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > most {
			Refuse(w, http.StatusUnprocessableEntity, Problem{
				Outcome: NotRun, Reason: fmt.Sprintf("%s: %q is not a number from 0 to %d", name, text, most),
			})
			return 0, false
		}
		return n, true
	}
	if from, ok = number("from", 0, 1<<30); !ok {
		return 0, 0, false
	}
	limit, ok = number("limit", defaultPage, maxPage)
	return from, limit, ok
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id, o, ok := s.job(w, r, RightCancel)
	if !ok {
		return
	}
	v, ok := s.owned(w, r, id, o)
	if !ok {
		return
	}
	if v.Open == 0 {
		WriteJSON(w, http.StatusAccepted, Accepted{Job: id}) // it has ended already
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.SubmitWait)
	defer cancel()
	out := s.Jobs.Cancel(ctx, id)
	if out.Refusal != nil {
		RefuseWire(w, "", out.Refusal)
		return
	}
	WriteJSON(w, http.StatusAccepted, Accepted{Job: id})
}

// list gathers the jobs of an organisation from all processes. Processes that
// do not answer are named in the header Persimmon-Missing.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	o := s.Access.Organisation(w, r, RightRead)
	if o == nil {
		return
	}
	views, err := s.Jobs.List(r.Context(), o.Name)
	if err != nil {
		Refuse(w, http.StatusServiceUnavailable, Problem{Outcome: NotRun, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	if r.Header.Get(HeaderForwarded) == "" {
		views = s.gather(w, r, views)
	}
	if views == nil {
		views = []dispatch.JobView{}
	}
	WriteJSON(w, http.StatusOK, views)
}
