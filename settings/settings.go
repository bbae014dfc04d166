// Package settings reads the INI settings of an entry process.
//
// All errors in a file are reported together as a finding.List, each with its
// line: unknown sections and keys (with the nearest known name), values out
// of range, and combinations of values that would break a guarantee, such as a
// session TTL that leaves no time for a late renewal. A file with any finding is
// rejected as a whole.
//
// Every key is defined in the list in keys.go and nowhere else; Page generates
// docs/SETTINGS.md from it.
//
// Usage:
//
//	s, err := settings.Load("entry-1.ini")
//	if err != nil {
//		return err // one finding per line
//	}
//	listen(s.Process.CallerAddress)
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Settings holds the startup configuration of an entry process.
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

// Process identifies the process and its listen addresses.
type Process struct {
	Name          string
	DataCentre    string
	CallerAddress netip.AddrPort // TCP, for callers and operators
	RelayAddress  netip.AddrPort // UDP, for the protocol between processes
}

// Platform locates the platform's service.
type Platform struct {
	Address string // base URL whose host is an IP address
	Timeout time.Duration
}

// Peers lists processes that provide configuration and membership while the
// platform is unavailable.
type Peers struct {
	Seeds []netip.AddrPort // relay addresses
}

// Keys names the files for mutual TLS between processes and for tokens.
type Keys struct {
	Authority   string
	Certificate string
	PrivateKey  string
	Tokens      string // empty if the configuration chain holds all tokens
	ReloadEvery time.Duration
}

// Session sets the timing of the process's session, a row in the platform's table.
// The process stops acting Margin before its own session ends, and waits Margin
// longer before it expires that of another process.
type Session struct {
	RenewEvery time.Duration
	TTL        time.Duration
	Margin     time.Duration
}

// Worker sets the timing of workers' syncs and of the leases of attempts that
// each sync renews.
type Worker struct {
	Lease     time.Duration
	SyncEvery time.Duration
}

// Limits bounds callers' requests and the process's queue.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxConnections int
	MaxHeldBytes   int64
	MemoryMB       int64 // 0 for the memory of the host
	MaxTasks       int   // of one job
	MaxNameLength  int   // bytes
	MaxQueue       int   // requests and tasks waiting in one process
	JobShards      int   // per data centre; the same in all its processes
}

// Log sets the minimum level and the format of the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // json or console
}

// Load reads and parses the file. The error is a finding.List unless reading the
// file fails.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file %q: %w; pass the path of a readable INI file", path, err)
	}
	return Parse(path, data)
}

// Parse parses data. Findings give name as the file. The error is a finding.List.
func Parse(name string, data []byte) (*Settings, error) {
	p := parser{name: name}
	p.scan(data)
	p.readValues()
	if len(p.findings) > 0 {
		return nil, p.findings.Err()
	}
	return &p.settings, nil
}
