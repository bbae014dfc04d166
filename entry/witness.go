package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/wire"
)

// witness sends the calls of package ownership to peers.
type witness struct{ p *Process }

var _ ownership.PeerClient = (*witness)(nil)

// Renew implements ownership.PeerClient.
func (w *witness) Renew(ctx context.Context, peerName, session string, version uint64, value []byte) (uint64, error) {
	reply, err := w.call(ctx, peerName, &wire.Call{Body: &wire.Call_RenewSession{RenewSession: &wire.RenewSession{Session: session, Version: version, Value: value}}})
	if err != nil {
		return 0, err
	}
	return reply.GetSessionRenewed().GetVersion(), nil
}

// Promise implements ownership.PeerClient.
func (w *witness) Promise(ctx context.Context, peerName, session string, d time.Duration) (time.Duration, bool, error) {
	reply, err := w.call(ctx, peerName, &wire.Call{Body: &wire.Call_Promise{Promise: &wire.Promise{Session: session, ForMs: uint64(d.Milliseconds())}}})
	if err != nil {
		return 0, false, err
	}
	g := reply.GetPromiseGiven()
	if g == nil {
		return 0, false, fmt.Errorf("promise from %s: the reply contains no promise: %w", peerName, provider.ErrUnavailable)
	}
	return time.Duration(g.ForMs) * time.Millisecond, g.Given, nil
}

func (w *witness) call(ctx context.Context, peerName string, c *wire.Call) (*wire.Reply, error) {
	address := w.p.relayAddressOf(peerName)
	if address == "" {
		return nil, fmt.Errorf("process %s has no known address: %w", peerName, provider.ErrUnavailable)
	}
	reply, err := w.p.node.Call(ctx, address, c)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return nil, fmt.Errorf("%v: %w", err, provider.ErrUnavailable)
	case err != nil:
		return nil, fmt.Errorf("%v: %w", err, provider.ErrOutcomeUnknown)
	case reply.Refusal != nil && reply.Refusal.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, provider.ErrOutcomeUnknown)
	case reply.Refusal != nil && reply.Refusal.Outcome == wire.Outcome_OUTCOME_FAILED:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, provider.ErrConflict)
	case reply.Refusal != nil:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, provider.ErrUnavailable)
	}
	return reply, nil
}

// platformOutcome encodes a platform error as an outcome of the internal protocol.
// A conflict is encoded as failed; witness.call decodes it.
func platformOutcome(err error) wire.Outcome {
	switch {
	case errors.Is(err, provider.ErrConflict):
		return wire.Outcome_OUTCOME_FAILED
	case errors.Is(err, provider.ErrOutcomeUnknown):
		return wire.Outcome_OUTCOME_UNKNOWN
	default:
		return wire.Outcome_OUTCOME_NOT_RUN
	}
}
