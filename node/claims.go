package node

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/provider"
)

const (
	claimTable = "claims"
	claimsEnd  = "\x7f" // greater than every name of a worker
	// claimsPerCall leaves a claim's condition and its row within the store's bound of 100
	// entries a call.
	claimsPerCall = 50
)

// workerClaims tells which docket each worker belongs to. Whoever can write to the list of
// workers can name any rack for a worker, and two owners at one worker stop each other's runs,
// so the list only says for which docket a worker is claimed: the first claim that the store
// takes counts, for as long as the worker has its name. An owner calls no worker that its
// docket has not claimed.
//
// Its methods are safe for concurrent use.
type workerClaims struct {
	table changelog.Table

	mu      sync.Mutex
	dockets map[string]int  // by worker
	stored  map[string]bool // whether the store has the claim
	loaded  bool            // the claims that were stored before were read
}

func newWorkerClaims(table changelog.Table) *workerClaims {
	return &workerClaims{table: table, dockets: map[string]int{}, stored: map[string]bool{}}
}

// docketOf returns the docket of a worker, or false if it is not known.
func (c *workerClaims) docketOf(worker string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.dockets[worker]
	return d, ok
}

// adopt records the workers that an earlier owner of a docket has reached.
func (c *workerClaims) adopt(workers []string, docket int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range workers {
		if _, ok := c.dockets[w]; !ok {
			c.dockets[w] = docket
		}
	}
}

// isStored reports whether the store has a claim of the worker.
func (c *workerClaims) isStored(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored[worker]
}

// claim claims workers for a docket. Afterwards the docket of each is known, which may be
// another one. After an error it may be called again.
func (c *workerClaims) claim(ctx context.Context, workers []string, docket int) error {
	if !c.isLoaded() {
		if err := c.load(ctx); err != nil {
			return err
		}
	}
	for {
		var open []string
		for _, w := range workers {
			if !c.isStored(w) && len(open) < claimsPerCall {
				open = append(open, w)
			}
		}
		if len(open) == 0 {
			return nil
		}
		err := c.store(ctx, open, docket)
		if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrOutcomeUnknown) {
			err = c.load(ctx) // another process has claimed some, or this one all
		}
		if err != nil {
			return err
		}
	}
}

func (c *workerClaims) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// load reads all claims.
func (c *workerClaims) load(ctx context.Context) error {
	for from, more := "", true; more; {
		page, err := c.table.Read(ctx, from, claimsEnd)
		if err != nil {
			return fmt.Errorf("read claims of workers: %w", err)
		}
		for _, row := range page.Rows {
			from = row.Key + "\x00"
			docket, err := strconv.Atoi(string(row.Value))
			if err != nil {
				return fmt.Errorf("claim of worker %s: %w", row.Key, err)
			}
			c.note([]string{row.Key}, docket)
		}
		more = page.More && len(page.Rows) > 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	return nil
}

// store stores the claims of workers that have none.
func (c *workerClaims) store(ctx context.Context, workers []string, docket int) error {
	t := changelog.Transaction{Require: provider.Row{Key: workers[0]}, Absent: workers[1:]}
	for _, w := range workers {
		t.Put = append(t.Put, provider.Row{Key: w, Value: []byte(strconv.Itoa(docket))})
	}
	if _, err := c.table.Commit(ctx, t); err != nil {
		return fmt.Errorf("claim workers: %w", err)
	}
	c.note(workers, docket)
	return nil
}

// note records claims that the store has.
func (c *workerClaims) note(workers []string, docket int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range workers {
		c.dockets[w], c.stored[w] = docket, true
	}
}
