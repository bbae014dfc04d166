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

// handleFetchConfig answers with the configuration in force here. The head is
// the highest number known, also that which an earlier start of the asking
// process had in force.
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

// Newest implements chain.Peers. A process that has no configuration yet takes
// none below the highest number that a peer knows, since an earlier start of it
// may have had that one in force.
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

// ask returns the highest configuration above a number that a peer has in
// force, nil if it has none, and the highest number that it knows of.
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
