package entry

import (
	"context"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/event"
)

// Time limits of a graceful shutdown.
const (
	noticeTime   = time.Second // in which the balancer and peers learn that this process leaves
	finishTime   = 10 * time.Minute
	handOverTime = 10 * time.Second
)

// shutdown stops accepting, hands the shards over, finishes what is in flight
// and ends the session.
func (p *Process) shutdown(server *http.Server) {
	ctx := p.ctx
	p.Log.Emit(event.ShutdownBegun, "in-flight", p.node.InFlight())
	p.leaving.Store(true) // readyz and the status to peers tell it
	p.wait(ctx, noticeTime)

	p.Log.Emit(event.ShutdownHanding, "shards", len(p.shards.Held()))
	p.handOver(ctx)

	p.Log.Emit(event.ShutdownWaiting, "in-flight", p.node.InFlight())
	finish, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	_ = server.Shutdown(finish) // an error means that the time is over
	_ = p.node.Shutdown(finish)
}

// handOver writes down what is pending and ends the session, so that others
// take the shards at once. Requests in flight keep their runners.
func (p *Process) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	p.desk.Close(ctx)
	if err := p.session.End(ctx); err != nil {
		p.Log.Emit(event.SessionLate, "error", err)
	}
}

func (p *Process) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
