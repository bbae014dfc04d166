package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/upstream"
)

const (
	clients      = 6
	clientPause  = 20 * time.Millisecond
	pollReady    = 100 * time.Millisecond
	callTimeout  = 30 * time.Second
	workMS       = "15"
	outcomeOK    = "answered"
	outcomeBroke = "broke off" // no answer, or not a whole one
)

// kind is what a caller says about its request.
type kind int

const (
	idempotent kind = iota
	onceKeyed       // non-idempotent, with a key
	onceBare        // non-idempotent, without a key
	kinds
)

func (k kind) String() string {
	return [...]string{"idempotent", "once with a key", "once without a key"}[k]
}

// call is one request as its caller saw it.
type call struct {
	identity string // in the body, and the idempotency key unless bare
	kind     kind
	process  string
	request  string // identity that the system gave it, "" if it told none
	outcome  string
	reason   string
	at       time.Time
}

// load sends requests to the entry processes through a balancer that asks
// /readyz.
type load struct {
	bed    *bed
	http   *http.Client
	ready  atomic.Pointer[[]*process]
	only   func(p *process) bool // nil sends to all
	group  errgroup.Group
	cancel context.CancelFunc

	mu    sync.Mutex
	calls []call
	wrong []string // answers that were not the caller's own
}

// startLoad begins to send. It goes on until stop.
func (b *bed) startLoad(only func(p *process) bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		bed: b, only: only, cancel: cancel,
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: clients}},
	}
	b.t.Cleanup(cancel)
	l.balance(ctx)
	l.group.Go(func() error {
		for sleep(ctx, pollReady) {
			l.balance(ctx)
		}
		return nil
	})
	for i := range clients {
		rng := rand.New(rand.NewPCG(*seed, uint64(i)))
		l.group.Go(func() error {
			for n := 0; sleep(ctx, clientPause); n++ {
				l.one(fmt.Sprintf("caller-%d-%d", i, n), rng)
			}
			return nil
		})
	}
	return l
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// balance asks every process whether it is ready.
func (l *load) balance(ctx context.Context) {
	var found []*process
	var mu sync.Mutex
	var group errgroup.Group
	for _, p := range l.bed.entries {
		if l.only != nil && !l.only(p) {
			continue
		}
		group.Go(func() error {
			if ready(ctx, p) == nil {
				mu.Lock()
				found = append(found, p)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return nil
	l.ready.Store(&found)
}

func (l *load) pick(rng *rand.Rand) *process {
	all := *l.ready.Load()
	if len(all) == 0 {
		return nil
	}
	return all[rng.IntN(len(all))]
}

// one sends one request, and for some keyed ones the same key again with
// another body, which must get the first answer.
func (l *load) one(identity string, rng *rand.Rand) {
	p := l.pick(rng)
	if p == nil {
		return
	}
	c := call{identity: identity, kind: kind(rng.IntN(int(kinds))), process: p.name}
	body := l.send(p, &c, identity)
	l.note(c, body, identity)
	if c.kind != onceKeyed || c.outcome != outcomeOK || rng.IntN(4) != 0 {
		return
	}
	if p = l.pick(rng); p == nil {
		return
	}
	again := c
	again.process = p.name
	body = l.send(p, &again, identity+" again")
	if again.outcome == outcomeOK && body != identity {
		l.mu.Lock()
		l.wrong = append(l.wrong, fmt.Sprintf("repeated key %s at %s got %q", identity, p.name, body))
		l.mu.Unlock()
	}
}

func (l *load) note(c call, body, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	if c.outcome == outcomeOK && body != want {
		l.wrong = append(l.wrong, fmt.Sprintf("%s at %s got %q", c.identity, c.process, body))
	}
}

func (l *load) send(p *process, c *call, text string) string {
	c.at = time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+p.caller+"/v1/services/"+service+"/match", strings.NewReader(text))
	if err != nil {
		c.outcome, c.reason = outcomeBroke, err.Error()
		return ""
	}
	r.Header.Set("Authorization", "Bearer "+l.bed.token)
	r.Header.Set(upstream.WorkHeader, workMS)
	if c.kind != onceBare {
		r.Header.Set(gateway.HeaderIdempotencyKey, c.identity)
	}
	if c.kind != idempotent {
		r.Header.Set(gateway.HeaderNonIdempotent, "true")
	}
	answer, err := l.http.Do(r)
	if err != nil {
		c.outcome, c.reason = outcomeBroke, err.Error()
		if *dumpStuck && os.IsTimeout(err) {
			_ = p.command.Process.Signal(syscall.SIGQUIT) // its stacks go to its log
		}
		return ""
	}
	defer answer.Body.Close()
	c.request = answer.Header.Get(gateway.HeaderRequestID)
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		c.outcome, c.reason = outcomeBroke, err.Error()
	case answer.StatusCode == http.StatusOK:
		c.outcome = outcomeOK
	default:
		var problem gateway.Problem
		c.outcome, c.reason = outcomeBroke, fmt.Sprintf("status %d: %s", answer.StatusCode, body)
		if json.Unmarshal(body, &problem) == nil && problem.Outcome != "" {
			c.outcome, c.reason = problem.Outcome, problem.Reason
		}
	}
	return string(body)
}

// stop ends the load and returns all calls.
func (l *load) stop() []call {
	l.cancel()
	_ = l.group.Wait() // the functions return nil
	l.http.CloseIdleConnections()
	for _, w := range l.wrong {
		l.bed.t.Errorf("wrong answer: %s", w)
	}
	return l.calls
}

// count returns the calls by outcome.
func count(calls []call) map[string]int {
	n := map[string]int{}
	for _, c := range calls {
		n[c.outcome]++
	}
	return n
}

// reasons returns the calls that were not answered, by outcome and reason.
func reasons(calls []call) string {
	n := map[string]int{}
	for _, c := range calls {
		if c.outcome != outcomeOK {
			reason := c.reason
			for _, id := range []string{c.request, c.identity} {
				if id != "" {
					reason = strings.ReplaceAll(reason, id, "ID")
				}
			}
			n[fmt.Sprintf("%s %s at %s: %.160s", c.kind, c.outcome, c.process, reason)]++
		}
	}
	var b strings.Builder
	for reason, times := range n {
		fmt.Fprintf(&b, "\n  %d × %s", times, reason)
	}
	return b.String()
}

// verdict checks the ledger and the callers' records against the promises.
func (b *bed) verdict(calls []call) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleBound)
	defer cancel()
	violations, err := b.control.Check(ctx)
	if err != nil {
		b.t.Fatal(err)
	}
	for _, v := range violations {
		b.t.Errorf("ledger: %v", v)
	}
	rows, err := b.control.Ledger(ctx)
	if err != nil {
		b.t.Fatal(err)
	}
	ran := map[string]int{} // by identity given by the system, and by key
	for _, e := range rows {
		if e.Kind == ledger.Request && e.Outcome != ledger.Refused {
			ran["request "+e.Request]++
			if e.IdempotencyKey != "" {
				ran["key "+e.IdempotencyKey]++
			}
		}
	}
	for _, c := range calls {
		byRequest, byKey := ran["request "+c.request], ran["key "+c.identity]
		switch {
		case c.outcome == gateway.OutcomeNotRun && (c.request != "" && byRequest > 0 || byKey > 0):
			b.t.Errorf("%s at %s was answered with not-run (%s) and ran", c.identity, c.process, c.reason)
		case c.outcome == outcomeOK && byRequest == 0:
			b.t.Errorf("%s at %s was answered and did not run", c.identity, c.process)
		case c.kind != idempotent && max(byRequest, byKey) > 1:
			b.t.Errorf("%s is non-idempotent and ran %d times", c.identity, max(byRequest, byKey))
		}
	}
	b.t.Logf("calls %v, ledger rows %d, violations %d%s", count(calls), len(rows), len(violations), reasons(calls))
}

// call sends a call of the jobs' interface and decodes a good answer.
func (b *bed) call(ctx context.Context, p *process, method, path string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+b.token)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		var problem gateway.Problem
		_ = json.Unmarshal(text, &problem) // without an outcome it stays empty
		return &refused{problem}
	}
	return json.Unmarshal(text, into)
}

// refused is a refusal as an error.
type refused struct{ gateway.Problem }

func (r *refused) Error() string { return r.Outcome + ": " + r.Reason }

func outcomeOf(err error) string {
	var r *refused
	switch {
	case err == nil:
		return outcomeOK
	case errors.As(err, &r):
		return r.Outcome
	default:
		return outcomeBroke
	}
}
