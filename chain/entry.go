// Package chain stores the numbered configurations of the pool and distributes
// them to all processes.
//
// The chain is stored in the platform's table: one row for each configuration,
// chain/<number>, and the row chain-head with the highest number. A Publisher
// inserts a configuration and advances the head in one Commit, by
// compare-and-swap on the head. Of two publishers with the same base exactly
// one succeeds; the other gets a RaceError that names the winner. Every entry
// carries a nonce. If the response to a Commit is lost, the publisher reads
// back the entry with its number and compares the nonce. If that entry does
// not exist yet, it sends the identical Commit again: whichever copy is
// applied first makes the other one fail, and both carry the same nonce.
//
// A Follower holds the configuration in force in one process. It polls the
// head, asks peers while the platform is unreachable, and applies only numbers
// above its current one, so a process never reverts. A restarted process that
// cannot reach the platform takes the highest number that any peer has.
// SetFloor makes it refuse anything below a number that is known to have been
// in force, for example from the process's own messages to its peers.
//
// Entries hold whole configurations, not deltas: a process that was
// disconnected for long catches up with one read, and Compact can delete old
// rows without regard to followers.
//
// Usage:
//
//	f := chain.Follower{Reader: table, Peers: peers, Log: &log}
//	group.Go(func() error { return f.Run(ctx) })
//	weight := f.Current().Configuration.Organisation("prado").Weight
//
//	p := chain.Publisher{Table: table}
//	number, err := p.Publish(ctx, base, changed, "ivana", "new share")
package chain

import (
	"time"

	"persimmonworks.example/persimmonworks/pool"
)

// Configuration is the content of an Entry.
type Configuration = pool.Configuration

// Entry is a published configuration with its number and origin.
type Entry struct {
	Number        uint64        `json:"number"` // from 1
	Nonce         string        `json:"nonce"`
	By            string        `json:"by"`
	Why           string        `json:"why"`
	At            time.Time     `json:"at"` // by the publisher's clock, for display only
	Configuration Configuration `json:"configuration"`
}
