// Package settings reads the INI settings of an entry process.
//
// All faults of a file are reported together as a finding.List, each with its
// line: unknown sections and keys (with the nearest known name), values out
// of range, and relations between keys that would break a promise, such as a
// session TTL that leaves no room for a late renewal. Settings are either
// whole or refused.
//
// The table in keys.go is the only place that knows a key; docs/SETTINGS.md
// is made from it by Page.
//
// Usage:
//
//	s, err := settings.Load("entry-1.ini")
//	if err != nil {
//		return err // one finding a line
//	}
//	listen(s.Process.CallerAddress)
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Settings is everything that an entry process learns at its start.
type Settings struct {
	Process  Process
	Platform Platform
	Peers    Peers
	Keys     Keys
	Session  Session
	Worker   Worker
	Limits   Limits
	Log      Log
}

// Process says who and where the process is.
type Process struct {
	Name          string
	DataCentre    string
	CallerAddress netip.AddrPort // TCP, for callers and operators
	RelayAddress  netip.AddrPort // UDP, for the inner protocol
}

// Platform says where the platform's service answers.
type Platform struct {
	Address string // base URL with an IP number
	Timeout time.Duration
}

// Peers names processes to ask while the platform is away.
type Peers struct {
	Seeds []netip.AddrPort // relay addresses
}

// Keys names the files of the inner protocol's mutual TLS and of the tokens.
type Keys struct {
	Authority   string
	Certificate string
	PrivateKey  string
	Tokens      string // empty if tokens come from the configuration chain only
	ReloadEvery time.Duration
}

// Session sets the pace of the session row.
type Session struct {
	RenewEvery time.Duration
	TTL        time.Duration
	Margin     time.Duration
}

// Worker sets the pace of the lease of attempts at workers.
type Worker struct {
	Lease     time.Duration
	SyncEvery time.Duration
}

// Limits bounds what callers may ask for.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxTasks       int // of one job
	MaxNameLength  int // bytes
	MaxQueue       int // requests and tasks waiting in one process
	JobShards      int // of the data centre; the same in all its processes
}

// Log sets what is written.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // json or console
}

// Load reads the file. The error is a finding.List unless the file cannot be
// read at all.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings %q: %w; pass the path of a readable INI file", path, err)
	}
	return Parse(path, data)
}

// Parse reads data; name stands for the file in findings. The error is a
// finding.List.
func Parse(name string, data []byte) (*Settings, error) {
	p := parser{name: name}
	p.scan(data)
	p.read()
	if len(p.findings) > 0 {
		return nil, p.findings.Err()
	}
	return &p.settings, nil
}
