package chain

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

func withWeight(weight int) Configuration {
	return Configuration{Organisations: []pool.Organisation{{Name: "prado", Weight: weight}}}
}

var faults = []chaintest.Fault{
	chaintest.None, chaintest.None, chaintest.None, chaintest.Unavailable,
	chaintest.LostBefore, chaintest.LostAfter, chaintest.Late,
}

// peerSet implements Peers with the newest entry among some followers.
type peerSet []*Follower

var _ Peers = peerSet(nil)

func (p peerSet) Newest(_ context.Context, above uint64) (*Entry, error) {
	var best *Entry
	for _, f := range p {
		if e := f.Current(); e.Number > above && (best == nil || e.Number > best.Number) {
			best = e
		}
	}
	return best, nil
}

// TestChainNeverReverts publishes and polls in random order while commits fail,
// lose their responses or are delayed. No follower may go back to a lower
// number, and the result of each publication must agree with the final chain.
func TestChainNeverReverts(t *testing.T) {
	rapid.Check(t, checkChain)
}

func checkChain(t *rapid.T) {
	table := chaintest.Table{Fault: func(string) chaintest.Fault { return rapid.SampledFrom(faults).Draw(t, "fault") }}
	a, b := &Follower{Reader: &table}, &Follower{Reader: &table}
	a.Peers, b.Peers = peerSet{b}, peerSet{a}
	answers := make(map[string]error) // by nonce
	numbers := make(map[string]uint64)
	steps := rapid.IntRange(1, 30).Draw(t, "steps")
	for i := range steps {
		f := rapid.SampledFrom([]*Follower{a, b}).Draw(t, "follower")
		before := f.Number()
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0, 1:
			nonce := fmt.Sprint("n", i)
			p := Publisher{Table: &table, Nonce: func() string { return nonce }, RetryDelay: time.Nanosecond}
			base := before + uint64(rapid.IntRange(0, 1).Draw(t, "ahead"))
			numbers[nonce], answers[nonce] = p.Publish(t.Context(), base, withWeight(i+1), nonce, "test")
		case 2:
			_ = f.Poll(t.Context())
		case 3:
			if e, _ := f.Peers.Newest(t.Context(), 0); e != nil {
				_, _ = f.Apply(e)
			}
		}
		if f.Number() < before {
			t.Fatalf("follower went back from number %d to %d", before, f.Number())
		}
	}
	table.Fault = nil
	table.ApplyLate()
	checkAnswers(t, &table, numbers, answers)
	for _, f := range []*Follower{a, b} {
		if f.Number() == 0 {
			continue
		}
		e, err := Find(t.Context(), &table, f.Number())
		if err != nil || e.Nonce != f.Current().Nonce {
			t.Fatalf("entry in force %+v, entry in the chain %+v, error %v", f.Current(), e, err)
		}
	}
}

func checkAnswers(t *rapid.T, table *chaintest.Table, numbers map[string]uint64, answers map[string]error) {
	entries, err := History(t.Context(), table, 1000)
	if err != nil {
		t.Fatal(err)
	}
	published := make(map[string]uint64)
	for i, e := range entries {
		published[e.Nonce] = e.Number
		if want := uint64(len(entries) - i); e.Number != want {
			t.Fatalf("found entry %d in place of entry %d", e.Number, want)
		}
	}
	for nonce, err := range answers {
		switch {
		case err == nil && published[nonce] != numbers[nonce]:
			t.Fatalf("%s was published as %d, but the chain has it as %d", nonce, numbers[nonce], published[nonce])
		case err != nil && !errors.Is(err, provider.ErrOutcomeUnknown) && published[nonce] != 0:
			t.Fatalf("%s failed with %v, but the chain has it as %d", nonce, err, published[nonce])
		}
	}
}

func TestOneOfRacingPublishersWins(t *testing.T) {
	var table chaintest.Table
	p := Publisher{Table: &table}
	var g errgroup.Group
	results := make([]error, 8)
	for i := range results {
		g.Go(func() error {
			_, results[i] = p.Publish(t.Context(), 0, withWeight(i+1), fmt.Sprint("operator-", i), "race")
			return nil
		})
	}
	_ = g.Wait()
	winner := ""
	for i, err := range results {
		if err == nil {
			if winner != "" {
				t.Fatalf("both %s and operator-%d succeeded", winner, i)
			}
			winner = fmt.Sprint("operator-", i)
		}
	}
	for i, err := range results {
		var lost *RaceError
		if err != nil && (!errors.As(err, &lost) || lost.By != winner || !errors.Is(err, ErrRaced)) {
			t.Errorf("operator-%d: %v, the winner is %q", i, err, winner)
		}
	}
}

