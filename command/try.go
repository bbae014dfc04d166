package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/entry"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/standin"
)

// try runs the whole system in one process on an embedded default.
type try struct {
	output
	length time.Duration
	tasks  int
	level  string
}

func (*try) Name() string { return "try" }
func (*try) Synopsis() string {
	return "run a stand-in and three entry processes and show them at work"
}
func (*try) Usage() string { return "persimmonworks try [-for 10m] [-tasks 100]\n" }

// SetFlags implements subcommands.Command.
func (t *try) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&t.length, "for", 0, "end after this time; 0 stays up until a signal")
	f.IntVar(&t.tasks, "tasks", 100, "tasks of the batch")
	f.StringVar(&t.level, "log", "error", "level of the log")
}

// entrySettings returns the embedded default settings of one entry process.
func entrySettings(name, dataCentre, platformAddress string) (*settings.Settings, error) {
	text := fmt.Sprintf(`[process]
name = %s
data-centre = %s
caller-address = 127.0.0.1:7080
relay-address = 127.0.0.1:7180
[platform]
address = %s
[keys]
authority = none
certificate = none
private-key = none
`, name, dataCentre, platformAddress)
	s, err := settings.Parse("embedded default", []byte(text))
	if err != nil {
		return nil, err
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.Process.CallerAddress, s.Process.RelayAddress = free, free
	return s, nil
}

// Execute implements subcommands.Command.
func (t *try) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if t.length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.length)
		defer cancel()
	}
	if err := t.run(ctx); err != nil {
		return t.fail(err)
	}
	return subcommands.ExitSuccess
}

func (t *try) run(ctx context.Context) error {
	stand := &standin.Platform{
		Listen: "127.0.0.1:0", HostLag: 500 * time.Millisecond, UsageLag: time.Second,
		Layout: standin.Layout{
			DataCentres: 3, Racks: 1, Workers: 4, Runners: 4, Service: "jobs", Slots: 8,
			Capacity: resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10},
		},
	}
	// The stand-in outlives the entry processes, which end their sessions.
	outer, stopStand := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStand()
	var standGroup errgroup.Group
	standGroup.Go(func() error { return stand.Run(outer) })
	select {
	case <-stand.Ready():
	case <-ctx.Done():
		return nil
	}
	sample := newSample()
	publisher := chain.Publisher{Table: &provider.Client{Address: stand.Address()}}
	if _, err := publisher.Publish(ctx, 0, sample.configuration, "try", "embedded default"); err != nil {
		return err
	}
	processes, err := t.processes(stand.Address())
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range processes {
		group.Go(func() error { return p.Run(ctx) })
	}
	group.Go(func() error { return t.show(ctx, sample, stand, processes) })
	err = group.Wait()
	stopStand()
	return errorOr(err, standGroup.Wait())
}

