package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/forecast"
	"persimmonworks.example/persimmonworks/objective"
	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/wire"
)

// waitingAge is how old the list of waiting steps may be at submission.
const waitingAge = 100 * time.Millisecond

// admission is what is known of waiting work where jobs are handed in.
type admission struct {
	forecast.Admission
	waiting   []forecast.Step
	pools     map[poolName]*forecast.Pool
	takenAt   time.Time
	forecasts map[string]forecastStart // of accepted jobs that have not begun
}

// poolName names the workers that a step may use, as they look to it: what may be preempted
// for urgent work is soon free for that.
type poolName struct {
	service, requires string
	urgent            bool
}

// forecastStart is when a job was accepted and how long it was to wait.
type forecastStart struct {
	acceptedAt time.Time
	wait       time.Duration
}

// rejectByForecast returns why a job is refused by forecast and when its caller should come back, or
// "" if it is accepted. Where the configuration knows no organisations, no job is.
func (c *Cell) rejectByForecast(job *wire.DocketAccepted, now time.Time) (reason string, retryAfter time.Duration) {
	if job.GetMoved() || !c.organisations().Configured() {
		return "", 0
	}
	q := c.admissionRequest(job, now)
	d := c.admission.Decide(q, now)
	c.Meter.Count("admission", admissionOutcome(d.Reason))
	if d.Reason == forecast.Accepted {
		c.noteForecast(job, q.Wait, now)
		return "", 0
	}
	c.Log.Emit(event.JobRejectedByForecast, "job", job.GetJob(), "queue", job.GetQueue().GetName(), "organisation", job.GetOrganisation(),
		"reason", string(d.Reason), "wait-ms", q.Wait.Milliseconds(), "patience-ms", q.Patience.Milliseconds(), "tolerable-ms", q.Tolerable.Milliseconds(),
		"rate", q.Rate, "waiting-steps", len(c.admission.waiting), "callers-away", c.admission.Pending(), "retry-after-ms", d.RetryAfter.Milliseconds())
	return string(d.Reason), d.RetryAfter
}

func admissionOutcome(r forecast.Reason) string {
	switch r {
	case forecast.TooLate:
		return "too-late"
	case forecast.BeyondShare:
		return "beyond-share"
	case forecast.NotYet:
		return "not-yet"
	}
	return "accepted"
}

// admissionRequest describes a job to package forecast.
func (c *Cell) admissionRequest(job *wire.DocketAccepted, now time.Time) forecast.Request {
	slack, patience := c.slacksOf(job, func(uint32) bool { return false })
	q := forecast.Request{
		Job: job.GetJob(), Organisation: job.GetOrganisation(), Rate: c.owedRate(job.GetOrganisation()),
		Slack: slack, Patience: patience, Tolerable: objective.MeanReturn(job),
	}
	first := job.GetSteps()[0]
	if job.GetRepeat() > 0 || first.GetLongRunning() || c.isolates(job.GetQueue().GetName(), first) {
		return q // it waits for its time, is never too late, or runs on workers of its own
	}
	c.refreshWaiting(now)
	s := forecastStep(job.GetQueue(), first, int64(first.GetCount()), c.expectedLength(taskOf(job, 0)))
	s.Organisation, s.LatestStart = job.GetOrganisation(), now.Add(slack)
	p := c.admissionPool(job, first, now)
	q.Wait, q.Drain = forecast.Wait(s, c.admission.waiting, p), p.Drain(s)
	if q.Wait > q.Tolerable && c.hasPlaces(job, first, now) {
		q.Wait = forecast.WaitForLimit(s, c.admission.waiting, p) // what waits for workers cannot use them
	}
	return q
}

// hasPlaces reports whether all tasks of a step would find a place now.
func (c *Cell) hasPlaces(job *wire.DocketAccepted, shape *wire.DocketStep, now time.Time) bool {
	amount, left := demand(shape), int(shape.GetCount())
	for _, w := range c.workers {
		if c.acceptsStarts(w, now) && w.host.suits(job.GetQueue(), shape) {
			b := packing.Bin{Free: w.free(), Capacity: w.host.Capacity, MaxTasks: -1}
			if left -= b.Fits(amount, left); left <= 0 {
				return true
			}
		}
	}
	return false
}