func TestRunAppliesWithinSecondsAndSurvivesOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Bool
		table := chaintest.Table{}
		table.Fault = func(string) chaintest.Fault {
			if away.Load() {
				return chaintest.Unavailable
			}
			return chaintest.None
		}
		p := Publisher{Table: &table}
		first, second := Follower{Reader: &table}, Follower{Reader: &table}
		second.Peers = peerSet{&first}
		var seen []uint64
		first.Subscribe(func(e *Entry) { seen = append(seen, e.Number) })
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return first.Run(ctx) })
		if _, err := p.Publish(t.Context(), 0, withWeight(1), "ivana", "first"); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		away.Store(true)
		if err := second.Start(ctx); err != nil || second.Number() != 1 {
			t.Errorf("start from a peer: number %d, %v", second.Number(), err)
		}
		lone := Follower{Reader: &table}
		short, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		if err := lone.Start(short); !errors.Is(err, ErrNoConfiguration) {
			t.Errorf("start with neither platform nor peer: %v", err)
		}
		away.Store(false)
		if _, err := p.Publish(t.Context(), 1, withWeight(2), "ivana", "second"); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		cancel()
		_ = g.Wait()
		if fmt.Sprint(seen) != "[1 2]" || first.Current().Configuration.Organisation("prado").Weight != 2 {
			t.Errorf("seen %v, in force %+v", seen, first.Current())
		}
	})
}

func TestFloorAndFaultyEntriesAreRefused(t *testing.T) {
	var f Follower
	f.SetFloor(5)
	if applied, err := f.Apply(&Entry{Number: 4, Configuration: withWeight(1)}); applied || err != nil {
		t.Errorf("entry below the floor: applied %v, error %v", applied, err)
	}
	if applied, err := f.Apply(&Entry{Number: 6, Configuration: withWeight(0)}); applied || err == nil {
		t.Errorf("invalid entry: applied %v, error %v", applied, err)
	}
	if applied, err := f.Apply(&Entry{Number: 5, Configuration: withWeight(1)}); !applied || err != nil {
		t.Errorf("entry at the floor: applied %v, error %v", applied, err)
	}
	f.Announce(9)
	if number, behind := f.Behind(); number != 9 || !behind {
		t.Errorf("Behind = %d, %v", number, behind)
	}
}

func TestCompactKeepsTheNewest(t *testing.T) {
	var table chaintest.Table
	p := Publisher{Table: &table}
	for i := range uint64(MinRetained + 20) {
		if _, err := p.Publish(t.Context(), i, withWeight(1), "ivana", "again"); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := p.Compact(t.Context(), 1); n != 20 || err != nil {
		t.Errorf("Compact = %d, %v", n, err)
	}
	if _, err := Find(t.Context(), &table, 20); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("entry 20: %v", err)
	}
	if e, err := Newest(t.Context(), &table); err != nil || e.Number != MinRetained+20 {
		t.Errorf("newest %v, %v", e, err)
	}
	entries, err := History(t.Context(), &table, 3)
	if err != nil || len(entries) != 3 || entries[2].Number != MinRetained+18 {
		t.Errorf("history %v, %v", entries, err)
	}
}

// recorder keeps the names of events.
type recorder struct {
	mu    sync.Mutex
	names []string
}

func (r *recorder) Emit(e *event.Event, _ ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, e.Name)
}

// Failed polls were dropped, so nothing told a process that hears of no change from one
// that cannot read it.
func TestLostChainIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		table := chaintest.Table{Fault: func(string) chaintest.Fault {
			if down.Load() {
				return chaintest.Unavailable
			}
			return chaintest.None
		}}
		var log recorder
		f := &Follower{Reader: &table, Log: &log}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.Run(ctx) })
		for range 2 {
			time.Sleep(5 * time.Second)
			down.Store(true)
			time.Sleep(5 * time.Second)
			down.Store(false)
		}
		time.Sleep(5 * time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		want := []string{"feed-lost", "feed-regained", "feed-lost", "feed-regained"}
		if !slices.Equal(log.names, want) {
			t.Errorf("events %v, want %v", log.names, want)
		}
	})
}
