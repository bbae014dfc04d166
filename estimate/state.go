package estimate

import (
	"math"
	"slices"
	"strings"

	"persimmonworks.example/persimmonworks/wire"
)

// What is stored is what another owner would learn slowly: lines and histograms of queues and
// of organisations, and speeds. Kinds and steps are learnt anew.

const (
	weightUnit  = 0.01 // of the stored weights
	logUnit     = 0.01 // of the stored logarithms of slowdowns
	maxStored   = 64   // lines, and histograms, that are stored, those of the most jobs
	maxRuns     = 1000 // of a worker, that are told apart
	maxLogSpeed = 5.0  // far above maxSlowdown
	maxWidth    = 32   // class of more tasks than any step has
)

// Times returns what was learnt of run times, nil if nothing was.
func (m *Model) Times() *wire.DocketLearnt {
	out := &wire.DocketLearnt{Lines: m.lines.store()}
	for _, level := range []int{queueLevel, teamLevel} {
		for e := m.levels[level].recent.Front(); e != nil && len(out.GetTimes()) < maxStored; e = e.Next() {
			p := e.Value.(*levelEntry)
			if t := p.store(); t != nil {
				out.Times = append(out.Times, t)
			}
		}
	}
	if len(out.GetLines()) == 0 {
		return nil
	}
	return out
}

// Speeds returns what was learnt of the speeds of workers, nil if nothing was.
func (m *Model) Speeds() *wire.DocketSpeeds {
	out := &wire.DocketSpeeds{}
	for id := range m.speeds.workers {
		out.Workers = append(out.Workers, id)
	}
	slices.Sort(out.Workers)
	for _, id := range out.GetWorkers() {
		w := m.speeds.workers[id]
		out.Slowdowns = append(out.Slowdowns, int32(math.Round((w.log-m.speeds.mean())/logUnit)))
		out.Runs = append(out.Runs, uint32(min(w.runs, maxRuns)))
	}
	if len(out.GetWorkers()) == 0 {
		return nil
	}
	return out
}

// Restore replaces what was learnt by what an earlier owner has stored; either may be nil.
// What cannot be right is left out.
func (m *Model) Restore(times *wire.DocketLearnt, speeds *wire.DocketSpeeds) {
	*m = Model{}
	m.lines.restore(times.GetLines())
	// The least recently used comes last.
	for _, t := range slices.Backward(times.GetTimes()) {
		level := queueLevel
		if t.GetOrganisation() != "" {
			level = teamLevel
		}
		e := m.levels[level].add(levelKey{queue: t.GetQueue(), organisation: t.GetOrganisation(), width: int(min(t.GetWidth(), maxWidth))}, maxPopulations[level])
		e.restore(t)
	}
	m.speeds.restore(speeds)
}

func (l *lines) store() []*wire.DocketLine {
	var out []*wire.DocketLine
	add := func(in map[levelKey]*line, all bool) {
		for k, n := range in {
			out = append(out, &wire.DocketLine{
				Queue: k.queue, Organisation: k.organisation, NoEstimate: k.size == 0, All: all, Whole: k.width > 0, Jobs: float32(n.jobs),
				MeanEstimate: float32(n.meanX), MeanTime: float32(n.meanY), SpreadEstimate: float32(n.spreadX), SpreadProduct: float32(n.spreadY),
			})
		}
	}
	add(l.queues, true)
	add(l.teams, false)
	slices.SortFunc(out, compareLines)
	return out[:min(len(out), maxStored)]
}

// compareLines puts the lines of all organisations first, then those of the most jobs.
func compareLines(a, b *wire.DocketLine) int {
	switch {
	case a.GetAll() != b.GetAll() && a.GetAll():
		return -1
	case a.GetAll() != b.GetAll():
		return 1
	case a.GetJobs() > b.GetJobs():
		return -1
	case a.GetJobs() < b.GetJobs():
		return 1
	}
	return strings.Compare(a.GetQueue()+"\x00"+a.GetOrganisation(), b.GetQueue()+"\x00"+b.GetOrganisation())
}

