package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// brokenRouter passes calls to processes of which one breaks off its answer.
type brokenRouter struct{ Router }

func (brokenRouter) Processes() []string { return []string{"e1", "e2"} }

func (brokenRouter) Pass(w http.ResponseWriter, _ *http.Request, process string) bool {
	if process == "e2" {
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write([]byte("[]"))
	return err == nil
}

func TestGatherSurvivesABrokenAnswer(t *testing.T) {
	taken := 0
	q := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	missing := Gather(brokenRouter{}, q, func(string, []byte) error { taken++; return nil })
	if taken != 1 || !slices.Equal(missing, []string{"e2"}) {
		t.Errorf("%d answers, missing %v", taken, missing)
	}
}
