package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/joblog"
)

// A submission that reuses an idempotency key with another body is refused and
// gets the identifier of the first job. This holds while the first job is not
// durable yet, while it is in memory, and when only the row of the key is known
// because the job belongs to another shard.
func TestKeyOfAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 1)
		b.runFor(3 * time.Second)
		b.mustSubmit(t, newSpec(1, `{"run-ms":100}`)) // delays the next commit, so that the submissions below overlap
		first, other := newSpec(1, `{"run-ms":100}`), newSpec(2, `{"run-ms":100}`)
		first.IdempotencyKey, other.IdempotencyKey = "k", "k"
		accepted, conflicting := make(chan Outcome, 1), make(chan Outcome, 1)
		b.group.Go(func() { accepted <- b.dispatcher.Submit(t.Context(), testShard, first) })
		synctest.Wait()
		b.group.Go(func() { conflicting <- b.dispatcher.Submit(t.Context(), testShard, other) })
		b.runFor(10 * time.Second)
		id := (<-accepted).Job
		if o := <-conflicting; !o.KeyConflict || o.Job != id {
			t.Errorf("other body before the first job was durable: %+v, want KeyConflict with job %s", o, id)
		}
		if o := b.dispatcher.Submit(t.Context(), testShard, other); !o.KeyConflict || o.Job != id {
			t.Errorf("other body, job in memory: %+v, want KeyConflict with job %s", o, id)
		}
		if o := b.dispatcher.Submit(t.Context(), testShard, first); !o.Existing || o.Job != id {
			t.Errorf("same body again: %+v, want Existing with job %s", o, id)
		}
		known, err := joblog.LookupKey(t.Context(), b.dispatcher.Table, "prado", "k")
		if err != nil || known.ID != id {
			t.Errorf("row of the key: %+v, error %v", known, err)
		}
		if o := existingOutcome(known.ID, known.Digest, &other); !o.KeyConflict {
			t.Errorf("other body, from the row of the key: %+v", o)
		}
		if o := existingOutcome(known.ID, known.Digest, &first); !o.Existing {
			t.Errorf("same body, from the row of the key: %+v", o)
		}
		b.shutDown()
	})
}
