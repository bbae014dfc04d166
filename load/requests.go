package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/gateway"
)

// Defaults of the fields of Requests.
const (
	defaultLength  = time.Minute
	defaultTimeout = 10 * time.Second
	defaultOpen    = 2048
	drainTime      = 15 * time.Second // for answers after the last request
	workHeader     = "Persimmon-Work-Ms"
)

// Organisation is a caller and its part of the requests.
type Organisation struct {
	Name, Token string
	Weight      int // 0 means 1
}

// Part is a class and its part of the requests.
type Part struct {
	Class  class.Class
	Weight int // 0 means 1
}

// Requests sends service requests at a given rate. Exported fields are set
// before Run.
type Requests struct {
	// Targets are the URLs, taken in turn: services of entry processes, or
	// runners themselves for a comparison. All are loopback addresses.
	Targets []string
	// Rate is in requests a second; Count and Length end the run, 0 means one
	// minute's worth and one minute.
	Rate   float64
	Count  int
	Length time.Duration
	// Organisations and Classes are drawn by weight; without any, requests
	// carry no token and no class.
	Organisations []Organisation
	Classes       []Part
	// Work is the time that a stand-in runner spends on a request, Body the
	// least number of bytes of one.
	Work time.Duration
	Body int
	// Timeout is each request's deadline, 0 means 10 s.
	Timeout time.Duration
	// Open bounds the requests that wait for an answer, 0 means 2048. Beyond
	// it requests are not sent but counted as Shed.
	Open int
	Seed uint64
	// Client sends; nil makes one whose connections are closed at the end.
	Client *http.Client
}

func (r *Requests) check() error {
	var errs []error
	if len(r.Targets) == 0 {
		errs = append(errs, errors.New("load: no target; name an address"))
	}
	for _, t := range r.Targets {
		errs = append(errs, checkAddress(t))
	}
	if r.Rate <= 0 || r.Rate > MaxRate {
		errs = append(errs, fmt.Errorf("load: rate %v is not above 0 and up to %d requests a second", r.Rate, MaxRate))
	}
	if r.Count < 0 || r.Count > MaxCount {
		errs = append(errs, fmt.Errorf("load: count %d is not from 0 to %d", r.Count, MaxCount))
	}
	if r.Length < 0 || r.Length > MaxLength {
		errs = append(errs, fmt.Errorf("load: length %v is not from 0 to %v", r.Length, MaxLength))
	}
	return errors.Join(errs...)
}

// planned is one request before it is sent.
type planned struct {
	number       int
	at           time.Duration // after the start of the run
	target       string
	organisation Organisation
	class        class.Class
}

// Run sends the requests and waits for their answers. The error tells of a
// plan that cannot be run, never of an answer: those are in the report.
func (r *Requests) Run(ctx context.Context) (*Report, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	length := orDefault(r.Length, defaultLength)
	client := r.Client
	if client == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: orDefault(r.Open, defaultOpen)}
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport, CheckRedirect: stay}
	}
	report := newReport()
	ctx, cancel := context.WithTimeout(ctx, length+drainTime)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(orDefault(r.Open, defaultOpen))
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	begin := time.Now()
	next := time.Duration(0)
	for n := 0; r.Count == 0 || n < r.Count; n++ {
		next += time.Duration(rng.ExpFloat64() / r.Rate * float64(time.Second))
		if next > length || !sleepUntil(ctx, begin.Add(next)) {
			break
		}
		p := r.plan(n, next, rng)
		if !group.TryGo(func() error { r.send(ctx, client, begin, p, report); return nil }) {
			report.note(p.class, Shed, 0)
		}
	}
	_ = group.Wait()
	report.Elapsed = time.Since(begin)
	return report, nil
}

// stay keeps a client from following a redirect off this machine.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Requests) plan(n int, at time.Duration, rng *rand.Rand) planned {
	p := planned{number: n, at: at, target: r.Targets[n%len(r.Targets)]}
	p.organisation = pick(r.Organisations, func(o Organisation) int { return o.Weight }, rng)
	p.class = pick(r.Classes, func(c Part) int { return c.Weight }, rng).Class
	return p
}

// pick draws an element by weight; the zero value from an empty list.
func pick[T any](list []T, weight func(T) int, rng *rand.Rand) T {
	sum := 0
	for _, x := range list {
		sum += max(weight(x), 1)
	}
	var chosen T
	if sum == 0 {
		return chosen
	}
	n := rng.IntN(sum)
	for _, x := range list {
		chosen = x
		if n -= max(weight(x), 1); n < 0 {
			break
		}
	}
	return chosen
}

// body names the request, so that no two are equal.
func (r *Requests) body(p planned) string {
	text := fmt.Sprintf("load %d request %d ", r.Seed, p.number)
	if pad := r.Body - len(text); pad > 0 {
		text += strings.Repeat(".", pad)
	}
	return text
}

func (r *Requests) send(ctx context.Context, client *http.Client, begin time.Time, p planned, report *Report) {
	timeout := orDefault(r.Timeout, defaultTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := r.body(p)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, p.target, strings.NewReader(body))
	if err != nil {
		report.note(p.class, Broken, 0)
		return
	}
	if p.organisation.Token != "" {
		q.Header.Set("Authorization", "Bearer "+p.organisation.Token)
	}
	if p.class != "" {
		q.Header.Set(gateway.HeaderClass, string(p.class))
	}
	q.Header.Set(gateway.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	q.Header.Set(workHeader, strconv.FormatInt(r.Work.Milliseconds(), 10))
	result := Broken
	if answer, err := client.Do(q); err == nil {
		result = judge(answer, body)
	}
	report.note(p.class, result, time.Since(begin)-p.at)
}

// judge tells how a request was answered. Nothing of the answer is taken on
// trust: a good one must be the request's own body, whole.
func judge(answer *http.Response, sent string) Result {
	defer answer.Body.Close()
	got, err := io.ReadAll(io.LimitReader(answer.Body, int64(len(sent))+4096))
	switch outcome := answer.Header.Get(gateway.HeaderOutcome); {
	case err != nil:
		return Broken
	case answer.StatusCode == http.StatusOK && string(got) == sent:
		return OK
	case answer.StatusCode == http.StatusOK:
		return Wrong
	case outcome == gateway.OutcomeNotRun:
		return NotRun
	case outcome == gateway.OutcomeUnknown:
		return Unknown
	default:
		return Failed
	}
}
