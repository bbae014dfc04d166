package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/standin"
)

// request sends a service request to process i and returns the status.
func (b *cluster) request(i int, token keys.Token, workMS string) int {
	b.t.Helper()
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://"+b.processes[i].CallerAddress()+"/v1/services/jobs/check", bytes.NewReader([]byte("pigment")))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token.Reveal())
	r.Header.Set(gateway.HeaderClass, "urgent")
	r.Header.Set("Persimmon-Work-Ms", workMS)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// The burn report sums the requests of all processes, including those of a killed
// process whose counts were archived. The metrics endpoint exposes the counters.
func TestBurnOverAllProcesses(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 1, Workers: 1, Runners: 4}, "dc1", "dc1")
	b.waitFor("a runner answers", func() bool { return b.request(0, b.caller, "1") == http.StatusOK })
	base := ask[burn.Report](b, 0, http.MethodGet, "/burn", nil).Lines[0]
	for i := range 40 {
		work := "1"
		if i%10 == 0 {
			work = "120" // above the objective of 50 ms
		}
		if status := b.request(i%2, b.caller, work); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	var line burn.Line
	total := base.Good + base.Bad + 40
	b.waitFor("all requests are counted", func() bool {
		line = ask[burn.Report](b, 1, http.MethodGet, "/burn", nil).Lines[0]
		return line.Good+line.Bad == total
	})
	if line.Bad < base.Bad+4 || len(line.Exemplars) < 4 || line.Rates[0] <= 0 {
		t.Errorf("burn %+v, want at least the 4 slow requests with their names", line)
	}
	_, _, metrics := b.send(0, b.caller, http.MethodGet, "/metrics", "", nil)
	for _, want := range []string{
		`persimmonworks_requests_total{class="urgent",outcome="done"}`, `persimmonworks_platform_calls_total{call="commit",result="ok"}`,
		`persimmonworks_shards_owned{kind="rack"}`, `persimmonworks_workers{state="open"}`, `persimmonworks_queue_length{class="batch"}`,
	} {
		if !strings.Contains(string(metrics), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	b.processes[0].archiveBurn(t.Context())
	b.kill(0)
	b.waitFor("the counts of the killed process come from the archive", func() bool {
		status, header, page := b.send(1, b.planner, http.MethodGet, "/v1/operator/burn", "text/html", nil)
		if status != http.StatusOK || !strings.Contains(string(page), "<svg") {
			t.Fatalf("page: status %d: %.200s", status, page)
		}
		line = ask[burn.Report](b, 1, http.MethodGet, "/burn", nil).Lines[0]
		return header.Get(gateway.HeaderMissing) == "" && line.Good+line.Bad == total
	})
}
