package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// brokenRouter forwards to two processes. The response of e2 is cut short, on
// which ForwardRequest panics with http.ErrAbortHandler.
type brokenRouter struct{ Router }

func (brokenRouter) Processes() []string { return []string{"e1", "e2"} }

func (brokenRouter) ForwardRequest(w http.ResponseWriter, _ *http.Request, process string) bool {
	if process == "e2" {
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write([]byte("[]"))
	return err == nil
}

// FanOut must report a process whose response is cut short as missing.
// Router.ForwardRequest panics then; unrecovered, the panic would end the whole
// process.
func TestGatherSurvivesABrokenAnswer(t *testing.T) {
	taken := 0
	q := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	missing := FanOut(brokenRouter{}, q, func(string, []byte) error { taken++; return nil })
	if taken != 1 || !slices.Equal(missing, []string{"e2"}) {
		t.Errorf("FanOut called add %d times and returned missing = %v", taken, missing)
	}
}
