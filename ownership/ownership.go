// Package ownership decides which process acts for which shard.
//
// Every process registers one Session, a row of the platform's table that it
// renews by compare-and-swap. Shards takes ownership of shards for a session.
// Each shard has a row with its owner and an epoch that increases with every
// change of owner. The epoch is the fencing token of every request that the
// owner sends to a worker.
//
// A session may act only while Valid reports true; callers check it
// immediately before each send. Its deadline is the send time of the last
// renewal known to be durable, plus TTL, minus Margin, on the monotonic clock.
// Another process of the same data centre marks the session row expired after
// seeing it unchanged for TTL + Margin on its own clock; the clocks of two
// hosts are never compared. Only then are the shards of the session taken over.
//
// A process that cannot reach the platform asks a peer to relay its renewal.
// If no peer can reach the platform either, the process asks its witnesses,
// the sessions named in its last durable row, to promise not to expire its
// session; it stays valid only if every witness promises. A witness that can
// reach the platform never promises. A witness that has started to expire a
// session, or has told a process that takes over its shards that no promise is
// in force, never promises to that session again.
//
// A write whose answer was lost (provider.ErrOutcomeUnknown) is resolved by reading
// the row back: every row names the session that wrote it. A write that is
// applied late is harmless, because it expects a version that the next write
// has already replaced.
//
// Usage:
//
//	s := &ownership.Session{Table: table, Process: "entry-1", DataCentre: "sofia", Peers: peers}
//	h := &ownership.Shards{Session: s, Known: shardNames, OnTake: startOwning, OnLose: stopOwning}
//	g, ctx := errgroup.WithContext(ctx)
//	g.Go(func() error { return s.Run(ctx) })
//	g.Go(func() error { return h.Run(ctx) })
//	...
//	if s.Valid(time.Now()) { send(epoch) }
package ownership

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Default values of the fields of Session and Shards, and internal limits.
const (
	DefaultRenewEvery     = 2 * time.Second
	DefaultTTL            = 8 * time.Second
	DefaultMargin         = time.Second
	DefaultMaxTransit     = 5 * time.Second       // upper bound on the delivery time of a message to a worker
	DefaultCommitInterval = 20 * time.Millisecond // pause between two commits of one round
	DefaultBatchSize      = 64                    // shard rows per commit
	DefaultMaxHandOvers   = 2                     // voluntary releases per round
	DefaultMinMemberAge   = 10 * time.Second      // how long a member must be live before owned shards move to it
	pageSize              = 500                   // rows per Range call
	callTimeoutDivisor    = 2                     // a table call times out after RenewEvery divided by this
	roundsPerRank         = 3                     // a member takes a vacant shard this many rounds later for each member ranked before it
)

// PeerClient sends the two calls of this package to a peer, which is addressed by
// its process name. Errors are those of the transport or of the platform; an
// error from Promise does not mean that the peer has denied a promise.
type PeerClient interface {
	// Renew asks the peer to call RelayRenewal.
	Renew(ctx context.Context, peer, session string, version uint64, value []byte) (uint64, error)
	// Promise asks the peer to call GivePromise.
	Promise(ctx context.Context, peer, session string, d time.Duration) (time.Duration, bool, error)
}

var _ PeerClient = (*NoPeers)(nil)

// NoPeers is the PeerClient of a process that cannot call any peer.
type NoPeers struct{}

// Renew fails with provider.ErrUnavailable.
func (*NoPeers) Renew(context.Context, string, string, uint64, []byte) (uint64, error) {
	return 0, provider.ErrUnavailable
}

// Promise fails with provider.ErrUnavailable.
func (*NoPeers) Promise(context.Context, string, string, time.Duration) (time.Duration, bool, error) {
	return 0, false, provider.ErrUnavailable
}
