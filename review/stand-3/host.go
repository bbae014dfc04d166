package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	binary       = "target/persimmonworks"
	readyTimeout = 25 * time.Second
	readyLook    = 100 * time.Millisecond
	endTimeout   = 10 * time.Second
	memoryMB     = 284
)

// settingsText is the template of the deploy file with the figures of a small deployment.
const settingsText = `[process]
name = %s
data-centre = %s
ip = %s
memory-mb = %d
descriptors = 4200
core-share = 0.4
core-speed = 1
[listen]
front = %s:%d
ready = %s:%d
ports = %d,%d
[platform]
store = %s
writes-per-s = 800
advisor =
[bounds]
grace-s = 6
lease-most-ms = 10000
gang-wait-ms = 3000
stop-ms = 400
restore-ms = 600
status-s = 120
`

// host is where one process of the system runs.
type host struct {
	name     string
	front    string
	ready    string
	settings string
	log      string

	mu      sync.Mutex
	process *exec.Cmd
}

// newHost writes the settings of a process.
func newHost(number int, folder, store string) (*host, error) {
	const portsAHost = 3
	ip := addressOf(number)
	ports, err := freePorts(ip, portsAHost)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("edge-%d", number)
	zone := []string{"zone-a", "zone-b", "zone-c"}[number%3]
	h := &host{
		name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(folder, name+".ini"), log: filepath.Join(folder, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, ip, memoryMB, ip, ports[0], ip, ports[1], ports[2], ports[2], store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("host %s: %w", name, err)
	}
	return h, nil
}

// addressOf returns a loopback address of a host's own, so that nobody else takes its ports.
func addressOf(number int) string {
	const nets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid%nets, 1+pid/nets%nets, 1+number)
}

// freePorts returns ports of an address on which nobody listens.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a port: %w", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process as the deploy file does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.name, err)
	}
	defer log.Close()
	c := exec.Command(binary, "schedule")
	c.Env = append(os.Environ(), "PERSIMMONWORKS_SETTINGS="+h.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("host %s: %w", h.name, err)
	}
	h.process = c
	return nil
}

// signal sends the process a signal.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s) // it may just have ended
	}
}

// kill ends the process at once.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill() // it may just have ended
	_ = h.process.Wait()         // how it ended says nothing here
	h.process = nil
}

// isReady reports whether the process says that it is ready.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// memoryMB returns the memory of the process, 0 if it does not run.
func (h *host) memoryMB() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0]) // the kernel writes a number
			return kb / 1024
		}
	}
	return 0
}

// hosts are the processes of the system.
type hosts []*host

// startHosts starts processes and waits until all are ready.
func startHosts(ctx context.Context, count int, folder, store string) (hosts, error) {
	var all hosts
	for i := range count {
		h, err := newHost(i, folder, store)
		if err != nil {
			return all, err
		}
		if err := h.start(); err != nil {
			return all, err
		}
		all = append(all, h)
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, readyLook) {
		ready := 0
		for _, h := range all {
			if h.isReady() {
				ready++
			}
		}
		if ready == count {
			return all, nil
		}
	}
	return all, fmt.Errorf("%d processes are not ready after %v", count, readyTimeout)
}

func (hs hosts) kill() {
	for _, h := range hs {
		h.kill()
	}
}

// keepLogs copies the logs of the processes into a folder.
func (hs hosts) keepLogs(folder string) error {
	for _, h := range hs {
		text, err := os.ReadFile(h.log)
		if err != nil {
			return fmt.Errorf("log of %s: %w", h.name, err)
		}
		if err := os.WriteFile(filepath.Join(folder, h.name+".log"), text, 0o600); err != nil {
			return fmt.Errorf("log of %s: %w", h.name, err)
		}
	}
	return nil
}
