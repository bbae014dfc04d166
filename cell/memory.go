package cell

import (
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// The next owner of a docket has to hold it as well, on any host. So a job is refused before
// it is accepted if the docket would take too much memory with it, and the occurrences of
// accepted jobs that are due at the same time are opened one after another.

// DocketBytes returns the memory that the docket takes, see docket.Docket.Bytes. It may be
// called from any goroutine.
func (c *Cell) DocketBytes() int64 { return c.docketBytes.Load() }

// occurrenceShare is the share of the docket's memory up to which further occurrences of a
// job are opened beside others of it, so that there is room for new jobs.
const occurrenceShare = 0.5

// hasMemoryFor reports whether the occurrence may be opened. One of each job always may: the
// docket has counted it since the job was accepted.
func (c *Cell) hasMemoryFor(j *docket.Job, occurrence uint32) bool {
	if c.Limits.DocketBytes == 0 || !j.AnyOpen() || j.IsOpen(occurrence) || j.Finished(occurrence) {
		return true
	}
	return float64(c.Docket.Bytes()+docket.OccurrenceBytes(j.Accepted())) <= occurrenceShare*float64(c.Limits.DocketBytes)
}

// exceedsMemory reports whether the job would take more memory than the docket may.
func (c *Cell) exceedsMemory(job *wire.DocketAccepted) (now, always bool) {
	if c.Limits.DocketBytes == 0 {
		return false, false
	}
	n := docket.JobBytes(job)
	return c.Docket.Bytes()+n > c.Limits.DocketBytes, n > c.Limits.DocketBytes
}
