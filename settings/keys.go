package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Key describes one key of the settings file.
type Key struct {
	Section     string
	Name        string
	Default     string // value if the file omits the key; unused if Required
	Required    bool
	Allowed     string // allowed values, for documentation and findings
	Description string
	parse       valueParser
}

const (
	maxDuration   = 24 * time.Hour
	minDuration   = time.Millisecond
	maxNameLength = 64 // bytes of a process or data centre name

	allowedName     = "1 to 64 of a-z, 0-9 and -, starting with a letter"
	allowedAddress  = "IP:port with a port above 0"
	allowedDuration = "1ms to 24h, such as 500ms or 2s"
	allowedFile     = "path of a file"
)

// keys lists every supported key, in the order of docs/SETTINGS.md.
var keys = []Key{
	{"process", "name", "", true, allowedName, "Name of this process, unique among the entry processes.", name(func(s *Settings) *string { return &s.Process.Name })},
	{"process", "data-centre", "", true, allowedName, "Data centre of this process; it owns shards of no other.", name(func(s *Settings) *string { return &s.Process.DataCentre })},
	{"process", "caller-address", "", true, allowedAddress, "TCP address for callers and operators.", address(func(s *Settings) *netip.AddrPort { return &s.Process.CallerAddress })},
	{"process", "relay-address", "", true, allowedAddress, "UDP address for the inner protocol (QUIC).", address(func(s *Settings) *netip.AddrPort { return &s.Process.RelayAddress })},
	{"platform", "address", "", true, "http or https URL with an IP number", "Base URL of the platform's table, objects and host list.", baseURL(func(s *Settings) *string { return &s.Platform.Address })},
	{"platform", "timeout", "2s", false, allowedDuration, "Time after which a call counts as one whose answer was lost.", duration(func(s *Settings) *time.Duration { return &s.Platform.Timeout })},
	{"peers", "seeds", "", false, "comma separated IP:port", "Relay addresses to ask for configuration and membership while the platform is away.", addresses(func(s *Settings) *[]netip.AddrPort { return &s.Peers.Seeds })},
	{"keys", "authority", "", true, allowedFile, "PEM certificates that sign the processes' certificates.", anyText(func(s *Settings) *string { return &s.Keys.Authority })},
	{"keys", "certificate", "", true, allowedFile, "PEM certificate of this process.", anyText(func(s *Settings) *string { return &s.Keys.Certificate })},
	{"keys", "private-key", "", true, allowedFile, "PEM private key of this process.", anyText(func(s *Settings) *string { return &s.Keys.PrivateKey })},
	{"keys", "tokens", "", false, allowedFile, "File with the hashes of callers' and operators' tokens; empty if the configuration chain names all of them.", anyText(func(s *Settings) *string { return &s.Keys.Tokens })},
	{"keys", "reload-every", "10s", false, allowedDuration, "How often the files are read again.", duration(func(s *Settings) *time.Duration { return &s.Keys.ReloadEvery })},
	{"session", "renew-every", "2s", false, allowedDuration, "Time between renewals of the session row.", duration(func(s *Settings) *time.Duration { return &s.Session.RenewEvery })},
	{"session", "ttl", "8s", false, allowedDuration, "Life of a session after the send of its last renewal.", duration(func(s *Settings) *time.Duration { return &s.Session.TTL })},
	{"session", "margin", "1s", false, allowedDuration, "A process stops acting this long before its session ends, and waits this much longer before it expires another's.", duration(func(s *Settings) *time.Duration { return &s.Session.Margin })},
	{"worker", "lease", "10s", false, allowedDuration, "Lease of attempts at a worker from each sync.", duration(func(s *Settings) *time.Duration { return &s.Worker.Lease })},
	{"worker", "sync-every", "1s", false, allowedDuration, "Time between syncs of a quiet worker.", duration(func(s *Settings) *time.Duration { return &s.Worker.SyncEvery })},
	{"limits", "max-body-bytes", "8388608", false, "1024 to 1073741824", "Largest body of a request or answer.", integer(func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }, 1<<10, 1<<30)},
	{"limits", "max-header-bytes", "65536", false, "1024 to 1048576", "Largest header of a request.", integer(func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }, 1<<10, 1<<20)},
	{"limits", "max-connections", "8192", false, "16 to 1000000", "Most open connections of callers, at most three quarters of the descriptors that the operating system allows; idle and stalled ones give way.", integer(func(s *Settings) *int { return &s.Limits.MaxConnections }, 16, 1_000_000)},
	{"limits", "max-held-bytes", "536870912", false, "1048576 to 68719476736", "Bytes of all requests that are arriving, at least those of two of max-body-bytes; stalled ones give way.", integer(func(s *Settings) *int64 { return &s.Limits.MaxHeldBytes }, 1<<20, 1<<36)},
	{"limits", "memory-mb", "0", false, "0 to 4194304", "Memory in MB that this process may use, 0 for that of the host. Callers' connections take at most a quarter of it, their requests that are arriving a sixteenth or two of max-body-bytes.", integer(func(s *Settings) *int64 { return &s.Limits.MemoryMB }, 0, 1<<22)},
	{"limits", "max-tasks", "5000", false, "1 to 100000", "Most tasks of one job.", integer(func(s *Settings) *int { return &s.Limits.MaxTasks }, 1, 100_000)},
	{"limits", "max-name-length", "64", false, "8 to 256", "Most bytes in a name that a caller gives.", integer(func(s *Settings) *int { return &s.Limits.MaxNameLength }, 8, 256)},
	{"limits", "max-queue", "20000", false, "1 to 1000000", "Most requests and tasks waiting in this process.", integer(func(s *Settings) *int { return &s.Limits.MaxQueue }, 1, 1_000_000)},
	{"limits", "job-shards", "8", false, "1 to 1024", "Job shards of the data centre; the same in all its processes.", integer(func(s *Settings) *int { return &s.Limits.JobShards }, 1, 1024)},
	{"log", "level", "info", false, "debug, info, warn or error", "Least severe level that is written.", oneOf(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error")},
	{"log", "format", "json", false, "json or console", "Form of the log.", oneOf(func(s *Settings) *string { return &s.Log.Format }, "json", "console")},
}

// minRenewals is the number of renewals that must fit into a session's TTL, so
// that the session survives two consecutive lost renewals. Leases of attempts
// use the same number of syncs.
const minRenewals = 3

// constraint is a condition on several keys. A violation is reported at key.
type constraint struct {
	section, key string
	holds        func(*Settings) bool
	problem      func(*Settings) string
	allowed      string
}

var constraints = []constraint{
	{
		"session", "ttl",
		func(s *Settings) bool { return s.Session.RenewEvery*minRenewals <= s.Session.TTL },
		func(s *Settings) string {
			return fmt.Sprintf("%v is less than 3 renewal intervals of %v", s.Session.TTL, s.Session.RenewEvery)
		},
		"at least 3 times renew-every",
	},
	{
		"session", "margin",
		func(s *Settings) bool { return s.Session.Margin < s.Session.TTL },
		func(s *Settings) string {
			return fmt.Sprintf("%v is not less than the ttl of %v", s.Session.Margin, s.Session.TTL)
		},
		"less than ttl",
	},
	{
		"session", "renew-every",
		func(s *Settings) bool { return s.Session.RenewEvery+s.Session.Margin < s.Session.TTL },
		func(s *Settings) string {
			return fmt.Sprintf("%v plus the margin of %v is not less than the ttl of %v", s.Session.RenewEvery, s.Session.Margin, s.Session.TTL)
		},
		"less than ttl without margin",
	},
	{
		"worker", "lease",
		func(s *Settings) bool { return s.Worker.Lease > s.Worker.SyncEvery*minRenewals },
		func(s *Settings) string {
			return fmt.Sprintf("%v is not more than 3 sync intervals of %v", s.Worker.Lease, s.Worker.SyncEvery)
		},
		"more than 3 times sync-every",
	},
	{
		"process", "relay-address",
		func(s *Settings) bool { return s.Process.RelayAddress != s.Process.CallerAddress },
		func(s *Settings) string { return fmt.Sprintf("%v is also the caller-address", s.Process.RelayAddress) },
		"another port than caller-address",
	},
}

// Table returns a copy of the list of keys, in the order of docs/SETTINGS.md.
func Table() []Key { return append([]Key(nil), keys...) }

func lookup(section, key string) *Key {
	for i := range keys {
		if keys[i].Section == section && keys[i].Name == key {
			return &keys[i]
		}
	}
	return nil
}

func sectionNames() []string {
	var names []string
	for i := range keys {
		if len(names) == 0 || names[len(names)-1] != keys[i].Section {
			names = append(names, keys[i].Section)
		}
	}
	return names
}

func keyNames(section string) []string {
	var names []string
	for i := range keys {
		if keys[i].Section == section {
			names = append(names, keys[i].Name)
		}
	}
	return names
}

func isKnownSection(name string) bool { return keyNames(name) != nil }
