package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
)

// The list of workers is written by anybody who can write to the store. It says where a
// worker may be found and what it can run, and ends nothing that runs there.

// updateFleet applies the list of workers. It is called from another goroutine.
func (c *Cell) updateFleet(hosts []Host) {
	c.loop.Post(func() {
		now := time.Now()
		listed := make(map[string]bool, len(hosts))
		for _, h := range hosts {
			listed[h.ID] = true
			c.updateHost(h, now)
		}
		for id, w := range c.workers {
			if w.inFleet && !listed[id] {
				w.inFleet, w.unlistedSince = false, now
				c.Log.Emit(event.WorkerUnlisted, "worker", id)
			}
		}
		c.requestPass()
	})
}

func (c *Cell) updateHost(h Host, now time.Time) {
	w := c.workerByID(h.ID)
	if !w.inFleet {
		c.quarantine.AddWorker(h.ID, h.DataCentre)
	}
	if h.Draining && !w.host.Draining {
		c.Log.Emit(event.DrainNotice, "worker", h.ID)
	}
	if h.StartedMS != w.host.StartedMS && w.incarnation != 0 && h.StartedMS != w.incarnation {
		// Anybody may have written the entry: only the worker's own answer ends its runs.
		c.Log.Emit(event.RestartClaimed, "worker", h.ID, "life", w.incarnation, "claimed", h.StartedMS, "runs", len(w.runs),
			"silent-ms", w.silentMS(now))
		w.wakeHold()
	}
	claim := h.Address != w.listedAddress
	w.listedAddress = h.Address
	if at := w.answeringAddress(); at != h.Address {
		if claim {
			c.Log.Emit(event.AddressClaimed, "worker", h.ID, "address", at, "claimed", h.Address)
		}
		h.Address = at
	}
	w.host, w.inFleet = h, true
	w.namesStart = w.namesStart || h.StartedMS != 0
	c.startHoldLoop(w)
}

// answeringAddress returns where the worker can be reached: where it answers, as long as
// it does, and otherwise where the list says.
func (w *worker) answeringAddress() string {
	if w.answeredAt != "" && !w.unresponsive && !w.processEnded {
		return w.answeredAt
	}
	return w.listedAddress
}

// tryOtherAddress changes from the address in the list, at which the worker does not
// answer, to the one where it has answered before, and back. The list may be wrong, or
// the worker may have moved.
func (c *Cell) tryOtherAddress(w *worker) {
	known := w.answeredAt
	if known == "" {
		known, _, _ = c.Docket.WorkerAddress(w.host.ID)
	}
	switch {
	case w.listedAddress == "":
		// Only the address where it has answered is known.
	case w.host.Address == w.listedAddress && known != "" && !w.processEnded:
		w.host.Address = known
	default:
		w.host.Address = w.listedAddress
	}
}

// recordAddress stores where the worker listens, for the next owner.
func (c *Cell) recordAddress(w *worker) {
	address, startedAt, ok := c.Docket.WorkerAddress(w.host.ID)
	if ok && address == w.host.Address && startedAt == w.incarnation {
		return
	}
	c.append(docket.ReachWorker(w.host.ID, w.host.Address, w.incarnation), nil)
}

// reachUnlistedWorkers renews the leases of workers that have runs and are not in the
// list of workers, at the addresses that earlier owners have stored. A worker that is
// cut off from the store, or slow to report there, runs on.
func (c *Cell) reachUnlistedWorkers(now time.Time) {
	for id, w := range c.workers {
		address, startedAt, ok := c.Docket.WorkerAddress(id)
		if w.inFleet || len(w.runs) == 0 || !ok {
			continue
		}
		w.host.Address, w.host.StartedMS, w.unlistedSince = address, startedAt, now
		c.startHoldLoop(w)
	}
}

// described reports whether the entry in the list is of the incarnation that has answered:
// another one may have other labels, another capacity or another service.
func (w *worker) described() bool {
	switch {
	case w.incarnation == 0:
		return true // its answers do not say which it is
	case w.host.StartedMS == 0:
		return !w.namesStart
	}
	return w.host.StartedMS == w.incarnation
}
