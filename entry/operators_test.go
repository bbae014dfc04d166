package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/standin"
	"persimmonworks.example/persimmonworks/worker"
)

// bed is a stand-in with entry processes in one test.
type bed struct {
	t          *testing.T
	stand      *standin.Platform
	group      errgroup.Group
	processes  []*Process
	lines      []*link
	stops      []context.CancelFunc
	log        safeBuffer
	operator   keys.Token
	planner    keys.Token
	caller     keys.Token
	publisher  chain.Publisher
	configured pool.Configuration
}

// link is the path of one process to everything that it does not run itself.
type link struct {
	*provider.Client
	cut atomic.Bool
	// Traffic about configurations and plans, apart from the polls of the head.
	reads, readBytes, writes, writtenBytes, polls atomic.Int64
}

// read counts rows of configurations and plans.
func (l *link) read(key string, rows ...provider.Row) {
	switch {
	case key == "chain-head":
		l.polls.Add(1)
	case strings.HasPrefix(key, "chain/"), strings.HasPrefix(key, "intent/"):
		l.reads.Add(1)
		for _, r := range rows {
			l.readBytes.Add(int64(len(r.Value)))
		}
	}
}

func (l *link) gone() error {
	if l.cut.Load() {
		return fmt.Errorf("the process is dead: %w", provider.ErrUnavailable)
	}
	return nil
}

func (l *link) Get(ctx context.Context, key string) (provider.Row, error) {
	if err := l.gone(); err != nil {
		return provider.Row{}, err
	}
	row, err := l.Client.Get(ctx, key)
	l.read(key, row)
	return row, err
}

func (l *link) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	if err := l.gone(); err != nil {
		return nil, err
	}
	rows, err := l.Client.Range(ctx, prefix, after, limit)
	l.read(prefix, rows...)
	return rows, err
}

func (l *link) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	if err := l.gone(); err != nil {
		return nil, err
	}
	for _, o := range ops {
		if strings.HasPrefix(o.Key, "chain") || strings.HasPrefix(o.Key, "intent/") {
			l.writes.Add(1)
			l.writtenBytes.Add(int64(len(o.Value)))
		}
	}
	return l.Client.Commit(ctx, ops...)
}

// deadObjects is the object store as a dead process sees it.
type deadObjects struct {
	provider.Objects
	link *link
}

func (o *deadObjects) Put(ctx context.Context, name string, body []byte) error {
	if err := o.link.gone(); err != nil {
		return err
	}
	return o.Objects.Put(ctx, name, body)
}

// deadAgent is a worker as a dead process sees it.
type deadAgent struct {
	worker.Agent
	link *link
}

func (a *deadAgent) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	if err := a.link.gone(); err != nil {
		return worker.Report{}, fmt.Errorf("%v: %w", err, worker.ErrUnreachable)
	}
	return a.Agent.Sync(ctx, s)
}

// safeBuffer is a log that several processes write to.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// newBed starts processes, given their data centres, on a stand-in with the
// layout.
func newBed(t *testing.T, layout standin.Layout, centres ...string) *bed {
	t.Helper()
	b := &bed{t: t, operator: keys.NewToken(), planner: keys.NewToken(), caller: keys.NewToken()}
	layout.Service, layout.Slots = "jobs", 8
	layout.Capacity = resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10}
	b.stand = &standin.Platform{Listen: "127.0.0.1:0", HostLag: 100 * time.Millisecond, UsageLag: 300 * time.Millisecond, Layout: layout}
	ctx, stop := context.WithCancel(context.Background())
	b.group.Go(func() error { return b.stand.Run(ctx) })
	<-b.stand.Ready()
	b.configured = pool.Configuration{
		Organisations: []pool.Organisation{{Name: "prado", Weight: 1, TokenHashes: []string{b.caller.Digest().String()}}, {Name: "returns", Weight: 1}},
		Operators: []pool.Operator{
			{Name: "ivana", TokenHash: b.operator.Digest().String(), Role: pool.RoleOperator},
			{Name: "oto", TokenHash: b.planner.Digest().String(), Role: pool.RolePlanner},
		},
		Services:   []pool.Service{{Name: "jobs", RetryPercent: 10}},
		Objectives: []pool.Objective{{Organisation: "prado", Class: class.Urgent, Latency: 50 * time.Millisecond, Percent: 99, Window: 24 * time.Hour}},
	}
	b.publisher = chain.Publisher{Table: &provider.Client{Address: b.stand.Address()}}
	if _, err := b.publisher.Publish(t.Context(), 0, b.configured, "test", "first"); err != nil {
		t.Fatal(err)
	}
	b.start(centres)
	t.Cleanup(func() {
		for _, s := range b.stops {
			s()
		}
		for _, p := range b.processes {
			<-p.Done()
		}
		stop()
		if err := b.group.Wait(); err != nil && !errors.Is(err, errKilled) {
			t.Error(err)
		}
	})
	for i := range b.processes {
		b.until("ready", func() bool {
			status, _, _ := b.send(i, b.caller, http.MethodGet, "/readyz", "", nil)
			return status == http.StatusOK
		})
	}
	return b
}

