package joblog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
)

// KeyRow returns the table key of the row of an idempotency key.
func KeyRow(organisation, key string) string { return "idempotency-key/" + organisation + "/" + key }

// ErrKeyTaken is returned by Append if idempotency keys of some entries belong
// to other jobs. Nothing was written.
type ErrKeyTaken struct {
	// Jobs maps the identifier of each refused job to the job that has its key.
	Jobs map[string]FirstJob
}

// FirstJob is the job that first used an idempotency key.
type FirstJob struct {
	ID string `json:"job"`
	// Digest is the digest of the job's Spec.
	Digest string `json:"digest"`
}

// encodeKey returns the value of the row of an idempotency key.
func encodeKey(id string, s *job.Spec) ([]byte, error) {
	body, err := json.Marshal(FirstJob{ID: id, Digest: s.Digest()})
	if err != nil {
		return nil, fmt.Errorf("idempotency key %q of organisation %q: %w", s.IdempotencyKey, s.Organisation, err)
	}
	return body, nil
}

// Error implements error.
func (e *ErrKeyTaken) Error() string {
	return fmt.Sprintf("%d idempotency keys are taken by other jobs", len(e.Jobs))
}

// explainConflict finds the cause of a conflict of Append. It returns ErrKeyTaken
// if other jobs have keys of the entries, and ErrDeposed if not. If it cannot read
// the rows of the keys, it returns provider.ErrUnavailable.
func (s *Store) explainConflict(ctx context.Context, entries []job.Entry, cause error) error {
	taken := &ErrKeyTaken{Jobs: map[string]FirstJob{}}
	for _, e := range entries {
		if e.Kind != job.EntryAccept || e.Spec.IdempotencyKey == "" {
			continue
		}
		first, err := LookupKey(ctx, s.Table, e.Spec.Organisation, e.Spec.IdempotencyKey)
		if err != nil {
			return fmt.Errorf("conflict not explained: %v: %w", err, provider.ErrUnavailable)
		}
		if first.ID != "" && first.ID != e.Job {
			taken.Jobs[e.Job] = first
		}
	}
	if len(taken.Jobs) > 0 {
		return taken
	}
	return fmt.Errorf("%v: %w", cause, ErrDeposed)
}

// LookupKey returns the job that first used an idempotency key. The ID is "" if
// no job has used it.
func LookupKey(ctx context.Context, t provider.Reader, organisation, key string) (FirstJob, error) {
	row, err := t.Get(ctx, KeyRow(organisation, key))
	if errors.Is(err, provider.ErrNotFound) {
		return FirstJob{}, nil
	}
	if err != nil {
		return FirstJob{}, fmt.Errorf("idempotency key %q of organisation %q: %w", key, organisation, err)
	}
	var first FirstJob
	if err := json.Unmarshal(row.Value, &first); err != nil {
		return FirstJob{}, fmt.Errorf("row of idempotency key %q of organisation %q: %w", key, organisation, err)
	}
	return first, nil
}
