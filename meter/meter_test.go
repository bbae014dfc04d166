package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/class"
)

func scrape(t *testing.T, m *Meter) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	return w.Body.String()
}

func TestInstrumentsAreServed(t *testing.T) {
	m := Meter{Process: "entry-1", DataCentre: "sofia"}
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	m.Request(class.Urgent, OutcomeDone, 4*time.Millisecond)
	m.Request(class.Urgent, "caller-made-this-up", 0)
	m.Placed(class.Batch, time.Minute)
	m.AttemptEnded(class.Batch, "lost")
	m.PlatformCall("commit", ResultUnknown, 2*time.Second)
	m.RelayCall(ResultOK)
	m.WorkerSync(ResultUnavailable)
	m.LoopBusy(250 * time.Millisecond)
	m.SetShards("rack", 3)
	m.SetQueue(class.Interactive, 17)
	m.SetConfiguration(42)
	m.SetWorkers("quarantined", 2)
	got := scrape(t, &m)
	for _, want := range []string{
		`persimmonworks_requests_total{class="urgent",outcome="done"} 1`,
		`persimmonworks_requests_total{class="urgent",outcome="other"} 1`,
		`persimmonworks_wait_seconds_bucket{class="urgent",le="0.005"} 2`,
		`persimmonworks_wait_seconds_bucket{class="batch",le="60"} 1`,
		`persimmonworks_placements_total{class="batch"} 1`,
		`persimmonworks_attempts_total{class="batch",end="lost"} 1`,
		`persimmonworks_platform_calls_total{call="commit",result="unknown"} 1`,
		`persimmonworks_relay_calls_total{result="ok"} 1`,
		`persimmonworks_worker_syncs_total{result="unavailable"} 1`,
		`persimmonworks_control_loop_busy_seconds_total 0.25`,
		`persimmonworks_shards_owned{kind="rack"} 3`,
		`persimmonworks_queue_length{class="interactive"} 17`,
		`persimmonworks_configuration_number 42`,
		`persimmonworks_workers{state="quarantined"} 2`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("missing %s", want)
		}
	}
	if t.Failed() {
		t.Log(got)
	}
	if err := m.Close(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestMetersAreIndependentAndInactiveBeforeOpen(t *testing.T) {
	var a, b Meter
	a.Request(class.Urgent, OutcomeDone, 0)
	if err := a.Close(t.Context()); err != nil {
		t.Error(err)
	}
	w := httptest.NewRecorder()
	a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d before Open", w.Code)
	}
	for _, m := range []*Meter{&a, &b} {
		if err := m.Open(); err != nil {
			t.Fatal(err)
		}
	}
	a.SetShards("jobs", 1)
	if strings.Contains(scrape(t, &b), "shards_owned{") {
		t.Error("a meter serves the shards of another")
	}
}

func TestGaugeIsReadWhenTheMetricsAre(t *testing.T) {
	m := &DynamicMeter{}
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	value := 7.0
	if err := m.Gauge("configuration.silence", "s", func() float64 { return value }); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"persimmonworks_configuration_silence_seconds 7", "persimmonworks_configuration_silence_seconds 8.5"} {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, w.Body)
		}
		value = 8.5
	}
}
