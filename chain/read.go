package chain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonworks.example/persimmonworks/provider"
)

// readHead returns the chain's head and its row. Both are zero for an empty
// chain.
func readHead(ctx context.Context, r provider.Reader) (provider.Row, head, error) {
	row, err := r.Get(ctx, headKey)
	if errors.Is(err, provider.ErrNotFound) {
		return provider.Row{}, head{}, nil
	}
	if err != nil {
		return provider.Row{}, head{}, fmt.Errorf("read row %q: %w", headKey, err)
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return provider.Row{}, head{}, fmt.Errorf("decode row %q: %w", headKey, err)
	}
	return row, h, nil
}

func readEntry(ctx context.Context, r provider.Reader, number uint64) (*Entry, error) {
	key := entryKey(number)
	row, err := r.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read row %q: %w", key, err)
	}
	return decodeEntry(row)
}

func decodeEntry(row provider.Row) (*Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return &e, nil
}

// Newest returns the entry with the highest number, or an entry with number 0
// if the chain is empty.
func Newest(ctx context.Context, r provider.Reader) (*Entry, error) {
	_, at, err := readHead(ctx, r)
	if err != nil {
		return nil, err
	}
	if at.Number == 0 {
		return &Entry{}, nil
	}
	return readEntry(ctx, r, at.Number)
}

// Find returns the entry with the given number. The error wraps
// provider.ErrNotFound if it was never published or has been compacted.
func Find(ctx context.Context, r provider.Reader, number uint64) (*Entry, error) {
	return readEntry(ctx, r, number)
}

// History returns up to limit of the newest entries, newest first.
func History(ctx context.Context, r provider.Reader, limit int) ([]*Entry, error) {
	_, at, err := readHead(ctx, r)
	if err != nil {
		return nil, err
	}
	after := entryKey(at.Number - min(at.Number, uint64(max(limit, 0))))
	rows, err := r.Range(ctx, entryPrefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("read the last %d entries of the chain: %w", limit, err)
	}
	entries := make([]*Entry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		e, err := decodeEntry(rows[i])
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
