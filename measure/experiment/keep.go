package experiment

import (
	"time"

	"persimmonworks.example/persimmonworks/placement"
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

// keepRoom keeps a worker for the task that goes first but does not fit, and
// gives it back once it has drained, for that organisation to go first again.
func (t *tasks) keepRoom(now time.Time) {
	if !t.p.KeepRoom {
		return
	}
	if t.kept != nil {
		free, _ := t.racks[t.kept.rack].FreeOn(t.kept.worker)
		if !free.Covers(t.kept.mark.Demand) {
			return
		}
		t.racks[t.kept.rack].Unmark(t.kept.mark.ID)
		t.changed(t.kept.rack)
		t.kept = nil
		return
	}
	i, ok := t.queue.Preferred(now)
	if !ok || t.directory.Fits(taskOf(i), t.centres) {
		return
	}
	rack := t.leastLack(taskOf(i))
	mark := taskOf(i)
	mark.ID = "kept for " + i.Organisation
	if worker, err := t.racks[rack].Earmark(mark); err == nil {
		t.kept = &keeping{i.Organisation, mark, rack, worker}
		t.changed(rack)
	}
}

// leastLack returns the rack in which a worker comes free for the task first.
func (t *tasks) leastLack(task placement.Task) string {
	best, least := t.order[0], 0.0
	for n, rack := range t.order {
		if lack, ok := t.racks[rack].Lack(task); ok && (n == 0 || lack < least) {
			best, least = rack, lack
		}
	}
	return best
}
