package pool

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/finding"
)

// Limits on the contents of a configuration.
const (
	MaxWeight        = 1_000_000
	MaxNameLength    = 64 // bytes
	MaxOrganisations = 4096
	maxPriority      = 10
	tokenHashBytes   = 32 // SHA-256
	minWindow        = time.Hour
	maxWindow        = 90 * 24 * time.Hour
)

var organisationRoles = []string{"submit", "read", "cancel"}

// checker collects the findings for one configuration.
type checker struct {
	finding.List
	c      *Configuration
	tokens map[string]string // maps a token hash to the first section that has it
}

// Check validates a configuration and returns all errors, each with its section
// and key.
func Check(c *Configuration) finding.List {
	k := checker{c: c, tokens: make(map[string]string)}
	k.organisations()
	k.operators()
	k.shares()
	k.services()
	k.objectives()
	k.drains()
	k.capacity()
	k.limits()
	return k.Sorted()
}

func (k *checker) organisations() {
	if n := len(k.c.Organisations); n > MaxOrganisations {
		k.Addf("organisations", "", "%d organisations are above %d", n, MaxOrganisations)
	}
	seen := make(map[string]bool)
	for i, o := range k.c.Organisations {
		section := fmt.Sprintf("organisations %d %q", i, o.Name)
		k.name(section, "name", o.Name)
		k.unique(seen, section, "name", o.Name)
		if o.Weight < 1 || o.Weight > MaxWeight {
			k.Addf(section, "weight", "%d is not between 1 and %d", o.Weight, MaxWeight)
		}
		if o.Quota.Negative() {
			k.Addf(section, "quota", "%v is negative", o.Quota)
		}
		if o.MaxQueued < 0 {
			k.Addf(section, "max-queued", "%d is negative", o.MaxQueued)
		}
		if !slices.Contains([]CutOffPolicy{"", CutOffRefuse, CutOffRunOnce}, o.CutOff) {
			k.Addf(section, "cut-off", "%q is neither %s nor %s", o.CutOff, CutOffRefuse, CutOffRunOnce)
		}
		for _, r := range o.Roles {
			if !slices.Contains(organisationRoles, r) {
				k.Addf(section, "roles", "%q is not one of %v", r, organisationRoles)
			}
		}
		for _, h := range o.TokenHashes {
			k.token(section, "token-hashes", h)
		}
	}
}

func (k *checker) operators() {
	seen := make(map[string]bool)
	for i, o := range k.c.Operators {
		section := fmt.Sprintf("operators %d %q", i, o.Name)
		k.name(section, "name", o.Name)
		k.unique(seen, section, "name", o.Name)
		k.token(section, "token-hash", o.TokenHash)
		if !slices.Contains([]Role{RoleViewer, RolePlanner, RoleOperator}, o.Role) {
			k.Addf(section, "role", "%q is not one of viewer, planner, operator", o.Role)
		}
	}
}

func (k *checker) shares() {
	seen := make(map[string]bool)
	var sum float64
	for i, s := range k.c.Shares {
		section := fmt.Sprintf("shares %d %q", i, s.Organisation)
		k.organisation(section, s.Organisation)
		k.class(section, s.Class)
		k.unique(seen, section, "class", s.Organisation+" "+string(s.Class))
		if s.Priority < -maxPriority || s.Priority > maxPriority {
			k.Addf(section, "priority", "%d is not between %d and %d", s.Priority, -maxPriority, maxPriority)
		}
		k.percent(section, "percent", s.Percent)
		sum += s.Percent
	}
	if sum > 100 {
		k.Addf("shares", "percent", "sum %.2f is above 100", sum)
	}
}

func (k *checker) services() {
	seen := make(map[string]bool)
	for i, s := range k.c.Services {
		section := fmt.Sprintf("services %d %q", i, s.Name)
		k.name(section, "name", s.Name)
		k.unique(seen, section, "name", s.Name)
		if s.Organisation != "" {
			k.organisation(section, s.Organisation)
		}
		if s.Class != "" {
			k.class(section, s.Class)
		}
		k.percent(section, "retry-percent", s.RetryPercent)
	}
}

