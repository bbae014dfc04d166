package cell

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/event"
)

// maxLoggedRuns bounds the length of a log line.
const maxLoggedRuns = 8

// logCrash logs, once for each incarnation, that the process of a worker has ended, and
// the runs that were on it.
func (c *Cell) logCrash(w *worker, proof string) {
	if w.crashLogged || w.host.Draining {
		return
	}
	w.crashLogged = true
	var recent []string
	for id, x := range w.runs {
		if !x.listed {
			recent = append(recent, id.String())
		}
	}
	slices.Sort(recent)
	c.Meter.Count("worker-crashes", "detected")
	c.Log.Emit(event.WorkerCrashed, "worker", w.host.ID, "address", w.host.Address, "life", w.incarnation, "epoch", c.Epoch(),
		"proof", proof, "runs", len(w.runs), "recent-runs", len(recent), "recent", recent[:min(len(recent), maxLoggedRuns)],
		"silent-ms", time.Since(w.lastHeard).Milliseconds())
}
