package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/runner"
)

// intentRecord is the durable row of a non-idempotent request with a key.
type intentRecord struct {
	Request string `json:"request"`
	// Outcome is "" from before the send until the outcome is recorded.
	Outcome string      `json:"outcome,omitempty"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Whole is false when the answer was too large to be kept.
	Whole bool `json:"whole,omitempty"`
}

// maxKeptAnswer bounds the answers that are kept for repeated keys.
const maxKeptAnswer = 16 << 10

func intentKey(q *request) string { return intentPrefix + q.Organisation + "/" + q.key }

// requestOf returns the request that an intent row is of, "" if it is damaged.
func requestOf(row []byte) string {
	var r intentRecord
	if err := json.Unmarshal(row, &r); err != nil {
		return ""
	}
	return r.Request
}

// once runs a non-idempotent request with an idempotency key: the intent is
// durable before the send, and a repeated key gets the first outcome.
func (f *Forwarder) once(ctx context.Context, w http.ResponseWriter, q *request) {
	version, refusal, first := f.claim(ctx, q)
	switch {
	case first != nil:
		f.replay(w, first)
		return
	case refusal != nil && f.runUnkeyed(refusal, q.organisation):
		f.finish(w, q, f.run(ctx, w, q))
		return
	case refusal != nil:
		f.finish(w, q, *refusal)
		return
	}
	kept := &keeper{ResponseWriter: w, limit: maxKeptAnswer}
	res := f.run(ctx, kept, q)
	f.record(q, version, res, kept)
	f.finish(w, q, res)
}

// runUnkeyed tells whether the organisation wants one unrecorded send while
// the platform certainly took no intent.
func (f *Forwarder) runUnkeyed(refusal *result, o *pool.Organisation) bool {
	return refusal.outcome == runner.NotRun && !f.PlatformReachable() && o.CutOff == pool.CutOffRunOnce
}

// claim makes the intent durable. It returns the first request's record when
// the key had been used, or why nothing was sent.
func (f *Forwarder) claim(ctx context.Context, q *request) (version uint64, refusal *result, first *intentRecord) {
	body, err := json.Marshal(intentRecord{Request: q.ID})
	if err != nil {
		return 0, &result{outcome: runner.NotRun, reason: err.Error()}, nil
	}
	versions, err := f.Table.Commit(ctx, provider.Create(intentKey(q), body), provider.Create(ageKey(time.Now(), q), []byte(q.ID)))
	if err == nil {
		return versions[0], nil, nil
	}
	if errors.Is(err, provider.ErrUnavailable) {
		return 0, &result{outcome: runner.NotRun, reason: "the intent could not be made durable: the platform does not take writes now", retry: 5 * time.Second}, nil
	}
	// After a lost answer the row says who wrote it. If it cannot be read, or
	// is not there yet, nothing is sent: not-run stays true, but the key may
	// turn out to be used by this request.
	row, readErr := f.Table.Get(ctx, intentKey(q))
	if readErr != nil {
		return 0, &result{outcome: runner.NotRun, reason: "the intent could not be read back: " + readErr.Error(), retry: 5 * time.Second}, nil
	}
	var r intentRecord
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return 0, &result{outcome: runner.NotRun, reason: "the intent row is damaged: " + err.Error()}, nil
	}
	if r.Request == q.ID {
		return row.Version, nil, nil
	}
	return 0, nil, &r
}

// record writes the outcome into the intent row. If that fails the row keeps
// no outcome, and repeated keys are answered with unknown.
func (f *Forwarder) record(q *request, version uint64, res result, kept *keeper) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if res.outcome == runner.NotRun && !res.answered {
		_, _ = f.Table.Commit(ctx, provider.Remove(intentKey(q), version)) // the key may be used again
		return
	}
	r := intentRecord{Request: q.ID, Outcome: res.outcome.String()}
	if res.answered && res.outcome == runner.OK {
		r.Status, r.Header, r.Whole = kept.status, kept.Header().Clone(), !kept.overflow
		if r.Whole {
			r.Body = kept.body.Bytes()
		}
	}
	if body, err := json.Marshal(r); err == nil {
		_, _ = f.Table.Commit(ctx, provider.Update(intentKey(q), body, version))
	}
}

// replay answers a repeated key with the first outcome.
func (f *Forwarder) replay(w http.ResponseWriter, first *intentRecord) {
	if first.Outcome == runner.OK.String() && first.Whole {
		for name, values := range first.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(first.Status)
		_, _ = w.Write(first.Body)
		return
	}
	p := gateway.Problem{Outcome: gateway.Unknown, Request: first.Request}
	switch {
	case first.Outcome == runner.OK.String():
		p.Outcome, p.Reason = gateway.Failed, "the first request with this key was answered; its answer was too large to be kept"
	case first.Outcome == "":
		p.Reason = "the first request with this key is still running, or its outcome was lost"
	default:
		p.Reason = "the first request with this key ended as " + first.Outcome
	}
	gateway.Refuse(w, http.StatusConflict, p)
}

// keeper passes an answer on and keeps a copy of a small one.
type keeper struct {
	http.ResponseWriter
	limit    int
	status   int
	body     bytes.Buffer
	overflow bool
}

// WriteHeader notes the status.
func (k *keeper) WriteHeader(status int) {
	k.status = status
	k.ResponseWriter.WriteHeader(status)
}

// Write keeps what still fits.
func (k *keeper) Write(p []byte) (int, error) {
	if k.body.Len()+len(p) > k.limit {
		k.overflow = true
	} else if !k.overflow {
		k.body.Write(p)
	}
	return k.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the writer.
func (k *keeper) Unwrap() http.ResponseWriter { return k.ResponseWriter }
