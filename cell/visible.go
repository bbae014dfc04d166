package cell

import (
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

// visibleJob returns a job if it exists and the organisation may see it. To callers the two
// cases in which it returns false are the same.
func (c *Cell) visibleJob(id, organisation string) (*docket.Job, bool) {
	j, ok := c.Docket.Job(id)
	if !ok || !c.mayUse(j, organisation) {
		return nil, false
	}
	return j, true
}

// nameTaken reports whether a job that is handed in has the name of a job that its
// organisation may not see.
func (c *Cell) nameTaken(job *wire.DocketAccepted) bool {
	j, ok := c.Docket.Job(job.GetJob())
	return ok && !job.GetMoved() && !c.mayUse(j, job.GetOrganisation())
}

// mayUse reports whether callers of an organisation may see and cancel a job.
func (c *Cell) mayUse(j *docket.Job, organisation string) bool {
	owner := j.Accepted().GetOrganisation()
	if c.organisations().MayUse(organisation, owner) {
		return true
	}
	c.Log.Emit(event.DocketJobHidden, "job", j.ID(), "organisation", organisation, "owner", owner)
	return false
}
