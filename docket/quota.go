package docket

import (
	"fmt"
	"unsafe"

	"persimmonworks.example/persimmonworks/quota"
	"persimmonworks.example/persimmonworks/wire"
)

// quotaBytes is the memory that is counted for each total of a ledger.
const quotaBytes = 2 * int64(unsafe.Sizeof(quota.Parts{}))

// Ledger returns what the docket has given to others and got from them of the limit of an
// organisation, nil if nothing. It must not be modified.
func (d *Docket) Ledger(organisation string) *quota.Ledger { return d.ledgers[organisation] }

// ForEachLedger calls f with each organisation of whose limit the docket has given or got
// something, in no particular order.
func (d *Docket) ForEachLedger(f func(organisation string, l *quota.Ledger)) {
	for organisation, l := range d.ledgers {
		f(organisation, l)
	}
}

// LimitsVersion returns the newest version of the configuration by which an owner of the
// docket has reported to others what runs here, 0 if none has.
func (d *Docket) LimitsVersion() uint64 { return d.limitsVersion }

// Give returns the entry that raises the total of what was given to another docket.
func Give(organisation string, to int, total quota.Parts) *wire.DocketEntry {
	return quotaEntry(organisation, to, false, total)
}

// Receive returns the entry that raises the total of what has come from another docket.
func Receive(organisation string, from int, total quota.Parts) *wire.DocketEntry {
	return quotaEntry(organisation, from, true, total)
}

// ReportLimits returns the entry that raises the version that LimitsVersion returns.
func ReportLimits(version uint64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Limits{Limits: &wire.DocketLimits{Version: version}}}
}

func quotaEntry(organisation string, other int, received bool, total quota.Parts) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Quota{Quota: &wire.DocketQuota{
		Organisation: organisation, Docket: uint32(other), Received: received,
		Total: &wire.QuotaParts{MilliCpu: total.MilliCPU, MemoryMb: total.MemoryMB, Accelerators: total.Accelerators},
	}}}
}

// applyQuota raises a total of the ledger of an organisation.
func (d *Docket) applyQuota(q *wire.DocketQuota) error {
	l, known := d.ledgers[q.GetOrganisation()]
	if !known {
		l = &quota.Ledger{}
	}
	total := quota.Parts{MilliCPU: q.GetTotal().GetMilliCpu(), MemoryMB: q.GetTotal().GetMemoryMb(), Accelerators: q.GetTotal().GetAccelerators()}
	raise, before := l.Give, l.Given(int(q.GetDocket()))
	if q.GetReceived() {
		raise, before = l.Receive, l.Received(int(q.GetDocket()))
	}
	if err := raise(int(q.GetDocket()), total); err != nil {
		return fmt.Errorf("organisation %q, docket %d: %w", q.GetOrganisation(), q.GetDocket(), err)
	}
	if !known {
		d.ledgers[q.GetOrganisation()] = l
		d.bytes += quotaBytes + int64(len(q.GetOrganisation()))
	}
	if before.IsZero() {
		d.bytes += quotaBytes
	}
	return nil
}

// applyLimits raises the version by which an owner has reported.
func (d *Docket) applyLimits(l *wire.DocketLimits) error {
	if l.GetVersion() <= d.limitsVersion {
		return fmt.Errorf("report by version %d after one by version %d", l.GetVersion(), d.limitsVersion)
	}
	d.limitsVersion = l.GetVersion()
	return nil
}

// quotaSnapshot returns the entries that restore what the docket knows of limits.
func (d *Docket) quotaSnapshot() []*wire.DocketEntry {
	var entries []*wire.DocketEntry
	if d.limitsVersion > 0 {
		entries = append(entries, ReportLimits(d.limitsVersion))
	}
	for organisation, l := range d.ledgers {
		l.ForEach(func(other int, received bool, total quota.Parts) {
			entries = append(entries, quotaEntry(organisation, other, received, total))
		})
	}
	return entries
}
