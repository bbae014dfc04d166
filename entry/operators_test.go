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

// cluster runs a stand-in of the platform and several entry processes.
type cluster struct {
	t          *testing.T
	platform   *standin.Platform
	group      errgroup.Group
	processes  []*Process
	links      []*platformLink
	stops      []context.CancelFunc
	log        lockedBuffer
	operator   keys.Token
	planner    keys.Token
	caller     keys.Token
	publisher  chain.Publisher
	configured pool.Configuration
}

// platformLink is one process's connection to the platform and its workers. A test can cut
// it to simulate a killed process.
type platformLink struct {
	*provider.Client
	cut atomic.Bool
	// Table traffic of configurations and plans, without the polls of the chain head.
	reads, readBytes, writes, writtenBytes, polls atomic.Int64
}

// countReads counts the reads of configurations and plans and their bytes.
func (l *platformLink) countReads(key string, rows ...provider.Row) {
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

func (l *platformLink) checkCut() error {
	if l.cut.Load() {
		return fmt.Errorf("the process is dead: %w", provider.ErrUnavailable)
	}
	return nil
}

func (l *platformLink) Get(ctx context.Context, key string) (provider.Row, error) {
	if err := l.checkCut(); err != nil {
		return provider.Row{}, err
	}
	row, err := l.Client.Get(ctx, key)
	l.countReads(key, row)
	return row, err
}

func (l *platformLink) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	if err := l.checkCut(); err != nil {
		return nil, err
	}
	rows, err := l.Client.Range(ctx, prefix, after, limit)
	l.countReads(prefix, rows...)
	return rows, err
}

func (l *platformLink) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	if err := l.checkCut(); err != nil {
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

// cutObjects is an object store that fails once the link is cut.
type cutObjects struct {
	provider.Objects
	link *platformLink
}

func (o *cutObjects) Put(ctx context.Context, name string, body []byte) error {
	if err := o.link.checkCut(); err != nil {
		return err
	}
	return o.Objects.Put(ctx, name, body)
}

// cutAgent is a worker agent that is unreachable once the link is cut.
type cutAgent struct {
	worker.Agent
	link *platformLink
}

func (a *cutAgent) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	if err := a.link.checkCut(); err != nil {
		return worker.Report{}, fmt.Errorf("%v: %w", err, worker.ErrUnreachable)
	}
	return a.Agent.Sync(ctx, s)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// newCluster starts a stand-in with the layout and an entry process for each element of
// centres, the data centre of the process.
func newCluster(t *testing.T, layout standin.Layout, centres ...string) *cluster {
	t.Helper()
	b := &cluster{t: t, operator: keys.NewToken(), planner: keys.NewToken(), caller: keys.NewToken()}
	layout.Service, layout.Slots = "jobs", 8
	layout.Capacity = resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10}
	b.platform = &standin.Platform{Listen: "127.0.0.1:0", HostLag: 100 * time.Millisecond, UsageLag: 300 * time.Millisecond, Layout: layout}
	ctx, stop := context.WithCancel(context.Background())
	b.group.Go(func() error { return b.platform.Run(ctx) })
	<-b.platform.Ready()
	b.configured = pool.Configuration{
		Organisations: []pool.Organisation{{Name: "prado", Weight: 1, TokenHashes: []string{b.caller.Digest().String()}}, {Name: "returns", Weight: 1}},
		Operators: []pool.Operator{
			{Name: "ivana", TokenHash: b.operator.Digest().String(), Role: pool.RoleOperator},
			{Name: "oto", TokenHash: b.planner.Digest().String(), Role: pool.RolePlanner},
		},
		Services:   []pool.Service{{Name: "jobs", RetryPercent: 10}},
		Objectives: []pool.Objective{{Organisation: "prado", Class: class.Urgent, Latency: 50 * time.Millisecond, Percent: 99, Window: 24 * time.Hour}},
	}
	b.publisher = chain.Publisher{Table: &provider.Client{Address: b.platform.Address()}}
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
		if t.Failed() {
			b.logWarnings()
		}
	})
	for i := range b.processes {
		b.waitFor("ready", func() bool {
			status, _, _ := b.send(i, b.caller, http.MethodGet, "/readyz", "", nil)
			return status == http.StatusOK
		})
	}
	return b
}

