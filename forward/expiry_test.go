package forward

import (
	"errors"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

// Expire deletes old intents only. It must keep the intent of a later request that
// reuses the key of a request that did not run.
func TestIntentsExpire(t *testing.T) {
	f := &Forwarder{Table: &standin.Table{}}
	claim := func(id, key string) uint64 {
		q := &request{Request: admission.Request{ID: id, Organisation: "prado"}, key: key}
		version, refusal, first := f.storeIntent(t.Context(), q)
		if refusal != nil || first != nil {
			t.Fatalf("claim of %s: %v, %v", id, refusal, first)
		}
		return version
	}
	has := func(key string) bool {
		_, err := f.Table.Get(t.Context(), intentPrefix+"prado/"+key)
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			t.Fatal(err)
		}
		return err == nil
	}
	claim("e1-1", "old")
	version := claim("e1-2", "again")
	if _, err := f.Table.Commit(t.Context(), provider.Remove(intentPrefix+"prado/again", version)); err != nil {
		t.Fatal(err)
	}
	i := IntentExpirer{Table: f.Table}
	if n, err := i.Expire(t.Context(), time.Now().Add(-time.Minute)); n != 0 || err != nil || !has("old") {
		t.Fatalf("%d new intents expired, %v", n, err)
	}
	body := []byte(`{"request":"e2-9"}`) // a later request that reuses the key
	if _, err := f.Table.Commit(t.Context(), provider.Create(intentPrefix+"prado/again", body)); err != nil {
		t.Fatal(err)
	}
	if n, err := i.Expire(t.Context(), time.Now().Add(time.Minute)); n != 2 || err != nil {
		t.Fatalf("%d intents expired, %v, want 2", n, err)
	}
	if has("old") || !has("again") {
		t.Errorf("after the expiry: old %v, the later request's %v", has("old"), has("again"))
	}
	if rows, err := f.Table.Range(t.Context(), intentAgePrefix, "", 10); err != nil || len(rows) != 0 {
		t.Errorf("%d rows of ages are left, %v", len(rows), err)
	}
}
