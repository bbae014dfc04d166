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

// ArchivedJob is the archive record of a finished job.
type ArchivedJob struct {
	Job   JobView    `json:"job"`
	Tasks []TaskView `json:"tasks"`
}

// maxArchiveBatch is the maximum number of jobs archived in one operation.
const maxArchiveBatch = 50

// archiveFinished writes the jobs whose retention has passed to the archive.
// They are forgotten only once they are in the archive.
func (d *Dispatcher) archiveFinished(s *shard, now time.Time) {
	if s.archiving || now.Before(s.nextArchive) {
		return
	}
	var items []archive.Item[ArchivedJob]
	for id, at := range s.finishedAt {
		if now.Sub(at) <= d.Retention || len(items) == maxArchiveBatch {
			continue
		}
		j, ok := s.state.Job(id)
		if !ok {
			delete(s.finishedAt, id)
			continue
		}
		items = append(items, d.archiveItem(s, j))
	}
	if len(items) == 0 {
		return
	}
	s.archiving = true
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, 4*commitTimeout)
		defer cancel()
		err := d.Archive.Put(ctx, time.Now(), items)
		d.Loop.Post(func() { d.archiveDone(s, items, err) })
	})
}

// archiveItem returns the archive record of j, with the object and the row of the
// job that are deleted when the record expires.
func (d *Dispatcher) archiveItem(s *shard, j *job.Job) archive.Item[ArchivedJob] {
	e := ArchivedJob{Job: d.jobView(s, j), Tasks: make([]TaskView, 0, len(j.Tasks()))}
	for i := range j.Tasks() {
		e.Tasks = append(e.Tasks, d.taskView(s, j, &j.Tasks()[i]))
	}
	item := archive.Item[ArchivedJob]{ID: j.ID, Record: e, Objects: []string{joblog.SpecObject(j.ID)}}
	if j.Spec.IdempotencyKey != "" {
		item.Rows = []string{joblog.KeyRow(j.Spec.Organisation, j.Spec.IdempotencyKey)}
	}
	return item
}

// archiveDone handles the result of archiving items: if it succeeded, the jobs
// are forgotten, otherwise they are archived again later.
func (d *Dispatcher) archiveDone(s *shard, items []archive.Item[ArchivedJob], err error) {
	now := time.Now()
	s.archiving, s.nextArchive = false, now.Add(retryDelay)
	if err != nil {
		d.Log.Emit(event.ArchiveFailed, "shard", s.name, "jobs", len(items), "error", err)
		s.nextArchive = now.Add(10 * retryDelay)
		return
	}
	if !d.isCurrent(s) {
		return // the new owner archives them again
	}
	for _, item := range items {
		delete(s.finishedAt, item.ID)
		s.pending = append(s.pending, pendingEntry{entry: job.Entry{Kind: job.EntryForget, Job: item.ID}})
	}
}

// loadArchived returns a job from the archive and whether it was found.
func (d *Dispatcher) loadArchived(ctx context.Context, id string) (ArchivedJob, bool, error) {
	e, err := d.Archive.Load(ctx, id)
	if errors.Is(err, provider.ErrNotFound) {
		return ArchivedJob{}, false, nil
	}
	return e, err == nil, err
}
