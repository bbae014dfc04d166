package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
)

func newRunner() *Runner {
	return &Runner{ID: "u1", Slots: 2, Ledger: &ledger.Ledger{}, Faults: fault.NewInjector()}
}

// sendRequest returns the answer, or nil if the handler aborted the connection.
func sendRequest(r *Runner, id, work string) (answer *httptest.ResponseRecorder) {
	q := httptest.NewRequest(http.MethodPost, "/quote", strings.NewReader("body of "+id))
	q.Header.Set(RequestHeader, id)
	q.Header.Set(WorkHeader, work)
	q.Header.Set(NonIdempotentHeader, "true")
	defer func() {
		if recover() != nil {
			answer = nil
		}
	}()
	answer = httptest.NewRecorder()
	r.ServeHTTP(answer, q)
	return answer
}

// A request beyond the number of slots is refused as not run. A slot is free again
// once its answer has been received.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner()
		var group errgroup.Group
		for _, id := range []string{"1", "2"} {
			group.Go(func() error {
				if a := sendRequest(r, id, "1000"); a.Code != http.StatusOK || a.Body.String() != "body of "+id || a.Header().Get(RequestHeader) != id {
					t.Errorf("request %s: %d %q", id, a.Code, a.Body)
				}
				return nil
			})
		}
		synctest.Wait()
		a := sendRequest(r, "3", "0")
		if a.Code != http.StatusServiceUnavailable || a.Header().Get(provider.OutcomeHeader) != provider.OutcomeNotRun {
			t.Errorf("request beyond the number of slots: %d %v", a.Code, a.Header())
		}
		_ = group.Wait()
		if r.Busy() != 0 {
			t.Errorf("%d slots busy after all answers", r.Busy())
		}
		if a := sendRequest(r, "4", "soon"); a.Code != http.StatusBadRequest || a.Header().Get(provider.OutcomeHeader) != provider.OutcomeNotRun {
			t.Errorf("invalid work time: %d %v", a.Code, a.Header())
		}
		how := map[string]int{}
		for _, e := range r.Ledger.Entries() {
			how[e.Outcome]++
		}
		if how[ledger.Done] != 2 || how[ledger.Refused] != 2 {
			t.Errorf("ledger: %v", how)
		}
	})
}

// A frozen runner answers once it is no longer frozen. A lost runner aborts its
// requests, and the ledger still records them.
func TestFrozenAndLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner()
		set := func(change string) {
			if err := r.Faults.Apply([]byte(change)); err != nil {
				t.Error(err)
			}
		}
		begin := time.Now()
		time.AfterFunc(time.Second, func() { set(`{"hosts":{"u1":{"frozen":true}}}`) })
		time.AfterFunc(time.Minute, func() { set(`{"hosts":{"u1":{"frozen":false}}}`) })
		if a := sendRequest(r, "1", "2000"); a == nil || time.Since(begin) != time.Minute {
			t.Errorf("frozen: %v after %v", a, time.Since(begin))
		}
		time.AfterFunc(time.Second, func() { set(`{"hosts":{"u1":{"lost":true}}}`) })
		if a := sendRequest(r, "2", "5000"); a != nil {
			t.Errorf("lost: answer %d", a.Code)
		}
		if e := r.Ledger.Entries()[1]; e.Outcome != ledger.Lost || !e.NonIdempotent || r.Busy() != 0 {
			t.Errorf("ledger %+v, %d busy", e, r.Busy())
		}
	})
}

// The answer is streamed: its first part arrives before the request is complete.
func TestStreams(t *testing.T) {
	server := httptest.NewServer(newRunner())
	defer server.Close()
	reader, writer := io.Pipe()
	var group errgroup.Group
	first := make(chan struct{})
	group.Go(func() error {
		for _, piece := range []string{"one ", "two "} {
			if _, err := io.WriteString(writer, piece); err != nil {
				return err
			}
		}
		<-first
		if _, err := io.WriteString(writer, "three"); err != nil {
			return err
		}
		return writer.Close()
	})
	answer, err := http.Post(server.URL, "text/plain", reader)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	begin := make([]byte, 4)
	if _, err := io.ReadFull(answer.Body, begin); err != nil {
		t.Fatal(err)
	}
	close(first)
	rest, err := io.ReadAll(answer.Body)
	if err != nil || string(begin)+string(rest) != "one two three" {
		t.Errorf("answer %q%q, %v", begin, rest, err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
