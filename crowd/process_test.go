package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/platform/counterpart"
	"persimmonworks.example/persimmonworks/wire"
)

const settingsText = `[process]
name = e0
data-centre = a
ip = %s
memory-mb = %d
descriptors = %d
[listen]
front = %s
ready = %s
ports = %s,%s
[platform]
store = %s
advisor = %s
[bounds]
grace-s = 5
lease-most-ms = 10000
gang-wait-ms = 3000
stop-ms = 400
restore-ms = 600
status-s = 120
`

const (
	workers        = 4
	bodyBytes      = 256 << 10             // largest body of a caller, as the operator configures it
	messageBytes   = 1 << 20               // largest message between processes
	answerBound    = 60 * time.Second      // so that a process that hangs ends the test
	sampleInterval = 20 * time.Millisecond // between two looks at the descriptors
)

var program string // path of the built program

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "persimmonworks")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/persimmonworks").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// limits are the settings that a test lowers. They are also its bounds.
type limits struct {
	memoryMB    int
	descriptors int
}

// target is a process under a crowd.
type target struct {
	*testing.T
	limits
	front, ready, exchange string     // ip:port
	ordinary               func() int // sends an ordinary job and returns the status, 0 if there was no answer
	log                    *os.File
	command                *exec.Cmd
	exited                 chan struct{}
	descriptorsPeak        atomic.Int64
}

// start starts the platform's stand-ins and one process, and waits until it serves.
func start(t *testing.T, l limits) *target {
	t.Helper()
	records := fleettest.NewStore()
	p := &counterpart.Platform{
		Records: records, Store: records.Path(), Fleet: fleettest.New(workers, 16000, 32768), BodyBytes: bodyBytes,
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // all end by the cancel
	})
	group.Go(func() error { return p.Run(ctx) })
	addresses := freeAddresses(t, 3)
	g := &target{T: t, limits: l, front: addresses[0], ready: addresses[1], exchange: addresses[2], exited: make(chan struct{})}
	ip, port, err := net.SplitHostPort(g.exchange)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	text := fmt.Sprintf(settingsText, ip, l.memoryMB, l.descriptors, g.front, g.ready, port, port, p.StoreAddress(), p.AdvisorAddress())
	settings := filepath.Join(folder, "e0.ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.launch("schedule", settings, filepath.Join(folder, "e0.log"))
	group.Go(func() error {
		g.sample(ctx)
		return nil
	})
	g.ordinary = g.submit
	g.ask()
	return g
}

// launch starts the process; it is ended by its id when the test ends.
func (g *target) launch(role, settings, log string) {
	g.Helper()
	file, err := os.Create(log)
	if err != nil {
		g.Fatal(err)
	}
	g.log = file
	g.command = exec.Command(program, role, "-settings", settings)
	g.command.Stdout, g.command.Stderr = file, file
	if err := g.command.Start(); err != nil {
		g.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		defer close(g.exited)
		return g.command.Wait()
	})
	g.Cleanup(func() {
		_ = g.command.Process.Signal(syscall.SIGKILL) // it may have ended
		<-g.exited
		_ = file.Close() // nothing is written any more
	})
}

// freeAddresses returns addresses at which nothing listens, of an IP number of this test
// program's own.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	const numbers = 250
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.2:0", 1+pid/numbers%numbers, 1+pid%numbers)
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", own)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// sample keeps the most descriptors that the process was seen with.
func (g *target) sample(ctx context.Context) {
	path := fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid)
	for ctx.Err() == nil {
		entries, err := os.ReadDir(path)
		if err != nil {
			return // the process has ended
		}
		if n := int64(len(entries)); n > g.descriptorsPeak.Load() {
			g.descriptorsPeak.Store(n)
		}
		pause.For(ctx, sampleInterval)
	}
}

// memoryPeak returns the peak of resident memory in MB.
func (g *target) memoryPeak() int {
	g.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		g.Fatalf("the process has ended: %v\n%s", err, g.lastLines())
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				g.Fatal(err)
			}
			return (kilobytes + 1023) / 1024
		}
	}
	g.Fatal("no peak of resident memory in /proc")
	return 0
}

func (g *target) lastLines() string {
	const last = 4 << 10
	text, err := os.ReadFile(g.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-last):])
}

