package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/platform/counterpart"
)

const (
	betweenChanges = 1200 * time.Millisecond // at most
	betweenProbes  = 60 * time.Millisecond
	stalledAfter   = 500 * time.Millisecond // by so much a pause is too long if the machine stands still
	probeTimeout   = time.Second
	pathsMost      = 4               // that exist beside those of the callers
	pathsProbed    = 12              // the newest ones
	applyTime      = 2 * time.Second // from the acknowledgement of a version until it is in force
	touchTime      = 3 * time.Second // after which a host that was disturbed is in touch again
)

// path is a queue that the operator adds and drops; no path is added twice.
type path struct {
	name           string
	added, dropped uint64    // versions, dropped is 0 while it exists
	addedAt        time.Time // acknowledged, zero before
	droppedAt      time.Time
}

// operator changes the configuration, and judges by requests for the paths that it added
// and dropped which version a process has in force.
type operator struct {
	*run
	rng    *rand.Rand
	caller counterpart.Caller

	mu      sync.Mutex
	version uint64
	paths   []*path
	seen    map[string]uint64 // lowest version that a process can have in force, by host and life
	probes  int
}

func newOperator(r *run) *operator {
	const stream = 2
	return &operator{
		run: r, rng: rand.New(rand.NewPCG(r.Seed, stream)), version: 1, seen: map[string]uint64{},
		caller: counterpart.Caller{Patience: probeTimeout, Client: http.Client{Timeout: probeTimeout}},
	}
}

// change adds a path or drops one, again and again until ctx ends.
func (o *operator) change(ctx context.Context) error {
	for ctx.Err() == nil {
		x, dropped, names := o.draw()
		err := o.platform.Configure(context.WithoutCancel(ctx), o.version, names...)
		if err != nil {
			return fmt.Errorf("configuration %d: %w", o.version, err)
		}
		o.acknowledge(x, dropped)
		pause.For(ctx, time.Duration(o.rng.Int64N(int64(betweenChanges))))
	}
	return nil
}

// draw makes the next version. It returns the path that it adds or drops, and all names.
func (o *operator) draw() (x *path, dropped bool, names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + o.rng.Uint64N(5)
	var there []*path
	for _, p := range o.paths {
		if p.dropped == 0 {
			there = append(there, p)
		}
	}
	if len(there) == pathsMost || len(there) > 0 && o.rng.IntN(2) == 0 {
		x = there[o.rng.IntN(len(there))]
		x.dropped, dropped = o.version, true
	} else {
		x = &path{name: fmt.Sprintf("/path-%d/", len(o.paths)), added: o.version}
		o.paths = append(o.paths, x)
		there = append(there, x)
	}
	for _, p := range there {
		if p.dropped == 0 {
			names = append(names, p.name)
		}
	}
	return x, dropped, names
}

func (o *operator) acknowledge(x *path, dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if dropped {
		x.droppedAt = time.Now()
		return
	}
	x.addedAt = time.Now()
}

// probe asks processes for paths until ctx ends.
func (o *operator) probe(ctx context.Context) error {
	const stream = 3
	rng := rand.New(rand.NewPCG(o.Seed, stream))
	for ctx.Err() == nil {
		o.pauseProbes(ctx)
		o.mu.Lock()
		recent := o.paths[max(0, len(o.paths)-pathsProbed):]
		o.mu.Unlock()
		if len(recent) == 0 {
			continue
		}
		h, x := o.hosts[rng.IntN(len(o.hosts))], recent[rng.IntN(len(recent))]
		life, calm := h.state()
		sent := time.Now()
		a := o.caller.Waiting(context.WithoutCancel(ctx), h.front, x.name)
		if after, _ := h.state(); after == life && (a.Status == http.StatusOK || a.Status == http.StatusNotFound) {
			o.judge(h, life, calm, x, sent, a.Status == http.StatusOK)
		}
	}
	return nil
}

// pauseProbes waits between two probes. A machine that stands still meanwhile has paused
// all processes.
func (o *operator) pauseProbes(ctx context.Context) {
	begun := time.Now()
	pause.For(ctx, betweenProbes)
	if time.Since(begun) > betweenProbes+stalledAfter {
		o.disturbAll()()
	}
}

// judge judges whether the answer to a request for a path, served or not, can be that of
// the version that has to be in force.
func (o *operator) judge(h *host, life int, calm bool, x *path, sent time.Time, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes++
	process := fmt.Sprintf("%s, life %d", h.name, life)
	seen := o.seen[process]
	inTime := func(acknowledged time.Time) bool {
		return calm && !acknowledged.IsZero() && sent.Sub(acknowledged) > applyTime
	}
	switch {
	case served && x.dropped != 0 && x.dropped <= seen, !served && x.dropped == 0 && x.added <= seen:
		o.fault("%s answers for %s (added %d, dropped %d, served %v) as before version %d, which it had in force",
			process, x.name, x.added, x.dropped, served, seen)
	case served && inTime(x.droppedAt):
		o.fault("%s serves %s %v after version %d had dropped it", process, x.name, sent.Sub(x.droppedAt), x.dropped)
	case !served && x.dropped == 0 && inTime(x.addedAt):
		o.fault("%s does not serve %s %v after version %d had added it", process, x.name, sent.Sub(x.addedAt), x.added)
	}
	switch {
	case served:
		o.seen[process] = max(seen, x.added)
	case x.dropped != 0 && x.added <= seen:
		o.seen[process] = max(seen, x.dropped)
	}
}
