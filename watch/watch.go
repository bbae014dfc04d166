// Package watch logs changes in the environment of a process: in the reachability of
// the platform, its session, its peers, the circuit breakers of runners and leaving
// hosts.
//
// A Monitor compares each observed state with the previous one, so that a condition is
// logged once when it begins and once when it ends, regardless of how often it is
// observed.
//
// Usage:
//
//	w := watch.Monitor{Log: log}
//	w.Observe(watch.State{Ready: true, PlatformReachable: true, Session: id, Peers: peers})
package watch

import (
	"maps"
	"slices"

	"persimmonworks.example/persimmonworks/event"
)

// State is the state of the environment at one time.
type State struct {
	Ready             bool   // the process is ready to serve
	PlatformReachable bool   // the platform is reachable
	Session           string // ID of the platform session; empty if there is none
	// Peers holds the known peer processes, and whether each has been heard from
	// recently.
	Peers map[string]bool
	// Leaving holds the leaving hosts, with the number of attempts and requests
	// that run on each as far as this process knows.
	Leaving map[string]int
	// OpenCircuits holds the runners whose circuit breaker is open.
	OpenCircuits map[string]bool
}

// Monitor logs the differences between successive states. Only Log has to be set. A Monitor
// is not safe for concurrent use.
type Monitor struct {
	Log event.Emitter

	previous State
	called   bool
	drained  map[string]bool // leaving hosts that were logged as drained
}

// Observe logs the differences between s and the previous state. On the first call it logs a
// platform that is unreachable, but not one that is reachable.
func (w *Monitor) Observe(s State) {
	if s.Ready && !w.previous.Ready {
		w.Log.Emit(event.ProcessReady)
	}
	if s.Session != "" && s.Session != w.previous.Session {
		w.Log.Emit(event.SessionRegistered, "session", s.Session)
	}
	switch before := w.previous.PlatformReachable || !w.called; {
	case before && !s.PlatformReachable:
		w.Log.Emit(event.PlatformAway)
	case !before && s.PlatformReachable:
		w.Log.Emit(event.PlatformBack)
	}
	w.logPeers(s.Peers)
	w.logCircuits(s.OpenCircuits)
	w.logLeaving(s.Leaving)
	w.previous, w.called = s, true
}

// logPeers logs known peers that were lost or are back. A new peer is not logged.
func (w *Monitor) logPeers(now map[string]bool) {
	for _, p := range slices.Sorted(maps.Keys(now)) {
		before, known := w.previous.Peers[p]
		switch {
		case known && before && !now[p]:
			w.Log.Emit(event.PeerLost, "process", p)
		case known && !before && now[p]:
			w.Log.Emit(event.PeerBack, "process", p)
		}
	}
}

// logCircuits logs the runners whose circuit breaker has opened or closed.
func (w *Monitor) logCircuits(now map[string]bool) {
	for _, r := range slices.Sorted(maps.Keys(now)) {
		if !w.previous.OpenCircuits[r] {
			w.Log.Emit(event.CircuitOpened, "runner", r)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(w.previous.OpenCircuits)) {
		if !now[r] {
			w.Log.Emit(event.CircuitClosed, "runner", r)
		}
	}
}

// logLeaving logs each host once when it starts leaving and once when nothing runs on it
// any more.
func (w *Monitor) logLeaving(now map[string]int) {
	if w.drained == nil {
		w.drained = make(map[string]bool)
	}
	for _, h := range slices.Sorted(maps.Keys(now)) {
		if _, known := w.previous.Leaving[h]; !known {
			w.Log.Emit(event.DrainNotice, "host", h, "running", now[h])
		}
		if now[h] == 0 && !w.drained[h] {
			w.drained[h] = true
			w.Log.Emit(event.DrainDone, "host", h)
		}
	}
	for h := range w.drained {
		if _, still := now[h]; !still {
			delete(w.drained, h) // so that the next drain is logged again
		}
	}
}
