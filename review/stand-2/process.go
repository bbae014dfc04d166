package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/pause"
)

const (
	portsEach    = 3
	firstHost    = 10 // last number of the address of the first process
	coreShare    = 0.4
	memoryMB     = 284
	memoryLook   = 20 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

const settingsText = `[process]
name = %[1]s
data-centre = %[2]s
ip = %[10]s
memory-mb = %[9]d
core-share = %[3]g
core-speed = 1
[listen]
front = %[10]s:%[4]d
ready = %[10]s:%[5]d
ports = %[6]d,%[6]d
[platform]
store = %[7]s
writes-per-s = 1200
advisor = %[8]s
[bounds]
grace-s = 6
lease-most-ms = 10000
gang-wait-ms = 4000
stop-ms = 900
restore-ms = 600
status-s = 120
`

// process is one process of the scheduler.
type process struct {
	name, front, settings, log, binary string
	group                              *errgroup.Group

	mu      sync.Mutex
	running *os.Process
	mostMB  int // that it has held
}

// newProcess writes the settings of a process on free ports.
func newProcess(group *errgroup.Group, number int, binary, directory, store, advisor string) (*process, error) {
	ip := fmt.Sprintf("127.0.0.%d", firstHost+number) // nothing else of this program listens there
	ports, err := freePorts(ip, portsEach)
	if err != nil {
		return nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	p := &process{group: group, name: fmt.Sprintf("edge-%d", number), binary: binary, front: fmt.Sprintf("%s:%d", ip, ports[0])}
	p.settings, p.log = filepath.Join(directory, p.name+".ini"), filepath.Join(directory, p.name+".log")
	text := fmt.Sprintf(settingsText, p.name, zones[number%len(zones)], coreShare, ports[0], ports[1], ports[2], store, advisor, memoryMB, ip)
	if err := os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("process %s: %w", p.name, err)
	}
	return p, nil
}

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

// live keeps the process running until ctx ends, as the platform does: one that ends, or
// holds more memory than it may and is killed for that, is started again.
func (p *process) live(ctx context.Context, l *ledger) error {
	for ctx.Err() == nil {
		ended, err := p.start()
		if err != nil {
			return err
		}
		p.watch(ctx, l, ended)
		p.signal(syscall.SIGKILL)
		<-ended
		pause.For(ctx, restartDelay)
	}
	return nil
}

// start runs the command of the deploy file; its settings are named by the environment. The
// channel is closed when the process has ended.
func (p *process) start() (ended <-chan struct{}, err error) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", p.name, err)
	}
	defer log.Close()
	c := exec.Command(p.binary, "schedule")
	c.Env = append(os.Environ(), "PERSIMMONWORKS_SETTINGS="+p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("process %s: %w", p.name, err)
	}
	p.mu.Lock()
	p.running = c.Process
	p.mu.Unlock()
	done := make(chan struct{})
	p.group.Go(func() error {
		defer close(done)
		_ = c.Wait() // how it ended is in its log
		return nil
	})
	return done, nil
}

// watch returns when the process has ended, exceeds its memory, or ctx ends.
func (p *process) watch(ctx context.Context, l *ledger, ended <-chan struct{}) {
	look := time.NewTicker(memoryLook)
	defer look.Stop()
	for {
		select {
		case <-ended:
			l.note("a process has ended", "process", p.name)
			return
		case <-ctx.Done():
			return
		case <-look.C:
			if held := p.memoryMB(); held > memoryMB {
				l.note("a process exceeds its memory and is killed", "process", p.name, "holds-mb", held, "limit-mb", memoryMB)
				return
			}
		}
	}
}

// memoryMB returns how much memory the process holds, 0 if that cannot be read.
func (p *process) memoryMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.running.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	held := resident * os.Getpagesize() >> 20
	p.mostMB = max(p.mostMB, held)
	return held
}

// most returns the most memory that the process has held.
func (p *process) most() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mostMB
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.running.Signal(s) // it may just have ended
}
