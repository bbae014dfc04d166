package watch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/event"
)

// names keeps the names and first values of events.
type names []string

func (n *names) Emit(e *event.Event, keysAndValues ...any) {
	text := e.Name
	if len(keysAndValues) > 1 {
		text += " " + fmt.Sprint(keysAndValues[1])
	}
	*n = append(*n, text)
}

func TestChangesAreLoggedOnce(t *testing.T) {
	var log names
	w := Watch{Log: &log}
	calm := State{Ready: true, Platform: true, Session: "e1/1", Peers: map[string]bool{"e2": true}}
	bad := State{
		Ready: true, Session: "e1/1", Peers: map[string]bool{"e2": false, "e3": true},
		Leaving: map[string]int{"w1": 2, "w2": 0}, Open: map[string]bool{"u1": true},
	}
	emptied := bad
	emptied.Leaving = map[string]int{"w1": 0, "w2": 0}
	for _, step := range []struct {
		state State
		want  []string
	}{
		{State{}, []string{"platform-away"}},
		{calm, []string{"process-ready", "session-registered e1/1", "platform-back"}},
		{calm, nil},
		{bad, []string{"platform-away", "peer-lost e2", "circuit-opened u1", "drain-notice w1", "drain-notice w2", "drain-done w2"}},
		{bad, nil},
		{emptied, []string{"drain-done w1"}},
		{calm, []string{"platform-back", "peer-back e2", "circuit-closed u1"}},
		{bad, []string{"platform-away", "peer-lost e2", "circuit-opened u1", "drain-notice w1", "drain-notice w2", "drain-done w2"}},
	} {
		log = nil
		w.See(step.state)
		if diff := cmp.Diff(step.want, []string(log)); diff != "" {
			t.Errorf("after %+v: %s", step.state, diff)
		}
	}
}
