package forward

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/standin"
)

// testGateway is a gateway server with a Forwarder and one runner.
type testGateway struct {
	server *httptest.Server
	token  keys.Token
	sends  atomic.Int64 // requests that reached the runner
}

// newTestGateway starts a gateway whose runner handles requests with behave. If behave
// is nil the runner cannot be reached.
func newTestGateway(t testing.TB, behave http.HandlerFunc) *testGateway {
	e := &testGateway{token: keys.NewToken()}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.sends.Add(1)
		behave(w, r)
	}))
	t.Cleanup(upstream.Close)
	if behave == nil {
		upstream.Close()
	}
	c := &pool.Configuration{
		Organisations: []pool.Organisation{{Name: "prado", Weight: 1, TokenHashes: []string{e.token.Digest().String()}}},
		Services:      []pool.Service{{Name: "jobs"}},
	}
	log := &event.Log{Writer: io.Discard}
	current := func() *pool.Configuration { return c }
	f := &Forwarder{
		Process: "e1", DataCentre: "dc1", Loop: control.New(), Gate: &admission.Controller{MaxQueued: 10}, Pool: &runner.Pool{},
		PeerRunners: &runner.Directory{}, Budget: &runner.RetryBudget{}, RunnerClient: &http.Client{}, Table: &standin.Table{},
		PlatformReachable: func() bool { return true }, Configuration: current, SessionValid: func(time.Time) bool { return true },
		Log: log, Rand: rand.New(rand.NewPCG(1, 1)), MaxBody: 1 << 20,
	}
	for range 100 {
		f.Budget.AddAttempt() // fills the retry budget, so that it allows retries
	}
	f.Gate.SetSlots("jobs", 2)
	f.Pool.Upsert(runner.Runner{ID: "u-1", Service: "jobs", DataCentre: "dc1", Rack: "r1", Address: upstream.URL, Slots: 2}, time.Now())
	s := &gateway.Server{
		Access: gateway.Access{Current: current, Log: log}, Requests: f, Operators: http.NotFoundHandler(), Metrics: http.NotFoundHandler(),
	}
	e.server = httptest.NewServer(s.Handler())
	t.Cleanup(e.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.Loop.Run(ctx) })
	group.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // both return when ctx ends
	})
	return e
}

// broken is the result of ask for a response that was not received completely.
const broken = "broken"

// ask sends a request and returns the response body, or the outcome if the request
// was refused.
func (e *testGateway) ask(t *testing.T, body string, header ...string) string {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.server.URL+"/v1/services/jobs/match", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+e.token.Reveal())
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return broken
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return broken
	}
	var p gateway.Problem
	if answer.StatusCode != http.StatusOK && json.Unmarshal(text, &p) == nil {
		return p.Outcome
	}
	return string(text)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(gateway.HeaderRequestID, r.Header.Get(gateway.HeaderRequestID))
	_, _ = io.Copy(w, r.Body)
}

func reset(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "a part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func noFreeSlot(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(provider.OutcomeHeader, provider.OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func another(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(gateway.HeaderRequestID, "of-somebody-else")
	_, _ = io.WriteString(w, "the answer of somebody else")
}

// A caller gets either the complete response to its own request or the correct
// outcome. A non-idempotent request that may have run is not sent again.
func TestOutcomes(t *testing.T) {
	once := []string{gateway.HeaderNonIdempotent, "true", gateway.HeaderDeadline, "400"}
	cases := []struct {
		name   string
		behave http.HandlerFunc
		want   string
		sends  int64 // -1 allows any number
	}{
		{"answered", echo, "pigment", 1},
		{"reset", reset, gateway.OutcomeUnknown, 1},
		{"truncated", truncate, broken, 1},
		{"answer to another request", another, gateway.OutcomeUnknown, 1},
		{"no free slot", noFreeSlot, gateway.OutcomeNotRun, -1},
		{"unreachable", nil, gateway.OutcomeNotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newTestGateway(t, c.behave)
			if got := e.ask(t, "pigment", once...); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if n := e.sends.Load(); c.sends >= 0 && n != c.sends {
				t.Errorf("sent %d times, want %d", n, c.sends)
			}
		})
	}
}

// A repeated idempotency key gets the first outcome and is not sent.
func TestRepeatedKey(t *testing.T) {
	keyed := []string{gateway.HeaderNonIdempotent, "true", gateway.HeaderIdempotencyKey, "refund-7"}
	for _, c := range []struct {
		name   string
		behave http.HandlerFunc
		want   string
	}{{"answered", echo, "first"}, {"reset", reset, gateway.OutcomeUnknown}} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestGateway(t, c.behave)
			for _, body := range []string{"first", "second"} {
				// The outcome is recorded after the response was sent. Until then
				// a repeated key gets the outcome unknown.
				got := e.ask(t, body, keyed...)
				for tries := 0; got == gateway.OutcomeUnknown && c.want != got && tries < 100; tries++ {
					time.Sleep(10 * time.Millisecond)
					got = e.ask(t, body, keyed...)
				}
				if got != c.want {
					t.Errorf("body %q got %q, want %q", body, got, c.want)
				}
			}
			if n := e.sends.Load(); n != 1 {
				t.Errorf("sent %d times, want once", n)
			}
		})
	}
}
