package console

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

// StepState is how far one step of a confirmed plan is.
type StepState string

// States of a step.
const (
	StepRunning  StepState = "running"  // still on the host that it is to leave
	StepStopping StepState = "stopping" // asked for its checkpoint
	StepMoved    StepState = "moved"    // runs on another host
	StepGone     StepState = "gone"     // ended, or waits for a host
	StepStands   StepState = "stands"   // a notice that concerns no single attempt
)

// StepProgress is a step of a plan and how far it is.
type StepProgress struct {
	intent.Step
	State StepState `json:"state"`
	Now   string    `json:"now-on,omitempty"` // host
}

// Progress is how far a confirmed plan is.
type Progress struct {
	Digest string         `json:"digest"`
	Number uint64         `json:"number"` // of the configuration; 0 is not confirmed
	Steps  []StepProgress `json:"steps"`
	// Left lists all attempts that are still on hosts which the plan takes
	// out of use, also those that came after the plan was made.
	Left    []Running `json:"left"`
	Done    bool      `json:"done"`
	Missing []string  `json:"missing,omitempty"` // processes that did not answer
}

func (s *Server) progress(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	digest := mux.Vars(r)["digest"]
	stored, err := s.Plans.Plan(r.Context(), digest)
	if err != nil {
		s.failed(w, r, o, err)
		return
	}
	parts, missing := s.gatherParts(r)
	answer := progressOf(stored.Plan, s.PoolView.Hosts(), running(parts))
	answer.Digest, answer.Number, answer.Missing = digest, stored.Number, missing
	answer.Done = answer.Done && stored.Number > 0 && len(missing) == 0
	note(w, missing)
	gateway.WriteJSON(w, http.StatusOK, answer)
}

// progressOf compares a plan with what runs now.
func progressOf(p intent.Plan, hosts []provider.Host, now []Running) Progress {
	answer := Progress{Steps: []StepProgress{}, Left: []Running{}, Done: true}
	byTask := make(map[string]Running, len(now))
	for _, a := range now {
		if a.Number >= byTask[a.Task].Number {
			byTask[a.Task] = a
		}
	}
	for _, step := range p.Steps {
		x := StepProgress{Step: step, State: StepStands}
		if step.Task != "" {
			x.State, x.Now = stepState(step, byTask)
		}
		answer.Steps = append(answer.Steps, x)
	}
	leaving := leavingHosts(p.Intent, hosts)
	for _, a := range now {
		if leaving[a.Host] {
			answer.Left, answer.Done = append(answer.Left, a), false
		}
	}
	return answer
}

func stepState(step intent.Step, byTask map[string]Running) (StepState, string) {
	a, runs := byTask[step.Task]
	switch {
	case !runs:
		return StepGone, ""
	case a.Host != step.From:
		return StepMoved, a.Host
	case a.Stopping:
		return StepStopping, a.Host
	}
	return StepRunning, a.Host
}

// leavingHosts returns the hosts that an intent takes out of use.
func leavingHosts(in intent.Intent, hosts []provider.Host) map[string]bool {
	leaving := make(map[string]bool)
	for _, h := range hosts {
		switch in.Kind {
		case intent.DrainWorker, intent.DrainRunner:
			leaving[h.ID] = h.ID == in.Target
		case intent.DrainRack:
			leaving[h.ID] = h.Rack == in.Target
		case intent.DrainDataCentre:
			leaving[h.ID] = h.DataCentre == in.Target
		}
	}
	return leaving
}
