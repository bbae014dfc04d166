package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/platform/counterpart"
)

const (
	betweenFaults = 1200 * time.Millisecond // at most
	brokenMost    = 5 * time.Second
	lateMost      = 6 * time.Second
	ordersMost    = 6
	downLeast     = 400 * time.Millisecond // of a worker that restarts
	staleMost     = time.Second            // for which the list shows the entry of its earlier life
)

const usualLabel = "a"

func usualKind(h *cell.Host) { h.Labels = []string{usualLabel} }
func otherKind(h *cell.Host) { h.Labels = []string{"b"} }

// otherRack is the rack of the first workers, which belongs to the first docket.
const otherRack = "r-0"

// oddEntries are what another writer puts in place of a worker's entry: an address where
// nobody listens, one out of range, another time of start, amounts out of range, no labels,
// and another rack.
var oddEntries = []func(*cell.Host){
	func(h *cell.Host) { h.Address = "127.0.0.1:9" },
	func(h *cell.Host) { h.Address = "127.0.0.1:99999" },
	func(h *cell.Host) { h.StartedMS += time.Hour.Milliseconds() },
	func(h *cell.Host) { h.StartedMS = 0 },
	func(h *cell.Host) { h.Capacity.MilliCPU = math.MaxInt64 },
	func(h *cell.Host) { h.Capacity.MemoryMB = -1 },
	func(h *cell.Host) { h.Labels, h.Rack = nil, "" },
	func(h *cell.Host) { h.Rack = otherRack },
}

// fault is one thing to break; it returns when that is whole again.
type fault struct {
	name string
	do   func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error
}

var faults = []fault{
	{"a process is killed", onHost(func(ctx context.Context, h *host, length time.Duration) error {
		h.kill()
		pause.For(ctx, length)
		return h.start()
	})},
	{"a process is stopped", onHost(func(_ context.Context, h *host, _ time.Duration) error {
		h.stop()
		return h.start()
	})},
	{"a process is paused", onHost(func(ctx context.Context, h *host, length time.Duration) error {
		h.signal(syscall.SIGSTOP)
		pause.For(ctx, length)
		h.signal(syscall.SIGCONT)
		return nil
	})},
	{"all processes are killed", killAll},
	{"the way to the store is broken", onHost(func(ctx context.Context, h *host, length time.Duration) error {
		h.proxy.Set(counterpart.Way(1 + int(length)%(int(counterpart.Ways)-1)))
		pause.For(ctx, length)
		h.proxy.Set(counterpart.Pass)
		return nil
	})},
	{"connections to the store go silent", onHost(func(_ context.Context, h *host, _ time.Duration) error {
		h.proxy.Silence()
		return nil
	})},
	{"all connections to the store go silent", func(_ context.Context, r *run, _ *rand.Rand, _ time.Duration) error {
		defer r.disturbAll()()
		for _, h := range r.hosts {
			h.proxy.Silence()
		}
		return nil
	}},
	{"the store is away", func(ctx context.Context, r *run, _ *rand.Rand, length time.Duration) error {
		defer r.disturbAll()()
		r.store.SetAway(true)
		pause.For(ctx, length)
		r.store.SetAway(false)
		return nil
	}},
	{"a worker is cut off", func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		w.SetCut(true)
		pause.For(ctx, length)
		w.SetCut(false)
		return nil
	}},
	{"a worker restarts", func(ctx context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		w.Crash()
		pause.For(ctx, downLeast+time.Duration(rng.Int64N(int64(downLeast))))
		w.Restart()
		return nil
	}},
	{"a worker restarts as another kind", func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		stale := time.Duration(rng.Int64N(int64(staleMost)))
		for _, kind := range []func(*cell.Host){otherKind, usualKind} {
			w.Crash()
			pause.For(ctx, downLeast)
			w.RestartAs(kind)
			pause.For(ctx, stale)
			w.Overwrite(nil)
			pause.For(ctx, length/2)
		}
		return nil
	}},
	{"an odd entry is written over a worker's", func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		w.Overwrite(oddEntries[rng.IntN(len(oddEntries))])
		pause.For(ctx, length)
		w.Overwrite(nil)
		return nil
	}},
	{"a worker shrinks", func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		w.SetCapacity(rng.Int64N(workerMilliCPU), workerMemoryMB)
		pause.For(ctx, length)
		w.SetCapacity(workerMilliCPU, workerMemoryMB)
		return nil
	}},
	{"orders are carried out late", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		w := r.fleet.Worker(rng.IntN(r.fleet.Len()))
		w.DelayOrders(1+rng.IntN(ordersMost), time.Duration(rng.Int64N(int64(lateMost))))
		return nil
	}},
	{"answers of a worker are lost", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		r.fleet.Worker(rng.IntN(r.fleet.Len())).LoseAnswers(1 + rng.IntN(ordersMost))
		return nil
	}},
}

func onHost(f func(ctx context.Context, h *host, length time.Duration) error) func(context.Context, *run, *rand.Rand, time.Duration) error {
	return func(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
		h := r.hosts[rng.IntN(len(r.hosts))]
		h.disturb(true)
		defer h.disturb(false)
		return f(ctx, h, length)
	}
}

// disturbAll notes that a fault touches all hosts, until the function that it returns is
// called.
func (r *run) disturbAll() func() {
	for _, h := range r.hosts {
		h.disturb(true)
	}
	return func() {
		for _, h := range r.hosts {
			h.disturb(false)
		}
	}
}

func killAll(ctx context.Context, r *run, _ *rand.Rand, length time.Duration) error {
	defer r.disturbAll()()
	for _, h := range r.hosts {
		h.kill()
	}
	r.fleet.AllProcessesKilled()
	pause.For(ctx, length/2)
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// breakThings draws faults that overlap until ctx ends, and leaves all whole. The faults
// of owners have a stream of their own.
func (r *run) breakThings(ctx context.Context) error {
	const ownerStream = 4 // the operator has 2 and 3
	var group errgroup.Group
	group.Go(func() error { return r.breakAll(ctx, faults, 1, betweenFaults) })
	group.Go(func() error { return r.breakAll(ctx, ownerFaults, ownerStream, betweenOwnerFaults) })
	err := group.Wait()
	r.store.SetAway(false)
	for _, h := range r.hosts {
		h.signal(syscall.SIGCONT)
		h.proxy.Set(counterpart.Pass)
		if failed := h.start(); err == nil {
			err = failed
		}
	}
	return err
}

// breakAll draws from some faults until ctx ends and waits for those that it drew.
func (r *run) breakAll(ctx context.Context, from []fault, stream uint64, between time.Duration) error {
	rng := rand.New(rand.NewPCG(r.Seed, stream))
	begun := time.Now()
	var group errgroup.Group
	for ctx.Err() == nil {
		f := from[rng.IntN(len(from))]
		length := time.Duration(rng.Int64N(int64(brokenMost)))
		drawn := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		r.mu.Lock()
		r.faults = append(r.faults, fmt.Sprintf("%v %s, %v", time.Since(begun).Round(time.Millisecond), f.name, length.Round(time.Millisecond)))
		r.mu.Unlock()
		group.Go(func() error { return f.do(ctx, r, drawn, length) })
		pause.For(ctx, time.Duration(rng.Int64N(int64(between))))
	}
	return group.Wait()
}
