package load

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/gateway"
)

func TestOnlyLoopback(t *testing.T) {
	for address, good := range map[string]bool{
		"http://127.0.0.1:1/x": true, "http://[::1]:1/": true, "http://10.0.0.1:1/": false,
		"http://localhost:1/": false, "http://127.0.0.1/": false, "http://192.0.2.1:80": false,
	} {
		r := Requests{Targets: []string{address}, Rate: 1}
		if err := r.check(); (err == nil) != good {
			t.Errorf("%s: %v", address, err)
		}
		if !good {
			if _, err := (&Batch{Address: address, Tasks: 1}).Submit(t.Context()); err == nil {
				t.Errorf("a batch to %s was accepted", address)
			}
		}
	}
	if err := checkAddress("http://192.0.2.1:80"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("got %v", err)
	}
}

func TestBounds(t *testing.T) {
	good := Requests{Targets: []string{"http://127.0.0.1:1/"}, Rate: 1}
	for name, spoil := range map[string]func(*Requests){
		"rate 0":       func(r *Requests) { r.Rate = 0 },
		"rate":         func(r *Requests) { r.Rate = MaxRate + 1 },
		"count":        func(r *Requests) { r.Count = MaxCount + 1 },
		"length":       func(r *Requests) { r.Length = MaxLength + 1 },
		"no target":    func(r *Requests) { r.Targets = nil },
		"below zero":   func(r *Requests) { r.Count = -1 },
		"back in time": func(r *Requests) { r.Length = -1 },
	} {
		r := good
		spoil(&r)
		if _, err := r.Run(t.Context()); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Every way in which an answer can be bad is told apart from a good one.
func TestJudge(t *testing.T) {
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		switch n.Add(1) % 8 {
		case 0:
			_, _ = w.Write(body)
		case 1: // of another request
			_, _ = w.Write([]byte(strings.Replace(string(body), "request ", "request 9", 1)))
		case 2: // a part that claims to be the whole
			_, _ = w.Write(body[:len(body)-1])
		case 3: // a part of what was announced
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(body)
		case 4:
			w.Header().Set(gateway.HeaderOutcome, gateway.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		case 5:
			w.Header().Set(gateway.HeaderOutcome, gateway.OutcomeUnknown)
			w.WriteHeader(http.StatusBadGateway)
		case 6:
			w.WriteHeader(http.StatusInternalServerError)
		default: // more than was sent
			_, _ = w.Write(append(body, 'x'))
		}
	}))
	defer server.Close()
	r := Requests{Targets: []string{server.URL}, Rate: 5000, Count: 800, Seed: 7, Classes: []Part{{Class: class.Urgent}}}
	report, err := r.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := map[Result]int{OK: 100, Wrong: 300, Broken: 100, NotRun: 100, Unknown: 100, Failed: 100, Shed: 0}
	for result, count := range want {
		if got := report.Count(result); got != count {
			t.Errorf("%s: %d, want %d", result, got, count)
		}
	}
	if report.Total() != 800 || report.Latency(0.5) <= 0 || !strings.HasPrefix(report.String(), "urgent") {
		t.Errorf("report:\n%v", report)
	}
}

// A tool that cannot keep up says so instead of sending later.
func TestShed(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		<-release
		_, _ = io.Copy(w, q.Body)
	}))
	defer server.Close()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	r := Requests{Targets: []string{server.URL}, Rate: 1000, Count: 50, Open: 3, Seed: 1}
	report, err := r.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Total() != 50 || report.Count(OK)+report.Count(Shed) != 50 || report.Count(OK) < 3 {
		t.Errorf("report:\n%v", report)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	parts := []Part{{class.Urgent, 1}, {class.Batch, 3}}
	seen := map[class.Class]int{}
	for range 4000 {
		seen[pick(parts, func(p Part) int { return p.Weight }, rng).Class]++
	}
	if seen[class.Urgent] < 900 || seen[class.Urgent] > 1100 || seen[class.Urgent]+seen[class.Batch] != 4000 {
		t.Errorf("drawn %v", seen)
	}
}

func TestReadPlan(t *testing.T) {
	p := Plan{Rate: 1}
	err := p.Read("load.ini", []byte("[load]\naddresses = http://127.0.0.1:1, http://127.0.0.1:2\nrate = 20.5\nlength = 3s\nservice = jobs\n[classes]\nurgent = 2\n[organisations]\nworkshop = abc=\n"))
	if err != nil {
		t.Fatal(err)
	}
	r := p.Requests()
	if len(r.Targets) != 2 || r.Targets[1] != "http://127.0.0.1:2/v1/services/jobs/" || r.Rate != 20.5 || r.Length != 3*time.Second {
		t.Errorf("requests %+v", r)
	}
	if r.Organisations[0] != (Organisation{Name: "workshop", Token: "abc="}) || r.Classes[0] != (Part{class.Urgent, 2}) {
		t.Errorf("requests %+v", r)
	}
	err = p.Read("load.ini", []byte("x = 1\n[load]\nrat = 1\nrate = fast\n[classes]\nslow = 1\nbatch = 0\n[other]\na = b\n"))
	for _, part := range []string{"x:", "rat:", "rate:", "slow:", "batch:", "[other]"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not among the findings: %v", part, err)
		}
	}
}
