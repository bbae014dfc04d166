package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

const (
	loopback    = "127.0.0.1"
	program     = "target/persimmonworks" // with "schedule", as the deploy file runs it
	template    = "deploy/persimmonworks.ini"
	settingsEnv = "PERSIMMONWORKS_SETTINGS"
	graceTime   = 6 * time.Second
)

var (
	zones       = []string{"zone-a", "zone-b", "zone-c"}
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.-]+)\}\}`)
)

// host is one process of the scheduler.
type host struct {
	name, zone, front, ready, exchange string
	command                            *exec.Cmd
	log                                *os.File
}

// freeAddress returns an address on loopback at which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newHost draws the addresses of a process.
func newHost(i int) (*host, error) {
	h := &host{name: fmt.Sprintf("edge-%d", i), zone: zones[i%len(zones)]}
	for _, into := range []*string{&h.front, &h.ready, &h.exchange} {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*into = a
	}
	return h, nil
}

// settings fills the template of the deploy file, with bounds of a small deployment.
func (h *host) settings(root, store, advisor string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, template))
	if err != nil {
		return "", fmt.Errorf("template of the settings: %w", err)
	}
	_, port, err := net.SplitHostPort(h.exchange)
	if err != nil {
		return "", fmt.Errorf("address %s: %w", h.exchange, err)
	}
	values := map[string]string{
		"node-name": h.name, "zone": h.zone, "ip": loopback,
		"limits.memory-mb": "284", "limits.cpu-share": "0.4", "limits.cpu-cores": "1",
		"listen-addrs.front": h.front, "listen-addrs.ready": h.ready, "port-range": port + "," + port,
		"platform.address": store, "platform.writes-per-s": "800", "advisor": advisor,
		"bounds.grace-s": strconv.Itoa(int(graceTime.Seconds())), "bounds.hold-max-ms": strconv.FormatInt(longestLease.Milliseconds(), 10),
		"bounds.gang-timeout-ms": strconv.FormatInt(gangTimeout.Milliseconds(), 10),
		"bounds.stop-ms":         strconv.FormatInt(stopTime.Milliseconds(), 10), "bounds.restore-ms": "600", "bounds.status_s": "120",
	}
	missing := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		v, ok := values[p[2:len(p)-2]]
		if !ok {
			missing = p
		}
		return v
	})
	if missing != "" {
		return "", fmt.Errorf("template of the settings: no value for %s", missing)
	}
	return filled, nil
}

// start starts the process; what it logs goes into the directory.
func (h *host) start(root, directory, store, advisor string) error {
	text, err := h.settings(root, store, advisor)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", h.name, err)
	}
	h.log, err = os.OpenFile(filepath.Join(directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", h.name, err)
	}
	h.command = exec.Command(filepath.Join(root, program), "schedule")
	h.command.Dir = root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsEnv + "=" + path}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	return nil
}

// end sends a signal and waits for the end of the process.
func (h *host) end(s syscall.Signal) error {
	if h.command == nil {
		return nil
	}
	if err := h.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal to %s: %w", h.name, err)
	}
	timer := time.AfterFunc(graceTime, func() { _ = h.command.Process.Kill() })
	defer timer.Stop()
	_ = h.command.Wait() // how it ends tells nothing here
	h.command = nil
	return h.log.Close()
}
