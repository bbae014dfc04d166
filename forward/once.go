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

// intentRecord is the value of the intent row that makes a non-idempotent request
// with an idempotency key durable.
type intentRecord struct {
	Request string `json:"request"`
	// Outcome is empty until the outcome of the request is recorded.
	Outcome string      `json:"outcome,omitempty"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Whole is false if the response was too large to be recorded.
	Whole bool `json:"whole,omitempty"`
}

// maxRecordedBody is the maximum size of a response body that is recorded for repeated
// keys.
const maxRecordedBody = 16 << 10

func intentKey(q *request) string { return intentPrefix + q.Organisation + "/" + q.key }

// intentRequestID returns the request ID in an intent row, or "" if the row cannot be
// decoded.
func intentRequestID(row []byte) string {
	var r intentRecord
	if err := json.Unmarshal(row, &r); err != nil {
		return ""
	}
	return r.Request
}

// runKeyed runs a non-idempotent request with an idempotency key. The intent is stored
// before the send, and a repeated key gets the first outcome.
func (f *Forwarder) runKeyed(ctx context.Context, w http.ResponseWriter, q *request) {
	version, refusal, first := f.storeIntent(ctx, q)
	switch {
	case first != nil:
		f.replay(w, first)
		return
	case refusal != nil && f.mayRunWithoutIntent(refusal, q.organisation):
		f.finish(w, q, f.run(ctx, w, q))
		return
	case refusal != nil:
		f.finish(w, q, *refusal)
		return
	}
	recorder := &recordingWriter{ResponseWriter: w, limit: maxRecordedBody}
	res := f.run(ctx, recorder, q)
	f.recordOutcome(q, version, res, recorder)
	f.finish(w, q, res)
}

// mayRunWithoutIntent reports whether a request whose intent was certainly not stored may be
// sent without one: the platform is unreachable and the organisation chose run-once.
func (f *Forwarder) mayRunWithoutIntent(refusal *result, o *pool.Organisation) bool {
	return refusal.outcome == runner.NotRun && !f.PlatformReachable() && o.CutOff == pool.CutOffRunOnce
}

// storeIntent stores the intent. It returns the row's version, or the record of the first
// request if the key was already used, or a refusal if the intent may not be stored.
func (f *Forwarder) storeIntent(ctx context.Context, q *request) (version uint64, refusal *result, first *intentRecord) {
	body, err := json.Marshal(intentRecord{Request: q.ID})
	if err != nil {
		return 0, &result{outcome: runner.NotRun, reason: err.Error()}, nil
	}
	versions, err := f.Table.Commit(ctx, provider.Create(intentKey(q), body), provider.Create(intentAgeKey(time.Now(), q), []byte(q.ID)))
	if err == nil {
		return versions[0], nil, nil
	}
	if errors.Is(err, provider.ErrUnavailable) {
		return 0, &result{outcome: runner.NotRun, reason: "the intent could not be made durable: the platform does not take writes now", retry: 5 * time.Second}, nil
	}
	// If the reply to the commit was lost, the row shows whose intent was stored.
	// If the row cannot be read or does not exist yet, nothing is sent, so not-run
	// is correct, although this request's intent may still occupy the key.
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

// recordOutcome stores the outcome in the intent row. If that fails the row has no outcome,
// and repeated keys get the outcome unknown.
func (f *Forwarder) recordOutcome(q *request, version uint64, res result, kept *recordingWriter) {
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

// replay responds to a repeated key with the first request's response or outcome.
func (f *Forwarder) replay(w http.ResponseWriter, first *intentRecord) {
	if first.Outcome == runner.OK.String() && first.Whole {
		for name, values := range first.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(first.Status)
		_, _ = w.Write(first.Body)
		return
	}
	p := gateway.Problem{Outcome: gateway.OutcomeUnknown, Request: first.Request}
	switch {
	case first.Outcome == runner.OK.String():
		p.Outcome, p.Reason = gateway.OutcomeFailed, "the first request with this key was answered; its answer was too large to be kept"
	case first.Outcome == "":
		p.Reason = "the first request with this key is still running, or its outcome was lost"
	default:
		p.Reason = "the first request with this key ended as " + first.Outcome
	}
	gateway.WriteProblem(w, http.StatusConflict, p)
}

// recordingWriter is an http.ResponseWriter that also records the status and a body of up to
// limit bytes.
type recordingWriter struct {
	http.ResponseWriter
	limit    int
	status   int
	body     bytes.Buffer
	overflow bool
}

// WriteHeader implements http.ResponseWriter and records the status.
func (k *recordingWriter) WriteHeader(status int) {
	k.status = status
	k.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter and records p unless the limit is exceeded.
func (k *recordingWriter) Write(p []byte) (int, error) {
	if k.body.Len()+len(p) > k.limit {
		k.overflow = true
	} else if !k.overflow {
		k.body.Write(p)
	}
	return k.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (k *recordingWriter) Unwrap() http.ResponseWriter { return k.ResponseWriter }
