// Package load drives entry processes with requests and batches and tells how
// they were answered.
//
// Requests are open-loop: each has an intended time, drawn from a seed, and its
// latency counts from that time, so that a slow system is not spared the
// requests that a closed loop would have held back. Every answer is compared
// with the body that was sent (stand-in runners send it back), so an answer to
// another request, or a part of one, is found. Only loopback addresses are
// accepted, and every run ends by itself after a count and a time.
//
// Usage:
//
//	r := load.Requests{Targets: []string{"http://127.0.0.1:7081/v1/services/jobs/match"}, Rate: 200, Count: 1000, Seed: 1}
//	report, err := r.Run(ctx)
//	fmt.Print(report)
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Bounds of a run, so that it ends by itself and leaves the machine alone.
const (
	MaxRate   = 20_000 // requests a second
	MaxCount  = 2_000_000
	MaxLength = 30 * time.Minute
	MaxTasks  = 100_000
)

// ErrNotLoopback is returned for an address that is not of this machine.
var ErrNotLoopback = errors.New("not a loopback address; load is for test beds on one machine")

// checkAddress reports whether the URL names a loopback IP number.
func checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	ap, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return fmt.Errorf("address %q: host %q is not an IP number and port: %w", address, u.Host, err)
	}
	if !ap.Addr().IsLoopback() {
		return fmt.Errorf("address %q: %w", address, ErrNotLoopback)
	}
	return nil
}
