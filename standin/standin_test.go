package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/upstream"
	"persimmonworks.example/persimmonworks/worker"
)

const patience = 10 * time.Second // of calls that are meant to be answered

var testLayout = Layout{
	DataCentres: 2, Racks: 1, Workers: 2, Runners: 1, Slots: 2, Service: "jobs",
	Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 32768},
}

// serve runs p until the end of the test.
func serve(t *testing.T, p *Platform) *Control {
	t.Helper()
	p.Listen, p.Layout = "127.0.0.1:0", testLayout
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return &Control{Address: p.Address()}
}

func apply(t *testing.T, c *Control, change string) {
	t.Helper()
	if _, err := c.Apply(t.Context(), change); err != nil {
		t.Fatal(err)
	}
}

// Each fault of the platform gives the failure that it stands for, and the
// write has the effect that the failure says.
func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name, change string
		timeout      time.Duration
		read, write  error
		applied      bool
	}{
		{"none", `{}`, patience, nil, nil, true},
		{"away", `{"platform":{"away":true}}`, patience, provider.ErrUnavailable, provider.ErrUnavailable, false},
		{"next answer lost", `{"platform":{"lose-next":1}}`, patience, nil, provider.ErrOutcomeUnknown, true},
		{"all answers lost", `{"platform":{"lose-probability":1,"seed":7}}`, patience, nil, provider.ErrOutcomeUnknown, true},
		{"slow", `{"platform":{"slow-ms":300}}`, 20 * time.Millisecond, provider.ErrUnavailable, provider.ErrOutcomeUnknown, true},
		{"cut off", `{"partitions":[{"client":"e1","platform":true}]}`, patience, provider.ErrUnavailable, provider.ErrOutcomeUnknown, false},
		{"another cut off", `{"partitions":[{"client":"e2","platform":true}]}`, patience, nil, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &Platform{}
			control := serve(t, p)
			client := &provider.Client{Address: p.Address(), Name: "e1", Timeout: c.timeout}
			apply(t, control, c.change)
			if _, err := client.Range(t.Context(), "", "", 1); !errors.Is(err, c.read) {
				t.Errorf("read: %v, want %v", err, c.read)
			}
			if _, err := client.Commit(t.Context(), provider.Create("a", []byte("1"))); !errors.Is(err, c.write) {
				t.Errorf("write: %v, want %v", err, c.write)
			}
			if err := control.SetPlatform(t.Context(), fault.Platform{}); err != nil {
				t.Fatal(err)
			}
			if err := control.SetPartitions(t.Context()); err != nil {
				t.Fatal(err)
			}
			if c.timeout < patience {
				waitForRow(t, p, "a")
			}
			_, err := (&provider.Client{Address: p.Address()}).Get(t.Context(), "a")
			if applied := err == nil; applied != c.applied {
				t.Errorf("applied %v (%v), want %v", applied, err, c.applied)
			}
		})
	}
}

// waitForRow waits for a write whose sender has given up.
func waitForRow(t *testing.T, p *Platform, key string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := p.table.Get(ctx, key); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("row %q was never written", key)
}

// A worker and a runner work over HTTP, and the ledger has both.
func TestHostsOverHTTP(t *testing.T) {
	p := &Platform{}
	control := serve(t, p)
	hosts, err := (&provider.Client{Address: p.Address()}).Hosts(t.Context())
	if err != nil || len(hosts) != 6 || hosts[0].ID != "w-dc1-r1-01" || hosts[2].ID != "u-dc1-r1-01" {
		t.Fatalf("hosts %v, %v", hosts, err)
	}
	w := &worker.Client{Address: hosts[0].Address, Name: "e1", Timeout: patience}
	start := worker.Start{Ref: worker.Ref{Task: "a/1", Attempt: 1}, Work: []byte(`{"forever":true}`)}
	report, err := w.Sync(t.Context(), worker.Sync{Epoch: 2})
	if err != nil {
		t.Fatal(err)
	}
	report, err = w.Sync(t.Context(), worker.Sync{
		Epoch: 2, BootID: report.BootID, NotAfter: report.Clock + time.Minute, Starts: []worker.Start{start},
	})
	if err != nil || len(report.Attempts) != 1 || report.Attempts[0].State != worker.Running {
		t.Fatalf("report %+v, %v", report, err)
	}
	if _, err := w.Sync(t.Context(), worker.Sync{Epoch: 1}); !errors.Is(err, worker.ErrStaleEpoch) {
		t.Errorf("lower epoch: %v", err)
	}
	apply(t, control, `{"partitions":[{"client":"e1","data-centres":["dc1"]}]}`)
	if _, err := w.Sync(t.Context(), worker.Sync{Epoch: 2}); !errors.Is(err, worker.ErrUnreachable) {
		t.Errorf("cut off: %v", err)
	}
	body := bytes.Repeat([]byte("pattern"), 100_000)
	if got := send(t, hosts[2].Address, body); !bytes.Equal(got, body) {
		t.Errorf("answer of %d bytes differs from the request of %d", len(got), len(body))
	}
	apply(t, control, `{"hosts":{"w-dc1-r1-01":{"lost":true}}}`)
	entries, err := control.Ledger(t.Context())
	if err != nil || len(entries) != 2 || entries[0].Outcome != ledger.Lost || entries[1].Outcome != ledger.Done {
		t.Errorf("ledger %+v, %v", entries, err)
	}
	if found, err := control.Check(t.Context()); err != nil || len(found) != 0 {
		t.Errorf("violations %v, %v", found, err)
	}
}

func send(t *testing.T, address string, body []byte) []byte {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/quote", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(upstream.RequestHeader, "q1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || answer.Header.Get(upstream.RequestHeader) != "q1" || answer.Header.Get(upstream.RunnerHeader) != "u-dc1-r1-01" {
		t.Fatalf("answer %s %v: %v", answer.Status, answer.Header, err)
	}
	return content
}