// logWarnings logs what the processes warned of, the latest lines.
func (b *cluster) logWarnings() {
	const most = 60
	var lines []string
	for line := range strings.Lines(b.log.String()) {
		if !strings.Contains(line, `"level":"debug"`) && !strings.Contains(line, `"level":"info"`) {
			lines = append(lines, line)
		}
	}
	b.t.Logf("%d warnings, the last:\n%s", len(lines), strings.Join(lines[max(0, len(lines)-most):], ""))
}

func (b *cluster) start(centres []string) {
	b.t.Helper()
	var names []string
	for i := range centres {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	made, err := keys.NewTestCA(names, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.t.Fatal(err)
	}
	for i, name := range names {
		text := fmt.Sprintf("[process]\nname = %s\ndata-centre = %s\ncaller-address = 127.0.0.1:7080\nrelay-address = 127.0.0.1:7180\n"+
			"[platform]\naddress = %s\n[keys]\nauthority = none\ncertificate = none\nprivate-key = none\n"+
			"[session]\nrenew-every = 500ms\nttl = 3s\nmargin = 500ms\n[worker]\nlease = 4s\nsync-every = 200ms\n", name, centres[i], b.platform.Address())
		s, err := settings.Parse("test", []byte(text))
		if err != nil {
			b.t.Fatal(err)
		}
		free := netip.MustParseAddrPort("127.0.0.1:0")
		s.Process.CallerAddress, s.Process.RelayAddress = free, free
		l := &platformLink{Client: &provider.Client{Address: b.platform.Address(), Name: name}}
		p := &Process{
			Settings: s, Keys: made.Store(name), Table: l, Objects: &cutObjects{l.Client.Objects(), l}, Hosts: l.Client,
			Agent: func(address string) worker.Agent { return &cutAgent{&worker.Client{Address: address, Name: name}, l} },
			Log:   &event.Log{Writer: &b.log, Process: name, Level: event.Debug},
		}
		if err := p.Prepare(); err != nil {
			b.t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		b.processes, b.links, b.stops = append(b.processes, p), append(b.links, l), append(b.stops, stop)
		b.group.Go(func() error { return p.Run(ctx) })
	}
}

var errKilled = errors.New("killed by the test")

// kill simulates a crash: the process can no longer reach the platform or a worker,
// and its goroutines are cancelled without a graceful shutdown.
func (b *cluster) kill(i int) {
	b.links[i].cut.Store(true)
	b.processes[i].group.Go(func() error { return errKilled })
}

// waitFor polls a condition until it holds. The timeout only ends a test that hangs.
func (b *cluster) waitFor(what string, done func() bool) {
	b.t.Helper()
	for end := time.Now().Add(90 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not within 90 s", what)
		}
	}
}

// send sends a request to process i and returns the status, headers and body.
func (b *cluster) send(i int, token keys.Token, method, path, accept string, body any) (int, http.Header, []byte) {
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

// ask sends an operator's request, which must succeed, and decodes the response.
func ask[T any](b *cluster, i int, method, path string, body any) T {
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
func (b *cluster) submit(i int, name string, c class.Class, cores int64, works ...string) string {
	b.t.Helper()
	spec := job.Spec{
		Name: name, Organisation: "prado", Class: c, IdempotencyKey: name,
		Demand: resource.Vector{MilliCPU: cores * resource.MilliPerCore, MemoryMB: 1024},
	}
	for _, w := range works {
		spec.Tasks = append(spec.Tasks, job.TaskSpec{Work: json.RawMessage(w)})
	}
	var accepted gateway.JobResponse
	b.waitFor("submit "+name, func() bool {
		status, _, text := b.send(i, b.caller, http.MethodPost, "/v1/jobs", "application/json", spec)
		return status < http.StatusMultipleChoices && json.Unmarshal(text, &accepted) == nil
	})
	return accepted.Job
}

func decodeInto(text []byte, v any) bool { return json.Unmarshal(text, v) == nil }
