// Command stand-2 starts processes of the scheduler, with the command of the deploy file,
// against stand-ins of the platform: its store, its operator, its runners and its clients. It
// plays one case, writes what was sent, answered and run to a record, and judges the rules.
//
// Usage:
//
//	stand-2 -case labels -binary target/persimmonworks -record record.txt [-trouble=false]
//
// It exits with 1 if a rule was broken, with 0 if all held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/pause"
)

const (
	held        = 0
	brokenRule  = 1
	couldNotRun = 2

	startUp       = 20 * time.Second // until every process knows queue and owners
	startLook     = 200 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// stage is what a case is played on.
type stage struct {
	trouble   bool
	store     *store
	ledger    *ledger
	runners   []*runner
	processes []*process
	client    *client
	group     *errgroup.Group
}

// play is one case.
type play struct {
	runners, ofKindB, processes int
	run                         func(ctx context.Context, s *stage) error
}

var plays = map[string]play{
	"labels": {runners: 288, processes: 9, run: playLabels},
	"kind":   {runners: 304, ofKindB: 2 * runnersInRack, processes: 9, run: playKind},
	"timed":  {runners: 48, processes: 8, run: playTimed},
	"alone":  {runners: 48, processes: 8, run: playAlone},
	"grey":   {runners: 48, ofKindB: 4, processes: 8, run: playGrey},
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/persimmonworks", "program of the scheduler")
	record := flag.String("record", "record.txt", "file that is written")
	logs := flag.String("logs", "", "folder for settings and logs, a temporary one if empty")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	p, ok := plays[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand-2: there is no case %q\n", *name)
		return couldNotRun
	}
	broken, err := p.record(*binary, *record, *logs, *trouble)
	if err != nil {
		fmt.Fprintf(os.Stderr, "stand-2: case %s: %v\n", *name, err)
		return couldNotRun
	}
	for _, b := range broken {
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return brokenRule
	}
	fmt.Println("all rules held")
	return held
}

// record plays the case and writes its record.
func (p play) record(binary, record, logs string, trouble bool) ([]string, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	if logs == "" {
		if logs, err = os.MkdirTemp("", "stand-2-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(logs)
	}
	l := newLedger(out)
	err = p.stage(binary, logs, trouble, l)
	for _, b := range l.faults() {
		l.note("verdict", "broken", b)
	}
	if len(l.faults()) == 0 && err == nil {
		l.note("verdict", "rules", "held")
	}
	return l.faults(), errors.Join(err, l.flush())
}

// stage starts the stand-ins and the processes, plays the case, and ends them all.
func (p play) stage(binary, logs string, trouble bool, l *ledger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := &stage{trouble: trouble, store: newStore(), ledger: l, group: group}
	advisor, err := serve(ctx, group, http.NotFoundHandler()) // no queue needs advice
	if err != nil {
		return err
	}
	s.store.put("op", "config", configuration())
	for i := range p.runners {
		r, err := newRunner(i, i < p.ofKindB, s.store, l)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		r.server = serveOn(ctx, group, r.listen, r.handler())
		group.Go(func() error { return r.live(ctx) })
	}
	var fronts []string
	for i := range p.processes {
		way, err := serve(ctx, group, s.store.wayOf(i)) // each process has one of its own, so that the store knows who calls
		if err != nil {
			return err
		}
		x, err := newProcess(group, i, binary, logs, way, advisor)
		if err != nil {
			return err
		}
		group.Go(func() error { return x.live(ctx, l) })
		s.processes = append(s.processes, x)
		fronts = append(fronts, x.front)
	}
	s.client = newClient(fronts, l)
	group.Go(func() error {
		defer cancel()
		if err := s.awaitStart(ctx); err != nil {
			return err
		}
		return p.run(ctx, s)
	})
	return group.Wait()
}

// awaitStart waits until every process answers that it does not know a job.
func (s *stage) awaitStart(ctx context.Context) error {
	end := time.Now().Add(startUp)
	for !s.client.ready(ctx) {
		if time.Now().After(end) || !pause.For(ctx, startLook) {
			return fmt.Errorf("the processes do not serve %v after their start: %s", startUp, s.lastLines())
		}
	}
	s.ledger.note("all processes serve")
	return nil
}

// lastLines returns the last line of each process's log.
func (s *stage) lastLines() string {
	var lines []string
	for _, p := range s.processes {
		text, err := os.ReadFile(p.log)
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		all := strings.Split(strings.TrimSpace(string(text)), "\n")
		lines = append(lines, p.name+": "+all[len(all)-1])
	}
	return strings.Join(lines, "; ")
}

// live writes the runner's entry at each heartbeat and watches its lease until ctx ends.
func (r *runner) live(ctx context.Context) error {
	r.beat()
	pause.For(ctx, rand.N(heartbeat)) // runners do not write in step
	beat, lease := time.NewTicker(heartbeat), time.NewTicker(leaseLook)
	defer beat.Stop()
	defer lease.Stop()
	for {
		select {
		case <-beat.C:
			r.beat()
		case <-lease.C:
			r.look()
		case <-ctx.Done():
			return nil
		}
	}
}

// serve serves on a free port of loopback until ctx ends, and returns its address.
func serve(ctx context.Context, group *errgroup.Group, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serveOn(ctx, group, l, h)
	return l.Addr().String(), nil
}

func serveOn(ctx context.Context, group *errgroup.Group, l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", l.Addr(), err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return server
}

// configuration is what the operator writes: one queue.
func configuration() any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-checks", "host": queueHost, "path-prefix": queuePrefix, "type": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 3000, "priority": 1, "service": serviceName, "max-attempts": mostAttempts, "dilation": 4.0,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "preconditions": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