func errorOr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (t *try) processes(platformAddress string) ([]*entry.Process, error) {
	names := []string{"e1", "e2", "e3"}
	bed, err := keys.NewTestCA(names, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	var all []*entry.Process
	for i, name := range names {
		s, err := entrySettings(name, fmt.Sprintf("dc%d", i+1), platformAddress)
		if err != nil {
			return nil, err
		}
		client := &provider.Client{Address: platformAddress, Name: name}
		p := &entry.Process{
			Settings: s, Keys: bed.Store(name), Table: client, Objects: client.Objects(), Hosts: client,
			Log: &event.Log{Writer: t.err, Console: true, Process: name, Level: event.LevelByName(t.level)},
		}
		if err := p.Prepare(); err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// show sends requests and a batch, and prints what became of them.
func (t *try) show(ctx context.Context, sample *sample, stand *standin.Platform, processes []*entry.Process) error {
	for _, p := range processes {
		if err := waitReady(ctx, "http://"+p.CallerAddress()); err != nil {
			return nil // ended before it was ready
		}
	}
	for i, p := range processes {
		fmt.Fprintf(t.out, "entry process e%d of dc%d: http://%s\n", i+1, i+1, p.CallerAddress())
	}
	fmt.Fprintf(t.out, "platform stand-in: %s\n", stand.Address())
	sample.print(&t.output)
	c := client{address: "http://" + processes[0].CallerAddress(), token: sample.tokens[0].Reveal(), timeout: 30 * time.Second}
	fmt.Fprintln(t.out, "\nthree requests:")
	for i, p := range processes {
		if err := t.request(ctx, "http://"+p.CallerAddress(), c.token, sample.service, i); err != nil {
			return err
		}
	}
	if err := t.batch(ctx, &c); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nstays up; try `persimmonworks status -address %s -token %s`\n", c.address, c.token)
	<-ctx.Done()
	return nil
}

func waitReady(ctx context.Context, address string) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/readyz", nil)
		if err != nil {
			return err
		}
		answer, err := http.DefaultClient.Do(r)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// The first shards are taken in the first seconds.
const (
	startTries = 100
	startPause = 100 * time.Millisecond
)

func (t *try) request(ctx context.Context, address, token, service string, n int) error {
	for i := 0; ; i++ {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/services/"+service+"/match", bytes.NewReader([]byte(fmt.Sprintf("pattern %d", n))))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("Persimmon-Work-Ms", "20")
		begin := time.Now()
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil {
			return err
		}
		if answer.StatusCode == http.StatusOK {
			fmt.Fprintf(t.out, "  %q answered by runner %s in %v\n", body, answer.Header.Get(gateway.HeaderRunner), time.Since(begin).Round(time.Millisecond))
			return nil
		}
		if i == startTries {
			return fmt.Errorf("request %d: status %d: %s", n, answer.StatusCode, body)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(startPause):
		}
	}
}

// submit submits a job, again while it is refused as not run: requests are
// answered as soon as any data centre has a runner, which can be before the
// job's own data centre has taken its job shards.
func (t *try) submit(ctx context.Context, c *client, body []byte, a *gateway.JobResponse) error {
	for i := 0; ; i++ {
		err := c.do(ctx, http.MethodPost, "/v1/jobs", body, a)
		if err == nil || i == startTries || !strings.HasPrefix(err.Error(), gateway.OutcomeNotRun) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(startPause):
		}
	}
}

func (t *try) batch(ctx context.Context, c *client) error {
	spec := job.Spec{
		Name: "renderings", Organisation: "workshop", Class: class.Batch, Kind: "rendering", IdempotencyKey: "try-1",
		Demand: resource.Vector{MilliCPU: 2 * resource.MilliPerCore, MemoryMB: 1024}, EstimateMS: 200,
	}
	for i := range t.tasks {
		spec.Tasks = append(spec.Tasks, job.TaskSpec{Work: json.RawMessage(fmt.Sprintf(`{"run-ms":200,"output":"mould %d"}`, i))})
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	begin := time.Now()
	var a gateway.JobResponse
	if err := t.submit(ctx, c, body, &a); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nbatch of %d tasks accepted as %s in %v\n", t.tasks, a.Job, time.Since(begin).Round(time.Millisecond))
	s := status{output: t.output, client: *c, wait: true}
	view, err := s.follow(ctx, a.Job)
	if err != nil {
		return err
	}
	var tasks []dispatch.TaskView
	if err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/jobs/%s/tasks?limit=1000", a.Job), nil, &tasks); err != nil {
		return err
	}
	ran := map[string]int{}
	var used time.Duration
	for _, x := range tasks {
		ran[x.Worker]++
		used += time.Duration(x.RanMS) * time.Millisecond
	}
	fmt.Fprintf(t.out, "done after %v: %v; tasks per worker: %v\n", time.Since(begin).Round(time.Millisecond), view.States, ran)
	fmt.Fprintf(t.out, "organisation workshop used %v of worker time\n", used.Round(time.Millisecond))
	return nil
}
