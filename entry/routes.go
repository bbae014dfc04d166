package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/buffer"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/forward"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/wire"
)

// rackOwners tells the dispatcher which process owns which rack. The dispatcher asks
// for every task that it sends, so the result is cached for
// ownersCacheTTL.
type rackOwners struct {
	p        *Process
	cached   map[string]dispatch.RackOwner
	cachedAt time.Time
}

// ownersCacheTTL is how long the owners are cached. Peers report changes no more often
// than every peer.StatusInterval.
const ownersCacheTTL = 20 * time.Millisecond

var _ dispatch.RackClient = (*rackOwners)(nil)

// Owners implements dispatch.Racks. It uses the state of this process and the
// statuses of its peers, not the ownership rows in the table, which may be out of
// date. It runs on the control loop.
func (o *rackOwners) Owners() map[string]dispatch.RackOwner {
	if o.cached == nil || time.Since(o.cachedAt) >= ownersCacheTTL {
		o.cached, o.cachedAt = o.owners(), time.Now()
	}
	return o.cached
}

func (o *rackOwners) owners() map[string]dispatch.RackOwner {
	p := o.p
	v := p.hosts.Load()
	if v == nil {
		return nil
	}
	best := map[string]dispatch.RackOwner{}
	for _, s := range p.peers.Live(time.Now()) {
		if s.DataCentre != p.Settings.Process.DataCentre {
			continue
		}
		for _, x := range s.Shards {
			if x.Capacity != nil && x.Epoch >= best[x.Shard].Epoch {
				best[x.Shard] = dispatch.RackOwner{Process: s.Process, Epoch: x.Epoch}
			}
		}
	}
	for r := range p.racks.All {
		if r.Epoch >= best[r.Name].Epoch {
			best[r.Name] = dispatch.RackOwner{Process: p.Settings.Process.Name, Epoch: r.Epoch}
		}
	}
	owners := make(map[string]dispatch.RackOwner, len(v.racks))
	for _, name := range v.racks {
		owners[name] = best[name]
	}
	return owners
}

// Sync implements dispatch.Racks.
func (o *rackOwners) Sync(ctx context.Context, process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error) {
	p := o.p
	if process == p.Settings.Process.Name {
		return p.syncLocal(ctx, s)
	}
	address := p.relayAddressOf(process)
	if address == "" {
		return nil, nil, fmt.Errorf("process %s has no known address: %w", process, relay.ErrNotSent)
	}
	reply, err := p.node.Call(ctx, address, &wire.Call{Body: &wire.Call_TaskSync{TaskSync: s}})
	p.meter.RelayCall(callResult(err))
	if err != nil {
		return nil, nil, err
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal, nil
	}
	return reply.GetTaskReport(), nil, nil
}

// peerForwarder forwards service requests to other processes.
type peerForwarder struct{ p *Process }

var _ forward.PeerForwarder = (*peerForwarder)(nil)

// Forward implements forward.PeerForwarder.
func (r *peerForwarder) Forward(ctx context.Context, process string, c *wire.Call, body io.Reader) (*relay.Answer, error) {
	address := r.p.relayAddressOf(process)
	if address == "" {
		return nil, fmt.Errorf("process %s has no known address: %w", process, relay.ErrNotSent)
	}
	answer, err := r.p.node.Forward(ctx, address, c, body)
	r.p.meter.RelayCall(callResult(err))
	return answer, err
}

var _ gateway.Router = (*Process)(nil)

// Owner implements gateway.Router.
func (p *Process) Owner(dataCentre, shard string) string {
	if dataCentre == p.Settings.Process.DataCentre {
		if process, _, ok := p.shards.Owner(shard); ok {
			return process
		}
	}
	for _, s := range p.peers.Live(time.Now()) {
		if s.DataCentre != dataCentre {
			continue
		}
		for _, x := range s.Shards {
			if x.Shard == shard && x.Ready {
				return s.Process
			}
		}
	}
	return ""
}

