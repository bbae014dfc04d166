package command

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// answer is a canned answer of an entry process.
type answer struct {
	status int
	header string // value of Persimmon-Missing
	body   string
}

// Each subcommand sends what its help says and prints a table or what came.
func TestOperatorCommands(t *testing.T) {
	const digest = "abc"
	for _, test := range []struct {
		args   string
		answer answer
		sent   string // method, path and accepted type
		body   string // part of the body that was sent
		out    string
		err    string
		exit   int
	}{
		{"plan -organisation prado -weight 3 set-weight", answer{201, "", "plan abc\n"}, "POST /v1/operator/plans text/plain", `"weight":3`, "plan abc", "", 0},
		{"plan -json -target r1 drain-rack", answer{201, "e3", "{}\n"}, "POST /v1/operator/plans application/json", `"target":"r1"`, "{}", "no answer from e3", 0},
		{"plan -organisation new -weight 2 -token-hash aa,bb add-organisation", answer{201, "", ""}, "POST /v1/operator/plans text/plain", `"token-hashes":["aa","bb"]`, "", "", 0},
		{"plan -data-centre dc1 -rack r9 -workers 8 -cores 16 add-capacity", answer{201, "", ""}, "POST /v1/operator/plans text/plain", `"milli-cpu":16000`, "", "", 0},
		{"plan -organisation prado -class urgent -latency 1s -percent 99 set-objective", answer{201, "", ""}, "POST /v1/operator/plans text/plain", `"latency-ns":1000000000`, "", "", 0},
		{"plan", answer{}, "", "", "", "name one kind of intent", 2},
		{"undo -number 4 -why oops", answer{201, "", "plan"}, "POST /v1/operator/undo text/plain", `"number":4`, "plan", "", 0},
		{"undo", answer{}, "", "", "", "-number is missing", 2},
		{
			"confirm -wait 2s " + digest,
			answer{200, "", `{"number":5,"by":"ivana","in-force":["e1"],"cut-off":[{"process":"e2","reason":"not heard lately; had 4"}]}`},
			"POST /v1/operator/plans/abc/confirm?wait-ms=2000 application/json", "", "not in force at e2: not heard lately; had 4", "", 0,
		},
		{
			"confirm " + digest,
			answer{409, "", `{"outcome":"not-run","reason":"the plan is stale","plan":{"digest":"def","plan":{"intent":{"kind":"set-weight"}}}}`},
			"POST /v1/operator/plans/abc/confirm?wait-ms=7000 application/json", "", "set-weight", "made anew; read it and confirm def", 1,
		},
		{
			"progress " + digest,
			answer{200, "", `{"number":5,"steps":[{"action":"move","task":"t","from":"w1","state":"moved","now-on":"w2"}],"left":[]}`},
			"GET /v1/operator/plans/abc/progress application/json", "", "w2", "", 0,
		},
		{"history -limit 3", answer{200, "", `[{"number":2,"by":"ivana","at":"2026","why":"set-weight"}]`}, "GET /v1/operator/history?limit=3 application/json", "", "ivana", "", 0},
		{"usage -last 24h", answer{200, "", `{"lines":[{"organisation":"prado","class":"batch","used":{"milli-cpu":2500000}}]}`}, "GET /v1/operator/usage?last=24h application/json", "", "2.5", "", 0},
		{"usage -csv", answer{200, "", "organisation,class\n"}, "GET /v1/operator/usage? text/csv", "", "organisation,class", "", 0},
		{"burn", answer{200, "", "service-level burn"}, "GET /v1/operator/burn text/plain", "", "service-level burn", "", 0},
		{"burn -html", answer{200, "", "<!DOCTYPE html>"}, "GET /v1/operator/burn text/html", "", "<!DOCTYPE", "", 0},
		{"hosts", answer{200, "", `{"items":[{"id":"w1","drained-by":"oto"}]}`}, "GET /v1/operator/hosts application/json", "", "drained by oto", "", 0},
		{"processes", answer{200, "", `{"processes":[{"process":"e1","config-number":7}]}`}, "GET /v1/operator/processes application/json", "", "e1", "", 0},
		{"history", answer{401, "", `{"outcome":"not-run","reason":"the token belongs to no operator"}`}, "GET /v1/operator/history?limit=20 application/json", "", "", "set PERSIMMONWORKS_TOKEN", 1},
		{"history", answer{403, "", `{"outcome":"not-run","reason":"role"}`}, "GET /v1/operator/history?limit=20 application/json", "", "", "ask somebody whose role allows it", 1},
		{"history", answer{503, "", `{"outcome":"not-run","reason":"away","retry-after-ms":1000}`}, "GET /v1/operator/history?limit=20 application/json", "", "", "try again after 1000 ms", 1},
	} {
		var sent, body string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body) // an empty body fails the check below
			sent, body = r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Accept"), string(data)
			w.Header().Set("Persimmon-Missing", test.answer.header)
			w.WriteHeader(test.answer.status)
			_, _ = io.WriteString(w, test.answer.body)
		}))
		args := strings.Fields(test.args)
		args = append([]string{args[0], "-address", server.URL, "-token", "secret-of-the-test"}, args[1:]...)
		var out, errs bytes.Buffer
		exit := Main(t.Context(), args, &out, &errs)
		server.Close()
		if exit != test.exit || sent != test.sent || !strings.Contains(body, test.body) ||
			!strings.Contains(out.String(), test.out) || !strings.Contains(errs.String(), test.err) {
			t.Errorf("%s: exit %d, sent %q with %s\nout: %s\nerr: %s", test.args, exit, sent, body, out.String(), errs.String())
		}
		if strings.Contains(out.String()+errs.String(), "secret-of-the-test") {
			t.Errorf("%s shows the token", test.args)
		}
	}
}

func TestTokenHasItsHash(t *testing.T) {
	var out bytes.Buffer
	if exit := Main(t.Context(), []string{"token"}, &out, io.Discard); exit != 0 {
		t.Fatalf("exit %d", exit)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("printed %q", out.String())
	}
	secret := lines[0][strings.LastIndex(lines[0], " ")+1:]
	hash := lines[1][strings.LastIndex(lines[1], " ")+1:]
	if len(secret) < 26 || len(hash) != 64 {
		t.Errorf("secret of %d and hash of %d characters", len(secret), len(hash))
	}
}