func (b *bed) start(centres []string) {
	b.t.Helper()
	var names []string
	for i := range centres {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	made, err := keys.Ephemeral(names, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.t.Fatal(err)
	}
	for i, name := range names {
		text := fmt.Sprintf("[process]\nname = %s\ndata-centre = %s\ncaller-address = 127.0.0.1:7080\nrelay-address = 127.0.0.1:7180\n"+
			"[platform]\naddress = %s\n[keys]\nauthority = none\ncertificate = none\nprivate-key = none\n"+
			"[session]\nrenew-every = 500ms\nttl = 3s\nmargin = 500ms\n[worker]\nlease = 4s\nsync-every = 200ms\n", name, centres[i], b.stand.Address())
		s, err := settings.Parse("test", []byte(text))
		if err != nil {
			b.t.Fatal(err)
		}
		free := netip.MustParseAddrPort("127.0.0.1:0")
		s.Process.CallerAddress, s.Process.RelayAddress = free, free
		l := &link{Client: &provider.Client{Address: b.stand.Address(), Name: name}}
		p := &Process{
			Settings: s, Keys: made.Store(name), Table: l, Objects: &deadObjects{l.Client.Objects(), l}, Hosts: l.Client,
			Agent: func(address string) worker.Agent { return &deadAgent{&worker.Client{Address: address, Name: name}, l} },
			Log:   &event.Log{Writer: &b.log, Process: name, Level: event.Debug},
		}
		if err := p.Prepare(); err != nil {
			b.t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		b.processes, b.lines, b.stops = append(b.processes, p), append(b.lines, l), append(b.stops, stop)
		b.group.Go(func() error { return p.Run(ctx) })
	}
}

var errKilled = errors.New("killed by the test")

// kill ends a process at once: it says nothing to anyone any more.
func (b *bed) kill(i int) {
	b.lines[i].cut.Store(true)
	b.processes[i].group.Go(func() error { return errKilled })
}

// until polls a condition; the bound only ends a test that hangs.
func (b *bed) until(what string, done func() bool) {
	b.t.Helper()
	for end := time.Now().Add(90 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not within 90 s", what)
		}
	}
}

// send sends a request to process i and returns the status, headers and body.
func (b *bed) send(i int, token keys.Token, method, path, accept string, body any) (int, http.Header, []byte) {
	b.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		b.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+b.processes[i].CallerAddress()+path, bytes.NewReader(data))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token.Reveal())
	r.Header.Set("Accept", accept)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return answer.StatusCode, answer.Header, text
}

// ask sends an operator's request that must succeed and decodes the answer.
func ask[T any](b *bed, i int, method, path string, body any) T {
	b.t.Helper()
	status, _, text := b.send(i, b.operator, method, "/v1/operator"+path, "application/json", body)
	var v T
	if status >= http.StatusMultipleChoices {
		b.t.Fatalf("%s %s: status %d: %s", method, path, status, text)
	}
	if err := json.Unmarshal(text, &v); err != nil {
		b.t.Fatalf("%s %s: %v in %s", method, path, err, text)
	}
	return v
}

// submit submits a job and returns its identifier.
func (b *bed) submit(i int, name string, c class.Class, cores int64, works ...string) string {
	b.t.Helper()
	spec := job.Spec{
		Name: name, Organisation: "prado", Class: c, IdempotencyKey: name,
		Demand: resource.Vector{MilliCPU: cores * resource.MilliPerCore, MemoryMB: 1024},
	}
	for _, w := range works {
		spec.Tasks = append(spec.Tasks, job.TaskSpec{Work: json.RawMessage(w)})
	}
	var accepted gateway.Accepted
	b.until("submit "+name, func() bool {
		status, _, text := b.send(i, b.caller, http.MethodPost, "/v1/jobs", "application/json", spec)
		return status < http.StatusMultipleChoices && json.Unmarshal(text, &accepted) == nil
	})
	return accepted.Job
}

func decodeInto(text []byte, v any) bool { return json.Unmarshal(text, v) == nil }
