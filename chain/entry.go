// Package chain keeps the numbered configurations of the pool.
//
// The chain lives in the platform's table: one row for each configuration,
// chain/<number>, and the row chain-head with the highest number. A Publisher
// adds a configuration and advances the head in one Commit, by compare-and-
// swap on the head, so that of two publishers with the same base exactly one
// wins and the other gets a RaceError that names the winner. Every entry
// carries a nonce; if the answer to a Commit is lost, the publisher reads the
// entry of its number back and compares the nonce. If nothing is there yet it
// sends the very same Commit again: whichever copy lands first makes the
// other one fail, and both carry the same nonce.
//
// A Follower holds the configuration in force in one process. It polls the
// head, asks peers while the platform is away, and applies only a number
// above the one that it has, so a process never reverts. A restarted process
// that finds the platform away takes the highest number that any peer has;
// SetFloor refuses anything below a number that is known to have been in
// force, for example from the process's own messages to its peers.
//
// Entries hold whole configurations, not deltas: a process that was away for
// long needs one read, and Compact may delete old rows freely.
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

// Configuration is what the chain numbers.
type Configuration = pool.Configuration

// Entry is one link of the chain.
type Entry struct {
	Number        uint64        `json:"number"` // from 1
	Nonce         string        `json:"nonce"`
	By            string        `json:"by"`
	Why           string        `json:"why"`
	At            time.Time     `json:"at"` // by the publisher's clock, for people only
	Configuration Configuration `json:"configuration"`
}