// owedRate returns how many jobs a second of an organisation are not beyond its share in this
// docket, 0 for any number. Jobs are spread evenly over the dockets.
func (c *Cell) owedRate(organisation string) float64 {
	o, ok := c.organisations().ByName(organisation)
	if !ok {
		return 0
	}
	return o.Weight() / float64(c.quotas.dockets)
}

func forecastStep(queue *wire.DocketQueue, shape *wire.DocketStep, tasks int64, lasts time.Duration) forecast.Step {
	priority := min(1, queue.GetPriority()) // all that is not urgent goes in one order
	return forecast.Step{
		Priority: priority, Service: queue.GetService(), Requires: shape.GetRequires(),
		Demand: demand(shape).Scale(tasks), Lasts: lasts,
	}
}

// refreshWaiting lists the steps that wait and are still in time. Those that are late wait
// behind a job at submission.
func (c *Cell) refreshWaiting(now time.Time) {
	d := &c.admission
	if now.Sub(d.takenAt) < waitingAge {
		return
	}
	d.takenAt, d.waiting, d.pools = now, d.waiting[:0], map[poolName]*forecast.Pool{}
	for _, s := range c.readySteps {
		if now.After(s.lateAfter()) || s.shape.GetLongRunning() || c.isolates(s.queue.GetName(), s.shape) {
			continue
		}
		tasks := len(s.startableTasks())
		if tasks == 0 {
			continue
		}
		w := forecastStep(s.queue, s.shape, int64(tasks), c.durationOf(s))
		w.Organisation, w.LatestStart = s.organisation(), s.latestStart
		d.waiting = append(d.waiting, w)
	}
}

// admissionPool returns the workers in touch that can run a step.
func (c *Cell) admissionPool(job *wire.DocketAccepted, shape *wire.DocketStep, now time.Time) *forecast.Pool {
	name := poolName{job.GetQueue().GetService(), shape.GetRequires(), job.GetQueue().GetPriority() == 0}
	p, ok := c.admission.pools[name]
	if !ok {
		p = &forecast.Pool{}
		for _, w := range c.workers {
			if !c.acceptsStarts(w, now) || !w.host.suits(job.GetQueue(), shape) {
				continue
			}
			p.Capacity, p.Free = p.Capacity.Add(w.host.Capacity), p.Free.Add(w.free())
			for _, x := range w.runs {
				p.Add(demand(x.shape), c.timeLeft(x, name.urgent, now))
			}
		}
		c.admission.pools[name] = p
	}
	p.Limit = vector{}
	if o, ok := c.organisations().ByName(job.GetOrganisation()); ok {
		p.Limit = o.Limit()
	}
	return p
}

// timeLeft returns how long a run is expected to hold its worker.
func (c *Cell) timeLeft(x *run, urgent bool, now time.Time) time.Duration {
	switch {
	case x.phase == stopping, urgent && x.priority > 0 && c.mayPreempt(x, now):
		return c.Limits.StopTime
	case x.shape.GetLongRunning():
		return forecast.Horizon
	case x.known == nil: // an earlier owner has started it, unknown when
		return time.Duration(x.shape.GetEstimateMs()) * time.Millisecond
	}
	return c.restOf(x, now)
}

// noteForecast keeps the forecast for an accepted job until its first start.
func (c *Cell) noteForecast(job *wire.DocketAccepted, wait time.Duration, now time.Time) {
	if job.GetRepeat() > 0 {
		return
	}
	if c.admission.forecasts == nil {
		c.admission.forecasts = map[string]forecastStart{}
	}
	c.admission.forecasts[job.GetJob()] = forecastStart{now, wait}
	c.Meter.Observe("forecast", wait)
}

// compareForecast records how far the forecast for a job was off, at its first start.
func (c *Cell) compareForecast(job string, now time.Time) {
	f, ok := c.admission.forecasts[job]
	if !ok {
		return
	}
	delete(c.admission.forecasts, job)
	if waited := now.Sub(f.acceptedAt); waited >= f.wait {
		c.Meter.Observe("forecast-exceeded", waited-f.wait)
	} else {
		c.Meter.Observe("forecast-undercut", f.wait-waited)
	}
}
