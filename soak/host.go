package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"persimmonworks.example/persimmonworks/platform/counterpart"
)

const settingsText = `[process]
name = %s
data-centre = dc-%d
ip = 127.0.0.1
memory-mb = 256
[listen]
front = %s
ready = %s
ports = %d,%d
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

// host is where one process runs.
type host struct {
	name     string
	front    string // ip:port for callers
	settings string // file
	binary   string
	log      string             // file
	proxy    *counterpart.Proxy // its way to the store

	mu          sync.Mutex
	process     *exec.Cmd // nil while none runs
	life        int       // how many processes were started
	disturbed   int       // faults that last
	disturbedAt time.Time // end of the newest fault
}

// disturb notes the begin of a fault that touches the host, or its end.
func (h *host) disturb(begins bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if begins {
		h.disturbed++
		return
	}
	h.disturbed--
	h.disturbedAt = time.Now()
}

// state returns which life of the process this is, and whether the host is in touch.
func (h *host) state() (life int, calm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life, h.disturbed == 0 && time.Since(h.disturbedAt) > touchTime
}

// newHost writes the settings of a process that listens on the given ports.
func newHost(r *run, number int, ports []int) (*host, error) {
	p, err := counterpart.NewProxy(r.platform.StoreAddress())
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("e%d", number)
	h := &host{
		name: name, binary: r.Binary, front: fmt.Sprintf("127.0.0.1:%d", ports[0]), proxy: p,
		settings: filepath.Join(r.Directory, name+".ini"), log: filepath.Join(r.Directory, name+".log"),
	}
	const centres = 3
	text := fmt.Sprintf(settingsText, name, number%centres, h.front, fmt.Sprintf("127.0.0.1:%d", ports[1]),
		ports[2], ports[2], p.Address(), r.platform.AdvisorAddress())
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("host %s: %w", name, err)
	}
	return h, nil
}

// freePorts returns ports of loopback that nobody listens on.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a port: %w", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process unless it runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.name, err)
	}
	defer log.Close()
	c := exec.Command(h.binary, "schedule", "-settings", h.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("host %s: %w", h.name, err)
	}
	h.process = c
	h.life++
	return nil
}

// signal sends the process signals, if one runs.
func (h *host) signal(signals ...os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.send(signals...)
}

// send needs the lock.
func (h *host) send(signals ...os.Signal) {
	if h.process == nil {
		return
	}
	for _, s := range signals {
		_ = h.process.Process.Signal(s) // it may just have ended
	}
}

// end sends signals and waits until the process has ended; one that is paused goes
// on first, or it would never end.
func (h *host) end(signals ...os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.send(signals...)
	if h.process != nil {
		_ = h.process.Wait() // how it ended is in its log
		h.process = nil
	}
}

// kill ends the process at once.
func (h *host) kill() { h.end(syscall.SIGKILL) }

// dump ends the process with its stacks in the log.
func (h *host) dump() { h.end(syscall.SIGCONT, syscall.SIGQUIT) }

// stop ends the process gracefully.
func (h *host) stop() { h.end(syscall.SIGCONT, syscall.SIGTERM) }
