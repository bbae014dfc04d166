package provider

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// A read whose answer has not changed moves no body, and one that has changed
// is never answered from the cache.
func TestUnchangedReads(t *testing.T) {
	var version, whole, asked atomic.Int64
	tags := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Add(1)
		tag := fmt.Sprintf("%q", fmt.Sprint(version.Load()))
		if tags {
			w.Header().Set("ETag", tag)
			if q.Header.Get("If-None-Match") == tag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		}
		whole.Add(1)
		if q.URL.Path == PathHosts {
			fmt.Fprintf(w, `[{"id":"w-%d"}]`, version.Load())
			return
		}
		fmt.Fprintf(w, `[{"key":%q,"version":%d}]`, q.URL.Query().Get("prefix"), version.Load()+1)
	}))
	defer server.Close()
	c := Client{Address: server.URL}
	look := func() {
		t.Helper()
		hosts, err := c.Hosts(t.Context())
		if err != nil || len(hosts) != 1 || hosts[0].ID != fmt.Sprint("w-", version.Load()) {
			t.Fatalf("hosts %v, %v at version %d", hosts, err, version.Load())
		}
		for _, prefix := range []string{"a/", "b/"} {
			rows, err := c.Range(t.Context(), prefix, "", 10)
			if err != nil || len(rows) != 1 || rows[0].Key != prefix || rows[0].Version != uint64(version.Load()+1) {
				t.Fatalf("rows %v, %v at version %d", rows, err, version.Load())
			}
		}
	}
	for range 5 {
		version.Add(1)
		for range 10 {
			look()
		}
	}
	if whole.Load() != 15 || asked.Load() != 150 {
		t.Errorf("%d of %d answers were whole, want 15 of 150", whole.Load(), asked.Load())
	}
	tags = false // a platform without tags
	whole.Store(0)
	look()
	look()
	if whole.Load() != 6 {
		t.Errorf("%d whole answers without tags, want 6", whole.Load())
	}
	for i := range 10 * maxCachedAnswers {
		c.cache.keep(fmt.Sprint(i), answer{"t", make([]byte, 10)})
	}
	c.cache.keep("large", answer{"t", make([]byte, maxCachedBytes+1)})
	if n := len(c.cache.answers); n > maxCachedAnswers || c.cache.answer("large").body != nil {
		t.Errorf("%d answers are kept, or a large one", n)
	}
}
