package joblog

import (
	"encoding/json"
	"fmt"

	"persimmonworks.example/persimmonworks/job"
)

// batch is the value of one journal row.
type batch struct {
	Writer  string      `json:"writer"` // see Store.Writer
	Entries []job.Entry `json:"entries"`
}

func encodeBatch(writer string, entries []job.Entry) ([]byte, error) {
	body, err := json.Marshal(batch{Writer: writer, Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("journal batch of %d entries: %w", len(entries), err)
	}
	return body, nil
}

func decodeBatch(key string, body []byte) (batch, error) {
	var b batch
	if err := json.Unmarshal(body, &b); err != nil {
		return batch{}, fmt.Errorf("journal row %q: %w", key, err)
	}
	return b, nil
}
