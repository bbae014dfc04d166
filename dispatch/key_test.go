package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/joblog"
)

// A key that was used for another body is refused and names the first job,
// whether that is not durable yet, in the book, or known from the key's row
// only because it is in another shard.
func TestKeyOfAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 1)
		b.run(3 * time.Second)
		b.submit(t, spec(1, `{"run-ms":100}`)) // starts the pause between commits
		first, other := spec(1, `{"run-ms":100}`), spec(2, `{"run-ms":100}`)
		first.Key, other.Key = "k", "k"
		accepted, joined := make(chan Outcome, 1), make(chan Outcome, 1)
		b.group.Go(func() { accepted <- b.desk.Submit(t.Context(), testShard, first) })
		synctest.Wait()
		b.group.Go(func() { joined <- b.desk.Submit(t.Context(), testShard, other) })
		b.run(10 * time.Second)
		id := (<-accepted).Job
		if o := <-joined; !o.Different || o.Job != id {
			t.Errorf("while the first was not durable: %+v, want the difference from %s", o, id)
		}
		if o := b.desk.Submit(t.Context(), testShard, other); !o.Different || o.Job != id {
			t.Errorf("in the book: %+v, want the difference from %s", o, id)
		}
		if o := b.desk.Submit(t.Context(), testShard, first); !o.Existing || o.Job != id {
			t.Errorf("the same body again: %+v, want %s", o, id)
		}
		known, err := joblog.LookupKey(t.Context(), b.desk.Table, "prado", "k")
		if err != nil || known.ID != id {
			t.Errorf("row of the key: %+v, %v", known, err)
		}
		if o := existing(known.ID, known.Digest, &other); !o.Different {
			t.Errorf("from the key's row: %+v", o)
		}
		if o := existing(known.ID, known.Digest, &first); !o.Existing {
			t.Errorf("from the key's row, same body: %+v", o)
		}
		b.close()
	})
}
