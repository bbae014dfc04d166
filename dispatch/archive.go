package dispatch

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/archive"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
)

// Ended is a finished job as the archive keeps it.
type Ended struct {
	Job   JobView    `json:"job"`
	Tasks []TaskView `json:"tasks"`
}

// maxArchived bounds the jobs that one batch moves to the archive.
const maxArchived = 50

// forget moves jobs that finished longer ago than the retention to the
// archive; they leave the book once they are there.
func (d *Desk) forget(s *shard, now time.Time) {
	if s.archiving || now.Before(s.nextArchive) {
		return
	}
	var items []archive.Item[Ended]
	for id, at := range s.finished {
		if now.Sub(at) <= d.Retention || len(items) == maxArchived {
			continue
		}
		j, ok := s.book.Job(id)
		if !ok {
			delete(s.finished, id)
			continue
		}
		items = append(items, d.archived(s, j))
	}
	if len(items) == 0 {
		return
	}
	s.archiving = true
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, 4*commitTimeout)
		defer cancel()
		err := d.Archive.Put(ctx, time.Now(), items)
		d.Loop.Post(func() { d.forgotten(s, items, err) })
	})
}

func (d *Desk) archived(s *shard, j *job.Job) archive.Item[Ended] {
	e := Ended{Job: d.view(s, j), Tasks: make([]TaskView, 0, len(j.Tasks()))}
	for i := range j.Tasks() {
		e.Tasks = append(e.Tasks, d.explain(s, j, &j.Tasks()[i]))
	}
	x := archive.Item[Ended]{ID: j.ID, Record: e, Objects: []string{joblog.SpecObject(j.ID)}}
	if j.Spec.Key != "" {
		x.Rows = []string{joblog.KeyRow(j.Spec.Organisation, j.Spec.Key)}
	}
	return x
}

// forgotten takes in that jobs are in the archive.
func (d *Desk) forgotten(s *shard, items []archive.Item[Ended], err error) {
	now := time.Now()
	s.archiving, s.nextArchive = false, now.Add(retryPause)
	if err != nil {
		d.Log.Emit(event.ArchiveFailed, "shard", s.name, "jobs", len(items), "error", err)
		s.nextArchive = now.Add(10 * retryPause)
		return
	}
	if !d.current(s) {
		return // the next owner archives them again
	}
	for _, i := range items {
		delete(s.finished, i.ID)
		s.pending = append(s.pending, pendingEntry{entry: job.Entry{Kind: job.EntryForget, Job: i.ID}})
	}
}

// load returns a job from the archive, and whether it is there.
func (d *Desk) load(ctx context.Context, id string) (Ended, bool, error) {
	e, err := d.Archive.Load(ctx, id)
	if errors.Is(err, provider.ErrNotFound) {
		return Ended{}, false, nil
	}
	return e, err == nil, err
}
