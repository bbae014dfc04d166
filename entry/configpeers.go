package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/peer"
	"persimmonworks.example/persimmonworks/wire"
)

// handleFetchConfig returns the configuration in force in this process. Head is
// the highest known number, including the one that an earlier start of the
// calling process reported as in force.
func (p *Process) handleFetchConfig(peerName string, m *wire.FetchConfig) *wire.Reply {
	e := p.follower.Current()
	answer := &wire.ConfigChain{Head: max(e.Number, p.peers.ConfigNumber(peerName))}
	if e.Number > m.After {
		if body, err := json.Marshal(e); err == nil {
			answer.Entries = append(answer.Entries, &wire.ConfigEntry{Number: e.Number, Body: body})
		}
	}
	return &wire.Reply{Body: &wire.Reply_ConfigChain{ConfigChain: answer}}
}

// configPeers asks peers for the newest configuration.
type configPeers struct{ p *Process }

var _ chain.Peers = (*configPeers)(nil)

// Newest implements chain.Peers. A process that has no configuration yet accepts
// none below the highest number that any peer knows, since an earlier start of
// this process may already have applied that one.
func (c *configPeers) Newest(ctx context.Context, above uint64) (*chain.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, peer.Timeout)
	defer cancel()
	var mu sync.Mutex
	var best *chain.Entry
	var failure error
	var head uint64
	var group errgroup.Group
	for address := range c.p.peerAddresses() {
		group.Go(func() error {
			e, known, err := c.ask(ctx, address, above)
			mu.Lock()
			defer mu.Unlock()
			head = max(head, known)
			if err != nil {
				failure = err
			}
			if e != nil && (best == nil || e.Number > best.Number) {
				best = e
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return nil
	if above == 0 {
		c.p.follower.SetFloor(head)
	}
	if best == nil {
		return nil, failure
	}
	return best, nil
}

// ask asks one peer for its configuration. It returns the configuration with the
// highest number greater than above, or nil if the peer has none, and the highest
// number that the peer knows of.
func (c *configPeers) ask(ctx context.Context, address string, above uint64) (best *chain.Entry, head uint64, err error) {
	reply, err := c.p.node.Call(ctx, address, &wire.Call{Body: &wire.Call_FetchConfig{FetchConfig: &wire.FetchConfig{After: above}}})
	if err != nil {
		return nil, 0, err
	}
	for _, x := range reply.GetConfigChain().GetEntries() {
		var e chain.Entry
		if err := json.Unmarshal(x.Body, &e); err != nil {
			return nil, 0, fmt.Errorf("configuration %d from %s: %w", x.Number, address, err)
		}
		if e.Number > above && (best == nil || e.Number > best.Number) {
			best = &e
		}
	}
	return best, reply.GetConfigChain().GetHead(), nil
}
