package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

// Proposed is the answer to an intent.
type Proposed struct {
	Digest string      `json:"digest"`
	Plan   intent.Plan `json:"plan"`
	// Missing names the processes whose attempts the plan cannot know.
	Missing []string `json:"missing,omitempty"`
}

// Shown is a stored plan.
type Shown struct {
	Proposed
	ConfirmedBy string `json:"confirmed-by,omitempty"`
	ConfirmedAs uint64 `json:"confirmed-as,omitempty"` // number of the configuration
}

// Refusal is the body of a refused confirmation. Plan is the plan made anew
// where the old one was stale.
type Refusal struct {
	gateway.Problem
	Plan *Proposed `json:"plan,omitempty"`
}

// Undo is the request to take back a configuration.
type Undo struct {
	Number uint64 `json:"number"`
	Why    string `json:"why,omitempty"`
}

// Past is one configuration of the history.
type Past struct {
	Number uint64 `json:"number"`
	By     string `json:"by"`
	At     string `json:"at"`
	Why    string `json:"why"`
}

// decode reads a JSON body of known members, or answers.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.More() {
		err = errors.New("more than one JSON value")
	}
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	refuse(w, status, fmt.Sprintf("body: %v; see docs/API.md", err))
	return false
}

func (s *Server) propose(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	var in intent.Intent
	if decode(w, r, &in) {
		s.plan(w, r, o, in)
	}
}

func (s *Server) undo(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	var u Undo
	if decode(w, r, &u) {
		s.plan(w, r, o, intent.Intent{Kind: intent.Undo, Number: u.Number, Why: u.Why})
	}
}

// plan proposes an intent in the operator's name.
func (s *Server) plan(w http.ResponseWriter, r *http.Request, o *pool.Operator, in intent.Intent) {
	if len(in.Why) > maxWhy {
		refuse(w, http.StatusUnprocessableEntity, fmt.Sprintf("why: %d bytes, limit %d", len(in.Why), maxWhy))
		return
	}
	in.By, in.At = o.Name, s.Plans.CurrentTime()
	proposed, err := s.proposed(r, in)
	if err != nil {
		s.failed(w, r, o, err)
		return
	}
	s.Log.Emit(event.IntentProposed, "kind", in.Kind, "by", o.Name, "plan", proposed.Digest, "steps", len(proposed.Plan.Steps))
	note(w, proposed.Missing)
	if wants(r, "text/plain") {
		writeText(w, http.StatusCreated, textOf(proposed))
		return
	}
	gateway.WriteJSON(w, http.StatusCreated, proposed)
}

func (s *Server) proposed(r *http.Request, in intent.Intent) (Proposed, error) {
	var missing []string
	plan, err := s.planStore(r, &missing).Propose(r.Context(), in)
	if err != nil {
		return Proposed{}, err
	}
	return Proposed{Digest: plan.Digest(), Plan: plan, Missing: missing}, nil
}

// failed answers an operation on plans that did not take place.
func (s *Server) failed(w http.ResponseWriter, r *http.Request, o *pool.Operator, err error) {
	refusal := Refusal{Problem: gateway.Problem{Outcome: gateway.OutcomeNotRun, Reason: err.Error()}}
	status := http.StatusServiceUnavailable
	var confirmed *confirmation.ConfirmedError
	switch {
	case errors.Is(err, provider.ErrOutcomeUnknown):
		status, refusal.Outcome = http.StatusBadGateway, gateway.OutcomeUnknown
		refusal.Reason += "; send the same again"
	case errors.Is(err, confirmation.ErrPlanNotFound), errors.Is(err, provider.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, intent.ErrInvalid):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, intent.ErrStale), errors.Is(err, chain.ErrRaced), errors.As(err, &confirmed), errors.Is(err, provider.ErrConflict):
		status = http.StatusConflict
	default:
		refusal.RetryAfterMS = 1000
	}
	if errors.Is(err, intent.ErrStale) || errors.Is(err, chain.ErrRaced) {
		refusal.Plan = s.again(r, mux.Vars(r)["digest"], o)
	}
	s.Log.Emit(event.IntentRefused, "by", o.Name, "reason", refusal.Reason)
	w.Header().Set(gateway.HeaderOutcome, refusal.Outcome)
	gateway.WriteJSON(w, status, refusal)
}

// again makes the plan of a digest anew, nil if that cannot be.
func (s *Server) again(r *http.Request, digest string, o *pool.Operator) *Proposed {
	stored, err := s.Plans.Plan(r.Context(), digest)
	if err != nil {
		return nil
	}
	in := stored.Plan.Intent
	in.By, in.At = o.Name, s.Plans.CurrentTime()
	proposed, err := s.proposed(r, in)
	if err != nil {
		return nil
	}
	return &proposed
}

func (s *Server) showPlan(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	digest := mux.Vars(r)["digest"]
	stored, err := s.Plans.Plan(r.Context(), digest)
	if err != nil {
		s.failed(w, r, o, err)
		return
	}
	shown := Shown{Proposed{Digest: digest, Plan: stored.Plan}, stored.By, stored.Number}
	if wants(r, "text/plain") {
		writeText(w, http.StatusOK, textOf(shown.Proposed))
		return
	}
	gateway.WriteJSON(w, http.StatusOK, shown)
}

const (
	historyLimit = 20
	historyMost  = 1000
)

func (s *Server) history(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	limit := historyLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > historyMost {
			refuse(w, http.StatusUnprocessableEntity, fmt.Sprintf("limit: %q is not a number from 1 to %d", text, historyMost))
			return
		}
		limit = n
	}
	entries, err := s.Plans.History(r.Context(), limit)
	if err != nil {
		s.failed(w, r, o, err)
		return
	}
	past := []Past{}
	for _, e := range entries {
		past = append(past, Past{e.Number, e.By, e.At.UTC().Format("2006-01-02T15:04:05Z"), e.Why})
	}
	gateway.WriteJSON(w, http.StatusOK, past)
}

// wants reports whether the caller accepts a type of answer before JSON.
func wants(r *http.Request, mime string) bool {
	for part := range strings.SplitSeq(r.Header.Get("Accept"), ",") {
		kind, _, _ := strings.Cut(strings.TrimSpace(part), ";")
		switch kind {
		case mime:
			return true
		case "application/json":
			return false
		}
	}
	return false
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller is gone if this fails
}

func textOf(p Proposed) string {
	text := p.Plan.Text()
	if len(p.Missing) > 0 {
		text += "\nnot answered, so their attempts are not in the plan: " + strings.Join(p.Missing, ", ") + "\n"
	}
	return text
}
