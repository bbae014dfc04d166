// Package testbed holds process tests: real entry processes and a stand-in of
// the platform on loopback, killed, paused and cut off under load.
//
// TestMain builds the two programs once. A bed is one stand-in and eight entry
// processes of three data centres on ports of their own. Tests run in parallel
// on at most maxBeds beds and end only the processes that they started.
//
// Verdicts come from the stand-in's ledger, which records what truly ran, and
// from the callers' own records. Times are printed, not judged, except by
// -promise-bounds, which is for a machine that runs nothing else.
//
// Usage:
//
//	go test ./testbed
//	go test ./testbed -run TestKill -count=1 -v -promise-bounds
//	go test ./testbed -run TestPlatformAway -count=1 -v -outage 60s
package testbed

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

var (
	promiseBounds = flag.Bool("promise-bounds", false, "assert the times that are promised, on an otherwise idle machine")
	outage        = flag.Duration("outage", 12*time.Second, "how long the platform is away")
	rounds        = flag.Int("rounds", 1, "times that each kill or pause is repeated in one test")
	seed          = flag.Uint64("bed-seed", 20261204, "seed of the load and of the choice of victims")
	keepLogs      = flag.String("keep-logs", "", "folder to which the processes' logs are copied")
	dumpStuck     = flag.Bool("dump-stuck", false, "end a process that does not answer with a dump of its stacks in its log")
	raceBuild     = flag.Bool("race-programs", false, "build the programs with the race detector")
)

const (
	maxBeds      = 3
	entries      = 8
	dataCentres  = 3
	readyBound   = 60 * time.Second
	settleBound  = 60 * time.Second // for whatever must happen in the end
	bedLife      = 8 * time.Minute  // the stand-in ends by itself after this
	organisation = "workshop"
	service      = "jobs"
)

var (
	programs string // folder of the two built programs
	beds     = make(chan struct{}, maxBeds)
	nextPort atomic.Uint32
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	arguments := []string{"build", "-o", folder + "/"}
	if *raceBuild {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "./cmd/...")...)
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	// Below the ports that the system gives to outgoing connections.
	nextPort.Store(20000 + uint32(os.Getpid()*64%10000))
	return m.Run()
}

// freePort returns a port of 127.0.0.1 that is free for TCP and UDP. No other
// bed of this run gets it.
func freePort(t *testing.T) int {
	for range 1000 {
		port := int(nextPort.Add(1))
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		return port
	}
	t.Fatal("no free port")
	return 0
}

// process is one program that a test has started.
type process struct {
	name, dataCentre string
	caller, relay    string // addresses
	settings, log    string // files
	command          *exec.Cmd
	exited           chan struct{}
	status           error // of the exit; read after exited is closed
}

// bed is a stand-in with entry processes.
type bed struct {
	t        *testing.T
	folder   string
	control  standin.Control
	table    *provider.Client
	stand    *process
	entries  []*process
	token    string
	waits    errgroup.Group
	rng      *rand.Rand
	platform string
}

// newBed starts a bed and waits until every entry process is ready and every
// shard is owned. It ends with the test.
func newBed(t *testing.T) *bed {
	t.Helper()
	t.Parallel()
	beds <- struct{}{}
	b := &bed{t: t, folder: t.TempDir(), rng: rand.New(rand.NewPCG(*seed, 1))}
	t.Cleanup(func() {
		b.close()
		<-beds
	})
	port := freePort(t)
	b.platform = fmt.Sprintf("http://127.0.0.1:%d", port)
	b.control = standin.Control{Address: b.platform}
	b.table = &provider.Client{Address: b.platform, Name: "tester"}
	b.stand = &process{name: "standin", log: filepath.Join(b.folder, "standin.log")}
	b.start(b.stand, "standin", "serve", "-listen", fmt.Sprintf("127.0.0.1:%d", port), "-data-centres", fmt.Sprint(dataCentres),
		"-racks", "2", "-workers", "4", "-runners", "4", "-host-lag", "500ms", "-for", bedLife.String())
	b.await("stand-in", func(ctx context.Context) error {
		_, err := b.control.Faults(ctx)
		return err
	})
	b.configure()
	b.prepare()
	for _, p := range b.entries {
		b.serve(p)
	}
	for _, p := range b.entries {
		b.awaitReady(p)
	}
	b.awaitOwned()
	return b
}

func (b *bed) configure() {
	token, other := keys.NewToken(), keys.NewToken()
	b.token = token.Reveal()
	publisher := chain.Publisher{Table: b.table}
	_, err := publisher.Publish(context.Background(), 0, pool.Configuration{
		Organisations: []pool.Organisation{
			{Name: organisation, Weight: 1, TokenHashes: []string{token.Digest().String()}},
			{Name: "returns-office", Weight: 2, TokenHashes: []string{other.Digest().String()}},
		},
		Services: []pool.Service{{Name: service, RetryPercent: 10}},
	}, "tester", "process tests")
	if err != nil {
		b.t.Fatal(err)
	}
}

