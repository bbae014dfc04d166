package entry

import (
	"context"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/event"
)

// Time limits of a graceful shutdown.
const (
	leaveNoticeTime = time.Second // for the load balancer and the peers to notice that this process leaves
	finishTimeout   = 10 * time.Minute
	handOverTimeout = 10 * time.Second
)

// shutdown reports this process as leaving, hands its shards over, ends the session
// and waits for requests in flight.
func (p *Process) shutdown(server *http.Server) {
	ctx := p.ctx
	p.Log.Emit(event.ShutdownBegun, "in-flight", p.node.InFlight())
	p.leaving.Store(true) // reported by readyz and in the status sent to peers
	p.wait(ctx, leaveNoticeTime)

	p.Log.Emit(event.ShutdownHandingOver, "shards", len(p.shards.Held()))
	p.handOver(ctx)

	p.Log.Emit(event.ShutdownWaiting, "in-flight", p.node.InFlight())
	finish, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	_ = server.Shutdown(finish) // an error means that finish has expired
	_ = p.node.Shutdown(finish)
}

// handOver stores pending job state and ends the session, so that other processes
// can take the shards at once. Requests in flight keep their runners.
func (p *Process) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	p.dispatcher.Close(ctx)
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
