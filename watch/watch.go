// Package watch tells the log what changed in the surroundings of a process:
// the platform, its session, its peers, runners' circuits and leaving hosts.
//
// A Watch compares what it is shown with what it was shown before, so that a
// state is logged once when it begins and once when it ends, however often it
// is looked at.
//
// Usage:
//
//	w := watch.Watch{Log: log}
//	w.See(watch.State{Ready: true, Platform: true, Session: id, Peers: heard})
package watch

import (
	"maps"
	"slices"

	"persimmonworks.example/persimmonworks/event"
)

// State is what one look shows.
type State struct {
	Ready    bool
	Platform bool   // it answers
	Session  string // identifier; empty without one
	// Peers holds the processes that have been heard of, and whether each was
	// heard lately.
	Peers map[string]bool
	// Leaving holds the leaving hosts, with the attempts and requests on them
	// that this process knows of.
	Leaving map[string]int
	// Open holds the runners whose circuit is open.
	Open map[string]bool
}

// Watch remembers the last state. The zero value but for Log is ready; it is
// not for use by several goroutines at once.
type Watch struct {
	Log event.Emitter

	last  State
	began bool
	empty map[string]bool // leaving hosts that have been told to be empty
}

// See logs how s differs from the state before. A platform that does not
// answer at the first look is logged, one that answers is not.
func (w *Watch) See(s State) {
	if s.Ready && !w.last.Ready {
		w.Log.Emit(event.ProcessReady)
	}
	if s.Session != "" && s.Session != w.last.Session {
		w.Log.Emit(event.SessionRegistered, "session", s.Session)
	}
	switch before := w.last.Platform || !w.began; {
	case before && !s.Platform:
		w.Log.Emit(event.PlatformAway)
	case !before && s.Platform:
		w.Log.Emit(event.PlatformBack)
	}
	w.peers(s.Peers)
	w.circuits(s.Open)
	w.leaving(s.Leaving)
	w.last, w.began = s, true
}

func (w *Watch) peers(now map[string]bool) {
	for _, p := range slices.Sorted(maps.Keys(now)) {
		before, known := w.last.Peers[p]
		switch {
		case known && before && !now[p]:
			w.Log.Emit(event.PeerLost, "process", p)
		case known && !before && now[p]:
			w.Log.Emit(event.PeerBack, "process", p)
		}
	}
}

func (w *Watch) circuits(now map[string]bool) {
	for _, r := range slices.Sorted(maps.Keys(now)) {
		if !w.last.Open[r] {
			w.Log.Emit(event.CircuitOpened, "runner", r)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(w.last.Open)) {
		if !now[r] {
			w.Log.Emit(event.CircuitClosed, "runner", r)
		}
	}
}

func (w *Watch) leaving(now map[string]int) {
	if w.empty == nil {
		w.empty = make(map[string]bool)
	}
	for _, h := range slices.Sorted(maps.Keys(now)) {
		if _, known := w.last.Leaving[h]; !known {
			w.Log.Emit(event.DrainNotice, "host", h, "running", now[h])
		}
		if now[h] == 0 && !w.empty[h] {
			w.empty[h] = true
			w.Log.Emit(event.DrainDone, "host", h)
		}
	}
	for h := range w.empty {
		if _, still := now[h]; !still {
			delete(w.empty, h) // the next drain is told again
		}
	}
}