// alive reports whether the process runs.
func (g *target) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// submit sends an ordinary job to a process of the scheduler, on a connection of its own.
func (g *target) submit() int {
	caller := counterpart.Caller{
		Patience: 3 * time.Second,
		Client:   http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	job := &wire.DocketAccepted{
		Job: fmt.Sprintf("%016x", time.Now().UnixNano()), Spec: "ordinary",
		Steps: []*wire.DocketStep{{Count: 1, MilliCpu: 100, MemoryMb: 10, EstimateMs: 50}},
	}
	return caller.Submit(g.Context(), g.front, job).Status
}

// ask sends one ordinary job until it is accepted.
func (g *target) ask() {
	g.Helper()
	end := time.Now().Add(answerBound)
	for {
		status := g.ordinary()
		if status == http.StatusOK {
			return
		}
		if !g.alive() {
			g.Fatalf("the process has ended:\n%s", g.lastLines())
		}
		if time.Now().After(end) {
			g.Fatalf("an ordinary call is still answered %d after %v\n%s", status, answerBound, g.lastLines())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judge checks that the process lives, answers and has stayed within its settings.
func (g *target) judge() {
	g.Helper()
	g.ask()
	memory, descriptors := g.memoryPeak(), int(g.descriptorsPeak.Load())
	g.Logf("peak of resident memory %d MB of %d, of descriptors %d of %d", memory, g.memoryMB, descriptors, g.descriptors)
	if memory > g.memoryMB {
		g.Errorf("peak of resident memory %d MB, memory-mb is %d", memory, g.memoryMB)
	}
	if descriptors > g.limits.descriptors {
		g.Errorf("%d descriptors were open, the settings allow %d", descriptors, g.limits.descriptors)
	}
	if !g.alive() {
		g.Errorf("the process has ended:\n%s", g.lastLines())
	}
}

// client is one connection of a crowd. Its errors are no fault: the process may refuse it
// or close the connection.
type client struct {
	net.Conn
	closed bool // by the process, or a write did not pass in time
}

const (
	sendBound = 20 * time.Second // for one client to send all that it sends
	holdTime  = 2 * time.Second  // for the process to take in what was sent last
)

// gather opens the connections of a crowd, lets each send, and returns when all have sent
// or were refused. The connections stay open until the test ends.
func (g *target) gather(address string, count int, send func(number int, c *client)) {
	g.Helper()
	clients := make([]*client, count)
	g.Cleanup(func() {
		for _, c := range clients {
			if c != nil {
				_ = c.Close() // the process may have closed it
			}
		}
	})
	var group errgroup.Group
	for i := range clients {
		group.Go(func() error {
			conn, err := net.DialTimeout("tcp", address, sendBound)
			if err != nil {
				return nil
			}
			clients[i] = &client{Conn: conn}
			if err := conn.SetWriteDeadline(time.Now().Add(sendBound)); err != nil {
				return nil
			}
			send(i, clients[i])
			return nil
		})
	}
	_ = group.Wait() // the functions return nil
	time.Sleep(holdTime)
	open := 0
	for _, c := range clients {
		if c != nil && !c.closed && isOpen(c) {
			open++
		}
	}
	g.Logf("%d of %d connections are open when the ordinary call is made", open, count)
}

// isOpen reports whether the process has not closed a connection. What it has answered
// stays unread.
func isOpen(c *client) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// write sends, unless an earlier write has failed.
func (c *client) write(p []byte) {
	if c.closed {
		return
	}
	if _, err := c.Write(p); err != nil {
		c.closed = true
	}
}

// writePieces sends pieces of a size with a pause after each.
func (c *client) writePieces(p []byte, size int, wait time.Duration) {
	for len(p) > 0 && !c.closed {
		n := min(size, len(p))
		c.write(p[:n])
		p = p[n:]
		time.Sleep(wait)
	}
}

// head returns the head of a call with a body of a length, or a chunked one if it is
// below 0.
func head(method, host, path string, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nRequest-Deadline: 60000\r\n", method, path, host)
	if length < 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	}
	return b.Bytes()
}

// chunked returns a body in chunks of a size, without the chunk that ends it.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n", n)
		b.Write(body[:n])
		b.WriteString("\r\n")
		body = body[n:]
	}
	return b.Bytes()
}

// answerOf reads one answer and returns its status.
func answerOf(c net.Conn) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(answerBound)); err != nil {
		return 0, err
	}
	var all []byte
	piece := make([]byte, 1024)
	for {
		n, err := c.Read(piece)
		all = append(all, piece[:n]...)
		if fields := bytes.Fields(all); len(fields) > 1 && len(all) > 12 {
			return strconv.Atoi(string(fields[1]))
		}
		if err != nil {
			return 0, fmt.Errorf("after %q: %w", all, errors.Join(err, io.ErrUnexpectedEOF))
		}
	}
}