// prepare writes the keys and the settings of the entry processes.
func (b *bed) prepare() {
	var names, seeds []string
	for i := range entries {
		p := &process{
			name: fmt.Sprintf("e%d", i+1), dataCentre: fmt.Sprintf("dc%d", i%dataCentres+1),
			caller: fmt.Sprintf("127.0.0.1:%d", freePort(b.t)), relay: fmt.Sprintf("127.0.0.1:%d", freePort(b.t)),
		}
		p.settings, p.log = filepath.Join(b.folder, p.name+".ini"), filepath.Join(b.folder, p.name+".log")
		b.entries = append(b.entries, p)
		names, seeds = append(names, p.name), append(seeds, p.relay)
	}
	made, err := keys.NewTestCA(names, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err == nil {
		err = made.Write(b.folder)
	}
	if err != nil {
		b.t.Fatal(err)
	}
	for _, p := range b.entries {
		text := fmt.Sprintf(`[process]
name = %[1]s
data-centre = %[2]s
caller-address = %[3]s
relay-address = %[4]s
[platform]
address = %[5]s
[peers]
seeds = %[6]s
[keys]
authority = %[7]s/ca.pem
certificate = %[7]s/%[1]s.pem
private-key = %[7]s/%[1]s.key
[session]
renew-every = 1s
ttl = 3s
margin = 500ms
[worker]
lease = 4s
sync-every = 500ms
[limits]
job-shards = 3
`, p.name, p.dataCentre, p.caller, p.relay, b.platform, strings.Join(seeds, ","), b.folder)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			b.t.Fatal(err)
		}
	}
}

// start starts a program whose death follows that of the test.
func (b *bed) start(p *process, program string, arguments ...string) {
	b.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		b.t.Fatal(err)
	}
	c := exec.Command(filepath.Join(programs, program), arguments...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = c.Start()
	out.Close() // the child has its own
	if err != nil {
		b.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.command, p.exited = c, exited
	b.waits.Go(func() error {
		p.status = c.Wait()
		close(exited)
		return nil
	})
}

func (b *bed) serve(p *process) { b.start(p, "persimmonworks", "serve", "-settings", p.settings) }

// signal sends a signal to a process that the test has started and not yet
// seen exit.
func (b *bed) signal(s syscall.Signal, ps ...*process) {
	for _, p := range ps {
		select {
		case <-p.exited:
			b.t.Errorf("process %s had exited before %v: %v", p.name, s, p.status)
		default:
			if err := p.command.Process.Signal(s); err != nil {
				b.t.Errorf("%v to %s: %v", s, p.name, err)
			}
		}
	}
}

// kill ends processes without notice and waits for their end.
func (b *bed) kill(ps ...*process) {
	b.signal(syscall.SIGKILL, ps...)
	for _, p := range ps {
		<-p.exited
	}
}

// terminate shuts a process down gracefully and returns its exit status.
func (b *bed) terminate(p *process) error {
	b.signal(syscall.SIGTERM, p)
	select {
	case <-p.exited:
		return p.status
	case <-time.After(settleBound):
		return errors.New("has not exited")
	}
}

func (b *bed) close() {
	for _, p := range append(b.entries, b.stand) {
		if p.command != nil {
			_ = p.command.Process.Kill() // an error means that it has exited
		}
	}
	_ = b.waits.Wait() // the functions return nil
	for _, p := range b.entries {
		text, _ := os.ReadFile(p.log)
		if bytes.Contains(text, []byte("panic:")) || bytes.Contains(text, []byte("DATA RACE")) {
			b.t.Errorf("process %s: panic or race:\n%s", p.name, text[max(0, len(text)-8000):])
		}
		if *keepLogs != "" {
			name := strings.ReplaceAll(b.t.Name(), "/", "-") + "-" + p.name + ".log"
			_ = os.WriteFile(filepath.Join(*keepLogs, name), text, 0o600)
		}
	}
}

// await polls until try succeeds, or fails the test after the settle bound.
func (b *bed) await(what string, try func(ctx context.Context) error) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleBound)
	defer cancel()
	for {
		err := try(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			b.t.Fatalf("%s: not within %v: %v", what, settleBound, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (b *bed) awaitReady(p *process) {
	b.t.Helper()
	b.await(p.name+" ready", func(ctx context.Context) error { return ready(ctx, p) })
}

// ready asks /readyz as a balancer does.
func ready(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.caller+"/readyz", nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body) // the status says enough
		return fmt.Errorf("%s: status %d: %s", p.name, answer.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
