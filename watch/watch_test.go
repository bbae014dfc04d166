package watch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/event"
)

// recordedEvents records the name and the first value of each event.
type recordedEvents []string

func (r *recordedEvents) Emit(e *event.Event, keysAndValues ...any) {
	text := e.Name
	if len(keysAndValues) > 1 {
		text += " " + fmt.Sprint(keysAndValues[1])
	}
	*r = append(*r, text)
}

// Each condition is logged once when it begins and once when it ends, and not again
// while it lasts.
func TestChangesAreLoggedOnce(t *testing.T) {
	var events recordedEvents
	w := Monitor{Log: &events}
	healthy := State{Ready: true, PlatformReachable: true, Session: "e1/1", Peers: map[string]bool{"e2": true}}
	degraded := State{
		Ready: true, Session: "e1/1", Peers: map[string]bool{"e2": false, "e3": true},
		Leaving: map[string]int{"w1": 2, "w2": 0}, OpenCircuits: map[string]bool{"u1": true},
	}
	degradedDrained := degraded
	degradedDrained.Leaving = map[string]int{"w1": 0, "w2": 0}
	for _, step := range []struct {
		state State
		want  []string
	}{
		{State{}, []string{"platform-away"}},
		{healthy, []string{"process-ready", "session-registered e1/1", "platform-back"}},
		{healthy, nil},
		{degraded, []string{"platform-away", "peer-lost e2", "circuit-opened u1", "drain-notice w1", "drain-notice w2", "drain-done w2"}},
		{degraded, nil},
		{degradedDrained, []string{"drain-done w1"}},
		{healthy, []string{"platform-back", "peer-back e2", "circuit-closed u1"}},
		{degraded, []string{"platform-away", "peer-lost e2", "circuit-opened u1", "drain-notice w1", "drain-notice w2", "drain-done w2"}},
	} {
		events = nil
		w.Observe(step.state)
		if diff := cmp.Diff(step.want, []string(events)); diff != "" {
			t.Errorf("after %+v: %s", step.state, diff)
		}
	}
}
