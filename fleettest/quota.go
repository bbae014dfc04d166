package fleettest

import (
	"sync"

	"persimmonworks.example/persimmonworks/organisation"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

// Configuration is the organisations that one process has in force. It implements
// cell.Organisations. The zero value knows none.
type Configuration struct {
	mu      sync.Mutex
	version uint64
	set     *organisation.Set
}

// Put puts a version into force unless a later one is. It panics if the declarations are faulty.
func (c *Configuration) Put(version uint64, declared ...organisation.Declaration) {
	set, err := organisation.NewSet(declared)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.set = version, set
	}
}

// Organisations implements cell.Organisations.
func (c *Configuration) Organisations() *organisation.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set
}

// Version implements cell.Organisations.
func (c *Configuration) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// judgeQuota judges a start by what runs of its organisation on all workers.
func (f *Fleet) judgeQuota(w *Worker, job *wire.DocketAccepted, started resource.Vector) {
	organisation := job.GetOrganisation()
	if f.Limit == nil || organisation == "" {
		return
	}
	used := started
	for _, other := range f.workers {
		for t, x := range other.running {
			if other.up && f.jobs[t.Job].GetOrganisation() == organisation {
				used = used.Add(x.demand)
			}
		}
	}
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	limit := f.Limit(organisation)
	if over(used.MilliCPU, limit.MilliCPU) || over(used.MemoryMB, limit.MemoryMB) || over(used.Accelerators, limit.Accelerators) {
		f.fault("%s on %s: %q then runs %v, and its limit is %v; carried out late: %v, by the next life: %v", job.GetJob(), w.host.ID, organisation, used, limit, f.late, f.otherLife)
	}
}

// Used returns what the running tasks of an organisation take on all workers.
func (f *Fleet) Used(organisation string) resource.Vector {
	f.mu.Lock()
	defer f.mu.Unlock()
	var used resource.Vector
	for _, w := range f.workers {
		for t, x := range w.running {
			if w.up && f.jobs[t.Job].GetOrganisation() == organisation {
				used = used.Add(x.demand)
			}
		}
	}
	return used
}
