package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/standin"
)

func weight(n int, why string) intent.Intent {
	return intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: n, Why: why}
}

// Confirmed plans take effect at all of eight processes in three data centres. The
// time and the cost of a change are logged but not checked.
func TestInForceAtEightProcesses(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 3, Racks: 1, Workers: 1}, "dc1", "dc2", "dc3", "dc1", "dc2", "dc3", "dc1", "dc2")
	b.waitFor("all know each other", func() bool {
		for i := range b.processes {
			all := ask[console.Processes](b, i, http.MethodGet, "/processes", nil).Processes
			if len(all) != 8 || slices.ContainsFunc(all, func(s console.Standing) bool { return !s.Heard }) {
				return false
			}
		}
		return true
	})
	const changes = 16
	before := b.traffic()
	var took []int64
	for n := range changes {
		i := n % len(b.processes)
		proposed := ask[console.Proposed](b, i, http.MethodPost, "/plans", weight(n+2, "measured"))
		done := ask[console.Confirmed](b, (i+3)%8, http.MethodPost, "/plans/"+proposed.Digest+"/confirm", nil)
		if len(done.InForce) != 8 || len(done.CutOff) != 0 || done.Number != uint64(n+2) {
			t.Fatalf("change %d: %+v, want it in force at 8 processes", n, done)
		}
		took = append(took, done.TookMS)
	}
	after := b.traffic()
	slices.Sort(took)
	t.Logf("in force at 8 processes: median %d ms, most %d ms of %d changes", took[changes/2], took[changes-1], changes)
	t.Logf("cost of a change with a configuration of %d bytes: %.1f rows written with %.0f bytes, %.1f reads with %.0f bytes over all processes",
		len(mustJSON(t, b.configured)), after.avg(before, 0, changes), after.avg(before, 1, changes), after.avg(before, 2, changes), after.avg(before, 3, changes))

	// A killed process is reported as cut off and does not block the confirmation.
	b.kill(7)
	proposed := ask[console.Proposed](b, 0, http.MethodPost, "/plans", weight(99, "after the kill"))
	done := ask[console.Confirmed](b, 0, http.MethodPost, "/plans/"+proposed.Digest+"/confirm?wait-ms=1500", nil)
	if len(done.InForce) != 7 {
		t.Errorf("in force at %v, want e1 to e7", done.InForce)
	}
	if len(done.CutOff) != 1 || done.CutOff[0].Process != "e8" {
		t.Errorf("cut off: %+v, want e8", done.CutOff)
	}
	b.waitFor("the session of e8 has expired", func() bool {
		return !slices.Contains(b.processes[0].Processes(), "e8")
	})
	proposed = ask[console.Proposed](b, 0, http.MethodPost, "/plans", weight(98, "after the session"))
	done = ask[console.Confirmed](b, 0, http.MethodPost, "/plans/"+proposed.Digest+"/confirm?wait-ms=1500", nil)
	if len(done.CutOff) != 1 || done.CutOff[0].Process != "e8" {
		t.Errorf("cut off: %+v, want e8, which did not leave by itself", done.CutOff)
	}
}

// traffic holds rows written, bytes written, rows read and bytes read, in this order.
type traffic [4]int64

func (b *cluster) traffic() traffic {
	var sum traffic
	for _, l := range b.links {
		sum[0] += l.writes.Load()
		sum[1] += l.writtenBytes.Load()
		sum[2] += l.reads.Load()
		sum[3] += l.readBytes.Load()
	}
	return sum
}

