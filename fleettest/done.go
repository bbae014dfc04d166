package fleettest

import "persimmonworks.example/persimmonworks/docket"

// AllDone reports whether every task of a job has ended successfully.
func (f *Fleet) AllDone(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, shape := range f.jobs[job].GetSteps() {
		for i := range shape.GetCount() {
			if !f.done[docket.TaskID{Job: job, Step: uint32(s), Index: i}] {
				return false
			}
		}
	}
	return true
}