func (l *lines) restore(stored []*wire.DocketLine) {
	l.queues, l.teams = map[levelKey]*line{}, map[levelKey]*line{}
	for _, s := range stored {
		n := line{
			jobs: float64(s.GetJobs()), meanX: float64(s.GetMeanEstimate()), meanY: float64(s.GetMeanTime()),
			spreadX: float64(s.GetSpreadEstimate()), spreadY: float64(s.GetSpreadProduct()),
		}
		if !n.valid() {
			continue
		}
		k := levelKey{queue: s.GetQueue(), organisation: s.GetOrganisation(), size: 1}
		if s.GetNoEstimate() {
			k.size = 0
		}
		if s.GetWhole() {
			k.width = 1
		}
		in, limit := l.teams, maxTeams
		if s.GetAll() {
			in, limit = l.queues, maxQueues
		}
		if known := lineOf(in, k, limit); known != nil {
			*known = n
		}
	}
}

// maxLogSeconds is the logarithm of more seconds than any task takes.
const maxLogSeconds = 40.0

func (l *line) valid() bool {
	within := func(v, most float64) bool { return math.Abs(v) <= most } // false for NaN
	return l.jobs > 0 && within(l.jobs, 2*lineMemory) && within(l.meanX, maxLogSeconds) && within(l.meanY, maxLogSeconds) &&
		l.spreadX >= 0 && within(l.spreadX, math.MaxFloat32) && within(l.spreadY, math.MaxFloat32)
}

// store returns the population as it is stored, nil if no bin has a weight.
func (e *levelEntry) store() *wire.DocketTimes {
	out := &wire.DocketTimes{Queue: e.key.queue, Organisation: e.key.organisation, Width: uint32(e.key.width)}
	last := int16(0)
	for _, b := range e.bins {
		ended, stopped := uint32(math.Round(float64(b.weight)/weightUnit)), uint32(math.Round(float64(b.stopped)/weightUnit))
		if ended+stopped == 0 {
			continue
		}
		out.Steps = append(out.Steps, uint32(b.index-last))
		out.Ended, out.Stopped = append(out.Ended, ended), append(out.Stopped, stopped)
		last = b.index
	}
	if len(out.GetSteps()) == 0 {
		return nil
	}
	if !slices.ContainsFunc(out.GetStopped(), func(n uint32) bool { return n > 0 }) {
		out.Stopped = nil
	}
	return out
}

func (p *population) restore(t *wire.DocketTimes) {
	index := uint32(0)
	for i, step := range t.GetSteps() {
		index += step
		if i >= len(t.GetEnded()) || step > maxBins || index > maxBins {
			return
		}
		b := p.at(int16(index))
		b.weight = float32(min(float64(t.GetEnded()[i])*weightUnit, maxWeight))
		if i < len(t.GetStopped()) {
			b.stopped = float32(min(float64(t.GetStopped()[i])*weightUnit, maxWeight))
		}
	}
	p.total, p.censored = 0, 0
	for _, b := range p.bins {
		p.total += float64(b.weight)
		p.censored += float64(b.stopped)
	}
	p.halving = min(maxWeight, max(firstHalving, 2*(p.total+p.censored)))
}

func (s *speeds) restore(stored *wire.DocketSpeeds) {
	s.workers, s.sum = map[string]speed{}, 0
	for i, id := range stored.GetWorkers() {
		if i >= len(stored.GetSlowdowns()) || i >= len(stored.GetRuns()) || len(s.workers) >= maxSpeeds {
			return
		}
		w := speed{
			log:  min(max(float64(stored.GetSlowdowns()[i])*logUnit, -maxLogSpeed), maxLogSpeed),
			runs: float64(min(stored.GetRuns()[i], maxRuns)),
		}
		s.sum += w.log - s.workers[id].log
		s.workers[id] = w
	}
}