func (k *checker) objectives() {
	seen := make(map[string]bool)
	for i, o := range k.c.Objectives {
		section := fmt.Sprintf("objectives %d %q", i, o.Organisation)
		k.organisation(section, o.Organisation)
		k.class(section, o.Class)
		k.unique(seen, section, "class", o.Organisation+" "+string(o.Class))
		if o.Latency <= 0 {
			k.Addf(section, "latency-ns", "%v is not above 0", o.Latency)
		}
		if !(o.Percent > 0 && o.Percent < 100) {
			k.Addf(section, "percent", "%v is not between 0 and 100", o.Percent)
		}
		if o.Window < minWindow || o.Window > maxWindow {
			k.Addf(section, "window-ns", "%v is not between %v and %v", o.Window, minWindow, maxWindow)
		}
	}
}

func (k *checker) drains() {
	seen := make(map[string]bool)
	for i, d := range k.c.Drains {
		kind, name := d.Target()
		section := fmt.Sprintf("drains %d %q", i, name)
		set := 0
		for _, s := range []string{d.Host, d.Rack, d.DataCentre} {
			if s != "" {
				set++
			}
		}
		if set != 1 {
			k.Addf(section, "", "%d of host, rack and data-centre are set, not 1", set)
		}
		k.unique(seen, section, kind, kind+" "+name)
		if d.By == "" {
			k.Addf(section, "by", "is missing")
		}
	}
}

func (k *checker) capacity() {
	for i, a := range k.c.Capacity {
		section := fmt.Sprintf("capacity %d %q", i, a.Rack)
		k.name(section, "rack", a.Rack)
		k.name(section, "data-centre", a.DataCentre)
		if a.Workers < 1 {
			k.Addf(section, "workers", "%d is below 1", a.Workers)
		}
		if a.Each.Negative() || a.Each.IsZero() {
			k.Addf(section, "each", "%v is no capacity", a.Each)
		}
	}
}

func (k *checker) limits() {
	if k.c.Limits.MaxAttempts < 0 {
		k.Addf("limits", "max-attempts", "%d is negative", k.c.Limits.MaxAttempts)
	}
	k.percent("limits", "quarantine-percent", k.c.Limits.QuarantinePercent)
	k.percent("limits", "reserve-percent", k.c.Limits.ReservePercent)
}

// name accepts ASCII letters, digits and ".-_", so that names need no escaping in
// row keys, logs and pages.
func (k *checker) name(section, key, name string) {
	if name == "" || len(name) > MaxNameLength {
		k.Addf(section, key, "%q has not 1 to %d bytes", name, MaxNameLength)
		return
	}
	for _, r := range name {
		if !isNameRune(r) {
			k.Addf(section, key, "%q has a character other than letters, digits, dot, - and _", name)
			return
		}
	}
}

func isNameRune(r rune) bool {
	return (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') || r == '.' || r == '-' || r == '_'
}

func (k *checker) unique(seen map[string]bool, section, key, name string) {
	if seen[name] {
		k.Addf(section, key, "%q stands twice", name)
	}
	seen[name] = true
}

func (k *checker) organisation(section, name string) {
	if k.c.Organisation(name) == nil {
		k.Addf(section, "organisation", "%q does not exist", name)
	}
}

func (k *checker) class(section string, c class.Class) {
	if _, err := class.Parse(string(c)); err != nil {
		k.Addf(section, "class", "%v", err)
	}
}

func (k *checker) percent(section, key string, p float64) {
	if math.IsNaN(p) || p < 0 || p > 100 {
		k.Addf(section, key, "%v is not between 0 and 100", p)
	}
}

func (k *checker) token(section, key, hash string) {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != tokenHashBytes {
		k.Addf(section, key, "a hash is not %d bytes in hex", tokenHashBytes)
		return
	}
	if first, taken := k.tokens[hash]; taken {
		k.Addf(section, key, "a hash belongs to %s too", first)
		return
	}
	k.tokens[hash] = section
}
