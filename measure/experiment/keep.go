package experiment

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/queue"
)

// keeping is a worker that is kept for tasks of one organisation and demand.
// It outlasts the task that it was begun for: as long as such tasks follow each
// other on the workers that they have, the organisation gains none.
type keeping struct {
	organisation string
	mark         placement.Task
	rack         string
	worker       string
}

// keepRoom keeps a worker for each shape of task that goes first but does not
// fit, and gives it back once it has drained, for that organisation to go first
// again. Were only one kept in all, the organisation behind the first would be
// passed by smaller tasks for as long as that one drains.
func (t *tasks) keepRoom(now time.Time) {
	if !t.p.KeepRoom {
		return
	}
	t.now = now
	t.giveBackDrained()
	for {
		i, ok := t.queue.Preferred(now, t.notKept)
		if !ok || t.directory.Fits(taskOf(i), t.centres) {
			return
		}
		rack, ok := t.leastLack(taskOf(i))
		if !ok {
			return
		}
		mark := taskOf(i)
		mark.ID = "kept for " + i.Organisation
		worker, err := t.racks[rack].Earmark(mark, t.owed)
		if err != nil {
			return
		}
		t.kept = append(t.kept, keeping{i.Organisation, mark, rack, worker})
		t.changed(rack)
	}
}

// giveBackDrained gives back each kept worker that has the room by now.
func (t *tasks) giveBackDrained() {
	t.kept = slices.DeleteFunc(t.kept, func(k keeping) bool {
		free, _ := t.racks[k.rack].FreeOn(k.worker)
		if !free.Covers(k.mark.Demand) {
			return false
		}
		t.racks[k.rack].ClearEarmark(k.mark.ID)
		t.changed(k.rack)
		return true
	})
}

// notKept reports whether no worker is kept for tasks of that demand.
func (t *tasks) notKept(i queue.Item) bool {
	return !slices.ContainsFunc(t.kept, func(k keeping) bool { return i.Demand.Covers(k.mark.Demand) })
}

// leastLack returns the rack in which a worker comes free for the task first,
// of those that keep none yet.
func (t *tasks) leastLack(task placement.Task) (best string, ok bool) {
	var least float64
	for _, rack := range t.order {
		lack, open := t.racks[rack].EarmarkCost(task, t.owed)
		if open && (!ok || lack < least) {
			best, least, ok = rack, lack, true
		}
	}
	return best, ok
}

// owed reports whether an organisation holds less than its weighted share of
// what all hold.
func (t *tasks) owed(organisation string) bool {
	used, weights := 0.0, 0
	for name, share := range t.queue.Shares {
		used += t.queue.Usage(name, t.now)
		weights += share.Weight
	}
	mine := t.queue.Usage(organisation, t.now) / float64(t.queue.Shares[organisation].Weight)
	return mine < used/float64(weights)
}
