package forward

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/gateway"
)

// A request with arbitrary header values gets either the runner's response or a
// refusal with an outcome and a reason.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("interactive", "true", "k-1", "1000")
	f.Add("", "", "", "")
	f.Add("urgent ", "TRUE", "k\x00", "-1")
	f.Add("batch", "false", "k", "99999999999999999999")
	e := newTestGateway(f, echo)
	f.Fuzz(func(t *testing.T, class, once, key, deadline string) {
		for _, v := range []string{class, once, key, deadline} {
			if strings.ContainsFunc(v, func(c rune) bool { return c != '\t' && c < ' ' || c == 0x7f }) {
				return // net/http's server rejects such a header before the handler runs
			}
		}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/services/jobs/match", strings.NewReader("pigment"))
		r.Header = http.Header{
			"Authorization": {"Bearer " + e.token.Reveal()}, gateway.HeaderClass: {class}, gateway.HeaderNonIdempotent: {once},
			gateway.HeaderIdempotencyKey: {key}, gateway.HeaderDeadline: {deadline},
		}
		w := httptest.NewRecorder()
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			}
		}()
		e.server.Config.Handler.ServeHTTP(w, r)
		var p gateway.Problem
		switch {
		case w.Code == http.StatusOK && w.Body.String() == "pigment":
		case w.Code == http.StatusOK, json.Unmarshal(w.Body.Bytes(), &p) != nil, p.Outcome == "", p.Reason == "":
			t.Errorf("status %d, body %q", w.Code, w.Body)
		}
	})
}
