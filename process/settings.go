package process

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/finding"
)

// Settings is what a process learns from its settings file, an INI file.
type Settings struct {
	Path       string // of the file
	Name       string
	DataCentre string
	Front      string  // ip:port for callers
	Ready      string  // ip:port for the balancer's checks and for metrics
	Exchange   string  // ip:port for other processes
	Store      string  // ip:port of the platform's store
	Writes     float64 // calls a second that may change the store, 0 for no limit
	Advisor    string  // ip:port of the advisory service, empty if there is none
	MemoryMB   int64   // limit of the process
	// Descriptors is how many the process may have open, 0 for what the operating system allows.
	Descriptors int
	Cores       float64 // processor cores that the process may use
	Grace       time.Duration
	Limits      cell.Limits
}

const (
	leaseUsual = 9 * time.Second // longer than the usual cuts, so that work outlives them
	retention  = 2               // times the time for which states must be known
)

// LoadSettings reads the file and reports all faults together.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	r := reader{path: path, file: file}
	s := &Settings{
		Path: path, Name: r.text("process", "name"), DataCentre: r.text("process", "data-centre"),
		Front: r.address("listen", "front"), Ready: r.address("listen", "ready"),
		Store: r.address("platform", "store"), Advisor: r.optional("platform", "advisor"),
		MemoryMB: int64(r.number("process", "memory-mb")), Grace: r.duration("bounds", "grace-s", time.Second),
	}
	s.Descriptors = int(r.numberOr("process", "descriptors", 0))
	s.Writes = r.numberOr("platform", "writes-per-s", 0)
	s.Cores = r.numberOr("process", "core-share", 1) * r.numberOr("process", "core-speed", 1)
	ip, ports := r.text("process", "ip"), strings.Split(r.text("listen", "ports"), ",")
	s.Exchange = net.JoinHostPort(ip, strings.TrimSpace(ports[0]))
	if _, err := strconv.Atoi(strings.TrimSpace(ports[0])); err != nil {
		r.fault("listen", "ports", "want first,last")
	}
	most := r.duration("bounds", "lease-most-ms", time.Millisecond)
	s.Limits = cell.Limits{
		Lease: min(leaseUsual, most), MaxLease: most, MaxLeaseAfterCommit: most,
		GangTimeout: r.duration("bounds", "gang-wait-ms", time.Millisecond),
		StopTime:    r.duration("bounds", "stop-ms", time.Millisecond),
		RestoreTime: r.duration("bounds", "restore-ms", time.Millisecond),
		Retention:   retention * r.duration("bounds", "status-s", time.Second),
	}
	return s, r.faults.Err()
}

// reader collects the faults of a file.
type reader struct {
	path   string
	file   *ini.File
	faults finding.List
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults.Add(finding.Finding{File: r.path, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (r *reader) optional(section, key string) string {
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) text(section, key string) string {
	v := r.optional(section, key)
	if v == "" {
		r.fault(section, key, "is missing")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v := r.text(section, key)
	if _, _, err := net.SplitHostPort(v); v != "" && err != nil {
		r.fault(section, key, "%v", err)
	}
	return v
}

func (r *reader) number(section, key string) float64 {
	v, err := strconv.ParseFloat(r.text(section, key), 64)
	if err != nil || v < 0 {
		r.fault(section, key, "want a number of at least 0")
	}
	return v
}

// numberOr returns a number that may be left out.
func (r *reader) numberOr(section, key string, usual float64) float64 {
	if r.optional(section, key) == "" {
		return usual
	}
	return r.number(section, key)
}

func (r *reader) duration(section, key string, unit time.Duration) time.Duration {
	return time.Duration(r.number(section, key) * float64(unit))
}
