package console

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/pool"
)

// Confirmed is the answer to a confirmation that took place.
type Confirmed struct {
	Digest  string   `json:"digest"`
	Number  uint64   `json:"number"` // of the configuration
	By      string   `json:"by"`
	InForce []string `json:"in-force"`          // processes that have it
	CutOff  []CutOff `json:"cut-off,omitempty"` // processes that do not, as far as is known here
	TookMS  int64    `json:"took-ms"`           // from the commit until in force at all that can be reached
}

// CutOff is a process that has not been seen with a configuration.
type CutOff struct {
	Process string `json:"process"`
	Reason  string `json:"reason"`
}

const (
	waitInForce  = 7 * time.Second // the promise to operators
	longestWait  = 20 * time.Second
	standingPoll = 20 * time.Millisecond
)

func (s *Server) confirm(w http.ResponseWriter, r *http.Request, o *pool.Operator) {
	wait, ok := waitOf(w, r)
	if !ok {
		return
	}
	digest := mux.Vars(r)["digest"]
	var missing []string
	number, err := s.planStore(r, &missing).Confirm(r.Context(), digest, o.Name)
	if err != nil {
		s.failed(w, r, o, err)
		return
	}
	s.Log.Emit(event.IntentInForce, "plan", digest, "by", o.Name, "number", number)
	s.Chain.Announce(number)
	answer := s.awaitInForce(r.Context(), number, wait)
	answer.Digest, answer.By = digest, o.Name
	gateway.WriteJSON(w, http.StatusOK, answer)
}

func waitOf(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait-ms")
	if text == "" {
		return waitInForce, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > longestWait.Milliseconds() {
		refuse(w, http.StatusUnprocessableEntity, fmt.Sprintf("wait-ms: %q is not a number from 0 to %d", text, longestWait.Milliseconds()))
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// awaitInForce returns when every process has the number in force, or when the
// time is over with those that have not named.
func (s *Server) awaitInForce(ctx context.Context, number uint64, wait time.Duration) Confirmed {
	begin := time.Now()
	for {
		answer := inForce(s.PoolView.Processes(time.Now()), number)
		answer.TookMS = time.Since(begin).Milliseconds()
		if len(answer.CutOff) == 0 || time.Since(begin) >= wait {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(standingPoll):
		}
	}
}

func inForce(all []Standing, number uint64) Confirmed {
	c := Confirmed{Number: number, InForce: []string{}}
	for _, x := range all {
		switch {
		case x.Number >= number:
			c.InForce = append(c.InForce, x.Process)
		case !x.Heard:
			c.CutOff = append(c.CutOff, CutOff{x.Process, fmt.Sprintf("not heard lately; had %d", x.Number)})
		default:
			c.CutOff = append(c.CutOff, CutOff{x.Process, fmt.Sprintf("answers, but still has %d", x.Number)})
		}
	}
	return c
}