func (t traffic) avg(before traffic, i, n int) float64 { return float64(t[i]-before[i]) / float64(n) }

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// If two operators confirm conflicting plans at the same time, exactly one succeeds.
// The other gets a conflict that names the first operator and holds a new plan. The
// history records who changed what, and undo restores the previous configuration.
func TestRacingOperators(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 1, Workers: 1}, "dc1", "dc1")
	for round := range 5 {
		digests := []string{
			ask[console.Proposed](b, 0, http.MethodPost, "/plans", weight(10+round, "first")).Digest,
			ask[console.Proposed](b, 1, http.MethodPost, "/plans", weight(20+round, "second")).Digest,
		}
		statuses, bodies := make([]int, 2), make([][]byte, 2)
		var group errgroup.Group
		for i, d := range digests {
			group.Go(func() error {
				statuses[i], _, bodies[i] = b.send(i, b.operator, http.MethodPost, "/v1/operator/plans/"+d+"/confirm", "", nil)
				return nil
			})
		}
		_ = group.Wait()
		loser := slices.Index(statuses, http.StatusConflict)
		if loser < 0 || statuses[1-loser] != http.StatusOK {
			t.Fatalf("statuses %v, want one 200 and one 409: %s %s", statuses, bodies[0], bodies[1])
		}
		var told console.Refusal
		if !decodeInto(bodies[loser], &told) || !strings.Contains(told.Reason, "ivana") || told.Plan == nil || told.Outcome != "not-run" {
			t.Fatalf("the loser was told %s, want who won and a new plan", bodies[loser])
		}
	}
	past := ask[[]console.Past](b, 0, http.MethodGet, "/history?limit=3", nil)
	if len(past) != 3 || past[0].Number != 6 || past[0].By != "ivana" || !strings.Contains(past[0].Why, "set-weight") {
		t.Fatalf("history: %+v", past)
	}
	undo := ask[console.Proposed](b, 1, http.MethodPost, "/undo", console.Undo{Number: 6, Why: "a mistake"})
	done := ask[console.Confirmed](b, 0, http.MethodPost, "/plans/"+undo.Digest+"/confirm", nil)
	if again := ask[console.Confirmed](b, 1, http.MethodPost, "/plans/"+undo.Digest+"/confirm", nil); again.Number != done.Number {
		t.Errorf("the same confirmation again gives number %d, want %d", again.Number, done.Number)
	}
	if now := b.processes[0].configuration().Organisation("prado").Weight; now != 13 && now != 23 {
		t.Errorf("weight %d after the undo, want that of configuration 5", now)
	}
}

// Tokens and private keys must not appear in logs or responses, even if the input
// contains them.
func TestSecretsNeverShow(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 1, Workers: 1}, "dc1")
	secret := b.operator.Reveal()
	var shown []string
	for _, x := range []struct {
		method, path string
		body         any
	}{
		{http.MethodPost, "/plans", weight(3, "")},
		{http.MethodPost, "/plans", intent.Intent{Kind: intent.SetTokens, Organisation: "prado", TokenHashes: []string{secret}}},
		{http.MethodPost, "/plans", intent.Intent{Kind: intent.SetTokens, Organisation: "prado", TokenHashes: []string{b.planner.Digest().String()}}},
		{http.MethodPost, "/plans", map[string]any{"kind": "set-weight", "token": secret}},
		{http.MethodGet, "/history", nil},
		{http.MethodGet, "/processes", nil},
		{http.MethodGet, "/state", nil},
		{http.MethodGet, "/burn", nil},
		{http.MethodGet, "/usage", nil},
	} {
		_, _, text := b.send(0, b.operator, x.method, "/v1/operator"+x.path, "", x.body)
		shown = append(shown, string(text))
	}
	b.send(0, b.caller, http.MethodGet, "/v1/operator/history", "", nil) // refused and logged
	b.submit(0, "job", class.Batch, 1, `{"run-ms":1}`)
	all := strings.Join(shown, "\n") + b.log.String()
	if !strings.Contains(all, "intent-proposed") || !strings.Contains(all, "access-refused") {
		t.Fatalf("the log lacks what it must show: %s", all)
	}
	for name, hidden := range map[string]string{"operator": secret, "planner": b.planner.Reveal(), "caller": b.caller.Reveal()} {
		if strings.Contains(all, hidden) {
			t.Errorf("the secret of the %s shows", name)
		}
	}
	if strings.Contains(all, "PRIVATE KEY") {
		t.Error("a private key shows")
	}
}

// While the platform is unavailable operators get what the processes hold in memory,
// and a proposed plan is refused as not-run.
func TestOperatorsWithoutPlatform(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 1, Workers: 1}, "dc1", "dc1")
	if err := b.platform.SetFaults([]byte(`{"platform":{"away":true}}`)); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/usage?last=10m", "/burn"} {
		status, header, text := b.send(0, b.planner, http.MethodGet, "/v1/operator"+path, "", nil)
		if status != http.StatusOK || !strings.Contains(header.Get("Persimmon-Missing"), "archive") {
			t.Errorf("%s: status %d, missing %q: %s", path, status, header.Get("Persimmon-Missing"), text)
		}
	}
	status, header, text := b.send(0, b.planner, http.MethodPost, "/v1/operator/plans", "", weight(3, ""))
	if status != http.StatusServiceUnavailable || header.Get("Persimmon-Outcome") != "not-run" {
		t.Errorf("plan: status %d, outcome %q: %s", status, header.Get("Persimmon-Outcome"), text)
	}
	b.waitFor("platform-away is logged", func() bool { return strings.Contains(b.log.String(), "platform-away") })
	if err := b.platform.SetFaults([]byte(`{"platform":{"away":false}}`)); err != nil {
		t.Fatal(err)
	}
	b.waitFor("platform-back is logged", func() bool { return strings.Contains(b.log.String(), "platform-back") })
}
