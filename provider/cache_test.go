package provider

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestUnchangedReads checks that an unchanged response transfers no body, that a
// changed one never comes from the cache, and that the cache stays within its
// limits.
func TestUnchangedReads(t *testing.T) {
	var version, full, asked atomic.Int64
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
		full.Add(1)
		if q.URL.Path == PathHosts {
			fmt.Fprintf(w, `[{"id":"w-%d"}]`, version.Load())
			return
		}
		fmt.Fprintf(w, `[{"key":%q,"version":%d}]`, q.URL.Query().Get("prefix"), version.Load()+1)
	}))
	defer server.Close()
	c := Client{Address: server.URL}
	checkReads := func() {
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
			checkReads()
		}
	}
	if full.Load() != 15 || asked.Load() != 150 {
		t.Errorf("%d of %d responses had a body, want 15 of 150", full.Load(), asked.Load())
	}
	tags = false // a platform that sends no entity tags
	full.Store(0)
	checkReads()
	checkReads()
	if full.Load() != 6 {
		t.Errorf("%d responses with a body without tags, want 6", full.Load())
	}
	for i := range 10 * maxCachedResponses {
		c.cache.keep(fmt.Sprint(i), cachedResponse{"t", make([]byte, 10)})
	}
	c.cache.keep("large", cachedResponse{"t", make([]byte, maxCachedBytes+1)})
	if n := len(c.cache.responses); n > maxCachedResponses || c.cache.response("large").body != nil {
		t.Errorf("%d responses are cached, or one above the size limit is", n)
	}
}
