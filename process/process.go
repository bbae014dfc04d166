// Package process runs one process of the scheduler on a host: its settings,
// its listeners, its readiness and its graceful shutdown.
//
// After a signal to stop, the process reports that it is not ready, hands the
// docket over, and goes on answering callers until the balancer has noticed
// and the requests in flight have their answers.
//
// Usage:
//
//	s, err := process.LoadSettings(path)
//	p := &process.Process{Settings: s, Callers: front, Peers: exchange, Metrics: m, Node: n, Log: l, Intake: process.NewIntake(s, l, m)}
//	err = p.Run(ctx, signals)
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/ingress"
)

const (
	handOver       = 900 * time.Millisecond  // for giving the docket to another process
	noticed        = 2600 * time.Millisecond // until the balancer sends no new connections
	headerTimeout  = 3 * time.Second
	callerIdle     = 15 * time.Second
	maxHeaderBytes = 16 << 10
	processIdle    = 45 * time.Second       // longer than other processes keep connections without calls
	reservedGrace  = 700 * time.Millisecond // kept for ending after the last answer
)

// Node is the part of the process that owns or follows the docket.
type Node interface {
	Run(ctx context.Context) error
	Leave(ctx context.Context)
	Connected() bool
}

// Process is one process. Set the exported fields, then call Run.
type Process struct {
	Settings *Settings
	Callers  http.Handler // callers' interface
	Peers    http.Handler // other processes
	Metrics  http.Handler
	Known    func() bool // whether a configuration is known
	Node     Node
	Tasks    []func(context.Context) error // further parts that run until ctx ends
	Log      event.Emitter
	Intake   Intake

	stopping atomic.Bool
}

// Run serves until a signal to stop or ctx ends.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	callers := newServer(p.closing(p.Callers), callerIdle)
	peers := newServer(p.Peers, processIdle)
	ready := newServer(p.readiness(), callerIdle)
	servers, interfaces := []*http.Server{callers, peers, ready}, p.Intake.All()
	for i, s := range servers {
		interfaces[i].Attach(s)
		l := interfaces[i].Listen(listeners[i])
		group.Go(func() error { return serve(s, l) })
	}
	group.Go(func() error { return ingress.Sweep(ctx, interfaces...) })
	group.Go(func() error { return p.Node.Run(ctx) })
	for _, task := range p.Tasks {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		p.waitForStop(ctx, signals)
		p.shutdown(ctx, callers)
		return errors.Join(peers.Close(), ready.Close())
	})
	p.Log.Emit(event.ProcessReady, "front", p.Settings.Front, "exchange", p.Settings.Exchange)
	err = group.Wait()
	p.Log.Emit(event.ProcessStopped)
	return err
}

func newServer(h http.Handler, idle time.Duration) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes}
}

func (p *Process) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range []string{p.Settings.Front, p.Settings.Exchange, p.Settings.Ready} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// closing tells callers of a process that stops to use another connection.
func (p *Process) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

func (p *Process) readiness() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", p.Metrics)
	r.HandleFunc("/-/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if p.stopping.Load() || !p.Known() || !p.Node.Connected() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// waitForStop returns at a signal to stop; a hangup only reads the settings.
func (p *Process) waitForStop(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			p.reread()
		case <-ctx.Done():
			return
		}
	}
}

// reread checks the settings file. What has changed there is in force from the
// next start, since addresses and leases cannot change under running work.
func (p *Process) reread() {
	s, err := LoadSettings(p.Settings.Path)
	if err != nil {
		p.Log.Emit(event.EntryUnreadable, "entry", p.Settings.Path, "error", err)
		return
	}
	p.Log.Emit(event.SettingsRead, "changed", *s != *p.Settings, "in-force", "at the next start")
}

func (p *Process) shutdown(ctx context.Context, callers *http.Server) {
	begun := time.Now()
	p.stopping.Store(true)
	p.Log.Emit(event.ShutdownBegun)
	leave, cancel := context.WithTimeout(ctx, handOver)
	p.Node.Leave(leave)
	cancel()
	select {
	case <-time.After(noticed - time.Since(begun)):
	case <-ctx.Done():
	}
	left := max(reservedGrace, p.Settings.Grace-reservedGrace-time.Since(begun))
	finish, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := callers.Shutdown(finish); err != nil {
		p.Log.Emit(event.ShutdownForced, "error", err)
	}
}
