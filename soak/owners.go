package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/pause"
)

const (
	betweenOwnerFaults = 5 * time.Second // at most
	pauseLeast         = 2 * time.Second // of processes whose workers drain and are cut off
	pauseMost          = 3 * time.Second
	drainLead          = 9 * time.Second // at most, to the pause; the last lease of before has lapsed after 9 s
	restartLead        = time.Second     // at most, to the restart of owners
	cutLead            = 3 * time.Second // at most, to the cut of their workers
	cutLeast           = 3 * time.Second
	cutMost            = 7 * time.Second
	workersHit         = 4 // one worker in so many
	hostsHit           = 2 // one process in so many
)

// ownerFaults make owners lose sight of workers that run on: a process that takes a live
// worker's runs for lost starts them a second time.
var ownerFaults = []fault{
	{"workers drain and are cut off while processes are paused", drainBehindPause},
	{"processes restart around a cut of workers", restartAroundCut},
}

// drainBehindPause cuts draining workers off at some moment of the pause of their owners,
// so that answers that were sent before are read after it. An owner that is paused keeps
// its docket only if all others are paused too.
func drainBehindPause(ctx context.Context, r *run, rng *rand.Rand, length time.Duration) error {
	workers, hosts := r.drawWorkers(rng), r.hosts
	if rng.IntN(2) == 0 {
		hosts = r.drawHosts(rng)
	}
	paused := pauseLeast + time.Duration(rng.Int64N(int64(pauseMost-pauseLeast)))
	lead, before := time.Duration(rng.Int64N(int64(drainLead))), time.Duration(rng.Int64N(int64(paused)))
	apply(workers, func(w *fleettest.Worker) { w.Overwrite(func(h *cell.Host) { h.Draining = true }) })
	pause.For(ctx, lead)
	apply(hosts, func(h *host) {
		h.disturb(true)
		h.signal(syscall.SIGSTOP)
	})
	pause.For(ctx, before)
	apply(workers, func(w *fleettest.Worker) { w.SetCut(true) })
	pause.For(ctx, paused-before)
	apply(hosts, func(h *host) {
		h.signal(syscall.SIGCONT)
		h.disturb(false)
	})
	pause.For(ctx, length)
	apply(workers, func(w *fleettest.Worker) {
		w.SetCut(false)
		w.Overwrite(nil)
	})
	return nil
}

// restartAroundCut kills processes and starts them again at once under their names, and
// cuts workers off before or shortly after, so also between the first answers to the new
// owners and the next.
func restartAroundCut(ctx context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
	workers, hosts := r.drawWorkers(rng), r.drawHosts(rng)
	cut := cutLeast + time.Duration(rng.Int64N(int64(cutMost-cutLeast)))
	restartAt, cutAt := time.Duration(rng.Int64N(int64(restartLead))), time.Duration(rng.Int64N(int64(cutLead)))
	var group errgroup.Group
	group.Go(func() error {
		pause.For(ctx, cutAt)
		apply(workers, func(w *fleettest.Worker) { w.SetCut(true) })
		pause.For(ctx, cut)
		apply(workers, func(w *fleettest.Worker) { w.SetCut(false) })
		return nil
	})
	pause.For(ctx, restartAt)
	var failed error
	apply(hosts, func(h *host) {
		h.disturb(true)
		h.kill()
		failed = errors.Join(failed, h.start())
		h.disturb(false)
	})
	return errors.Join(failed, group.Wait())
}

func (r *run) drawWorkers(rng *rand.Rand) []*fleettest.Worker {
	workers := make([]*fleettest.Worker, 1+r.fleet.Len()/workersHit)
	for i, n := range rng.Perm(r.fleet.Len())[:len(workers)] {
		workers[i] = r.fleet.Worker(n)
	}
	return workers
}

func (r *run) drawHosts(rng *rand.Rand) []*host {
	hosts := make([]*host, 1+len(r.hosts)/hostsHit)
	for i, n := range rng.Perm(len(r.hosts))[:len(hosts)] {
		hosts[i] = r.hosts[n]
	}
	return hosts
}

func apply[T any](all []T, do func(T)) {
	for _, x := range all {
		do(x)
	}
}
