// Package ownership decides which process acts for which shard.
//
// Every process registers one Session, a row of the platform's table that it
// renews by compare-and-swap. A Shards value takes shards for the session:
// each shard has a row with its owner and an epoch that rises with every
// change of owner. The epoch is the fencing token of everything that the owner
// does to a worker.
//
// A session acts only while Valid reports true, which callers check just
// before each send. Its deadline is the send time of the last renewal that is
// known to be durable, plus TTL, minus Margin, on the monotonic clock. Another
// process of the same data centre marks the session row expired once it has
// seen it unchanged for TTL + Margin on its own clock; clocks of two hosts are
// never compared. Only then are the shards of the session taken.
//
// A process that has lost the platform asks a peer to relay its renewal. If no
// peer can either, every witness, a session that is named in the process's own
// durable row, can promise not to expire it. A witness that can reach the
// platform never promises, and one that has begun to expire a session, or has
// denied a promise to its successor, never promises to that session again.
//
// A lost answer (provider.ErrUnknown) is resolved by reading the row back: all
// rows carry the session that wrote them. A late write is harmless, because it
// expects a version that the next write has already replaced.
//
// Usage:
//
//	s := &ownership.Session{Table: table, Process: "entry-1", DataCentre: "sofia", Peers: peers}
//	h := &ownership.Shards{Session: s, Known: names, OnTake: fence, OnLose: forget}
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

// Defaults of the fields of Session and Shards.
const (
	DefaultRenewEvery = 2 * time.Second
	DefaultTTL        = 8 * time.Second
	DefaultMargin     = time.Second
	DefaultTransit    = 5 * time.Second       // longest time that a message to a worker is under way
	DefaultPace       = 20 * time.Millisecond // between two commits of one round
	DefaultBatch      = 64                    // shard rows in one commit
	DefaultHandOvers  = 2                     // voluntary releases in one round
	DefaultStable     = 10 * time.Second      // age of a member before shards move to it
	pageSize          = 500                   // rows of one Range
	callsPerRenewal   = 2                     // a table call may use this part of RenewEvery
	rankRounds        = 3                     // rounds per rank, before a less preferred member takes a vacant shard
)

// Witness carries the two calls of this package to a peer. A peer is named by
// its process. Errors are those of the transport or of the platform; an error
// of Promise is never a denial.
type Witness interface {
	// Renew asks the peer to call RelayRenewal.
	Renew(ctx context.Context, peer, session string, version uint64, value []byte) (uint64, error)
	// Promise asks the peer to call GivePromise.
	Promise(ctx context.Context, peer, session string, d time.Duration) (time.Duration, bool, error)
}

var _ Witness = (*NoWitness)(nil)

// NoWitness is a Witness without peers.
type NoWitness struct{}

// Renew fails with provider.ErrUnavailable.
func (*NoWitness) Renew(context.Context, string, string, uint64, []byte) (uint64, error) {
	return 0, provider.ErrUnavailable
}

// Promise fails with provider.ErrUnavailable.
func (*NoWitness) Promise(context.Context, string, string, time.Duration) (time.Duration, bool, error) {
	return 0, false, provider.ErrUnavailable
}