// Processes implements gateway.Router.
func (p *Process) Processes() []string {
	var all []string
	for _, m := range p.session.Members() {
		if m.State == ownership.Live && m.Process != p.Settings.Process.Name {
			all = append(all, m.Process)
		}
	}
	return all
}

// ForwardRequest implements gateway.Router.
func (p *Process) ForwardRequest(w http.ResponseWriter, r *http.Request, process string) bool {
	address := p.relayAddressOf(process)
	if address == "" {
		return false
	}
	h := http.Header{}
	for _, name := range []string{"Authorization", "Content-Type"} {
		if v := r.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	m := &wire.Forward{Method: r.Method, Path: r.URL.RequestURI(), DeadlineMs: uint64((2 * submitWait).Milliseconds()), Length: r.ContentLength}
	for name, values := range h {
		m.Headers = append(m.Headers, &wire.Header{Name: name, Values: values})
	}
	var body io.Reader = http.NoBody
	if r.Body != nil {
		body = r.Body
	}
	answer, err := p.node.Forward(r.Context(), address, &wire.Call{Request: "pass-" + process, Body: &wire.Call_Forward{Forward: m}}, body)
	p.meter.RelayCall(callResult(err))
	if err != nil {
		if strings.Contains(err.Error(), relay.ErrNotSent.Error()) {
			return false
		}
		gateway.WriteRefusal(w, "", &wire.Refusal{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "process " + process + ": " + err.Error()})
		return true
	}
	defer answer.Body.Close()
	if refused := answer.Head.GetRefusal(); refused != nil {
		gateway.WriteRefusal(w, "", refused)
		return true
	}
	for _, x := range answer.Head.Headers {
		w.Header()[http.CanonicalHeaderKey(x.Name)] = x.Values
	}
	w.WriteHeader(int(answer.Head.Status))
	if _, err := buffer.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must not take a truncated body for the complete one
	}
	return true
}

// Forward implements relay.Forwarder. The call is a service request for a runner of
// this process, or a caller's API request that another process passed on.
func (p *Process) Forward(ctx context.Context, peerName string, c *wire.Call, body io.Reader, w relay.AnswerWriter) error {
	m := c.GetForward()
	if m.GetService() != "" {
		return p.forward.ServePeer(ctx, c, body, w)
	}
	u, err := url.ParseRequestURI(m.GetPath())
	if err != nil || !strings.HasPrefix(u.Path, "/v1/") {
		p.Log.Emit(event.BadInput, "peer", peerName, "path", m.GetPath())
		return w.Refuse(&wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "no such path: " + m.GetPath()})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMs)*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, m.Method, m.Path, body)
	if err != nil {
		return w.Refuse(&wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: err.Error()})
	}
	r.ContentLength, r.RemoteAddr, r.RequestURI = m.Length, peerName, m.Path
	for _, x := range m.Headers {
		r.Header[http.CanonicalHeaderKey(x.Name)] = x.Values
	}
	r.Header.Set(gateway.HeaderForwarded, peerName)
	out := &forwardedResponse{w: w, header: http.Header{}, request: c.Request}
	p.handler.ServeHTTP(out, r)
	return out.finish()
}

// forwardedResponse is an http.ResponseWriter that sends the response over the internal
// protocol.
type forwardedResponse struct {
	w           relay.AnswerWriter
	header      http.Header
	request     string
	wroteHeader bool
	err         error
}

// Header implements http.ResponseWriter.
func (a *forwardedResponse) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *forwardedResponse) WriteHeader(status int) {
	if a.wroteHeader {
		return
	}
	a.wroteHeader = true
	head := &wire.Head{Request: a.request, Status: uint32(status)}
	for name, values := range a.header {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Values: values})
	}
	a.err = a.w.Head(head)
}

// Write implements http.ResponseWriter.
func (a *forwardedResponse) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.err != nil {
		return 0, a.err
	}
	return a.w.Write(b)
}

func (a *forwardedResponse) finish() error {
	a.WriteHeader(http.StatusOK)
	return a.err
}
