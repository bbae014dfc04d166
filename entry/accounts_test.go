package entry

import (
	"math"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/standin"
)

// Kills a process that owns racks while it holds accounts that are not archived yet.
// The usage accounts must still balance and agree with the stand-in's ledger.
func TestAccountsSurviveKilledOwner(t *testing.T) {
	begin := time.Now()
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 3, Workers: 2}, "dc1", "dc1", "dc1")
	var jobs []string
	for _, name := range []string{"a", "b", "c", "d"} {
		jobs = append(jobs, b.submit(0, name, class.Batch, 3,
			slices.Repeat([]string{`{"run-ms":700,"use-percent":60}`, `{"run-ms":2500,"use-percent":30}`}, 30)...))
	}
	b.waitFor("a third has run", func() bool {
		done := 0
		for _, e := range b.platform.Ledger().Entries() {
			if e.Kind == ledger.Task && e.Outcome == ledger.Done {
				done++
			}
		}
		return done >= 80
	})
	victim := b.rackOwner()
	b.kill(victim)
	witness := (victim + 1) % 3
	for _, id := range jobs {
		b.waitForJob(witness, id)
	}
	want := executedCoreSeconds(b.platform.Ledger().Entries())
	period := url.Values{"from": {begin.UTC().Format(time.RFC3339)}, "to": {time.Now().Add(time.Second).UTC().Format(time.RFC3339)}}
	var got console.Usage
	b.waitFor("all ends are reported", func() bool {
		got = ask[console.Usage](b, witness, http.MethodGet, "/usage?"+period.Encode(), nil)
		return len(got.Missing) == 0
	})
	if err := got.CheckBalance(); err != nil || got.Unclosed != "" {
		t.Errorf("not closed: %v, %q", err, got.Unclosed)
	}
	if !got.Uncovered.IsZero() {
		t.Errorf("uncovered %v: work without capacity", got.Uncovered)
	}
	booked := float64(got.Reserved().MilliCPU) / 1e6
	t.Logf("ledger %.1f core-seconds, accounts %.1f, difference %.2f%%; killed e%d; %+v", want, booked, 100*(booked-want)/want, victim+1, got.Lines)
	// Reports contain the run time of an attempt. Only the few attempts that were
	// reported to two owners can differ, by the transit time of a message.
	if math.Abs(booked-want) > want/100 {
		t.Errorf("the accounts have %.1f core-seconds, the ledger %.1f", booked, want)
	}
	if len(got.Lines) != 1 || got.Lines[0].Organisation != "prado" || got.Lines[0].Class != class.Batch || got.Lines[0].Used.IsZero() {
		t.Errorf("lines: %+v, want used batch work of prado", got.Lines)
	}
	status, header, csv := b.send(witness, b.planner, http.MethodGet, "/v1/operator/usage?"+period.Encode(), "text/csv", nil)
	if status != http.StatusOK || !strings.HasPrefix(header.Get("Content-Type"), "text/csv") || !strings.Contains(string(csv), "prado,batch,reserved,") {
		t.Errorf("CSV: status %d: %s", status, csv)
	}
}

// rackOwner returns a process that owns a rack with something running.
func (b *cluster) rackOwner() int {
	b.t.Helper()
	owner := -1
	b.waitFor("a rack with work", func() bool {
		for _, h := range ask[console.Gathered[console.Host]](b, 0, http.MethodGet, "/hosts", nil).Items {
			if h.Running > 0 && h.Owner != "" {
				owner = slices.IndexFunc(b.processes, func(p *Process) bool { return p.Settings.Process.Name == h.Owner })
			}
		}
		return owner >= 0
	})
	return owner
}

// executedCoreSeconds returns the core-seconds that ran according to the ledger.
func executedCoreSeconds(entries []ledger.Entry) float64 {
	sum := 0.0
	for _, e := range entries {
		if e.Kind == ledger.Task && e.Outcome != ledger.Refused {
			sum += e.End.Sub(e.Begin).Seconds() * float64(e.Demand.MilliCPU) / 1000
		}
	}
	return sum
}
