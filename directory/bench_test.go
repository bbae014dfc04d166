package directory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	perRack     = 8
	dataCentres = 3
	backlog     = 10_000 // waiting tasks
)

var sizes = []struct{ workers, organisations int }{
	{100, 20},
	{1100, 20},
	{10_000, 20},
	{10_000, 320},
}

// cluster is a queue, a directory and the shards behind it.
type cluster struct {
	queue     queue.Queue
	directory directory.Directory
	shards    map[string]*placement.Shard
	order     []string // data centres
	running   []started
	rng       *rand.Rand
	now       time.Time
	made      int
	last      class.Class // of the task placed last

	organisations int
}

type started struct {
	item  queue.Item
	shard string
}

func newCluster(b *testing.B, workers, organisations int) *cluster {
	b.Helper()
	c := &cluster{
		organisations: organisations,
		shards:        make(map[string]*placement.Shard),
		rng:           rand.New(rand.NewPCG(20261204, 1)),
		now:           time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC),
	}
	capacity := resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 * 1024}
	c.queue.SetPool(capacity.Scale(int64(workers)))
	for n := range workers {
		rack := fmt.Sprint("rack-", n/perRack)
		centre := fmt.Sprint("dc-", n/perRack%dataCentres)
		s, ok := c.shards[rack]
		if !ok {
			s = &placement.Shard{Reserve: 0.125}
			c.shards[rack] = s
		}
		err := s.AddWorker(placement.Worker{ID: fmt.Sprint("w-", n), Rack: rack, DataCentre: centre, Capacity: capacity})
		if err != nil {
			b.Fatal(err)
		}
		c.advertise(rack, centre)
	}
	c.order = []string{"dc-0", "dc-1", "dc-2"}
	for n := range backlog {
		c.push(class.All[n%(len(class.All)-1)])
	}
	return c
}

func (c *cluster) advertise(rack, centre string) {
	s := c.shards[rack]
	c.directory.Update(directory.Summary{Shard: rack, Rack: rack, DataCentre: centre, Largest: s.Largest(), Long: s.LargestLong(), Free: s.FreeCapacity()})
}

// push adds a task of the class of the one that was placed last, so that the
// mix of what waits stays as it is.
func (c *cluster) push(kind class.Class) {
	c.made++
	size := int64(1 + c.rng.IntN(8))
	c.queue.Push(queue.Item{
		ID:           fmt.Sprint("t", c.made),
		Group:        fmt.Sprint("job", c.made/100),
		Organisation: fmt.Sprint("o", c.rng.IntN(c.organisations)),
		Class:        kind,
		Long:         kind == class.Batch,
		Demand:       resource.Vector{MilliCPU: size * 500, MemoryMB: size * 1024},
		Enqueued:     c.now,
	})
}

// place makes one decision: which task, which shard, which worker.
func (c *cluster) place() bool {
	item, ok := c.queue.Next(c.now, func(i queue.Item) bool { return c.directory.Fits(taskOf(i), c.order) })
	if !ok {
		return false
	}
	task := taskOf(item)
	for {
		rack, err := c.directory.Choose(task, c.order, c.rng)
		if err != nil {
			c.queue.Push(item)
			return false
		}
		if _, err := c.shards[rack].Place(task, c.rng); err == nil {
			c.queue.Started(item, c.now)
			c.last = item.Class
			c.running = append(c.running, started{item, rack})
			return true
		}
		c.directory.Refused(rack, task)
	}
}

func taskOf(i queue.Item) placement.Task {
	return placement.Task{ID: i.ID, Demand: i.Demand, Class: i.Class, Long: i.Long}
}

// end ends a random running task.
func (c *cluster) end() {
	n := c.rng.IntN(len(c.running))
	s := c.running[n]
	c.running[n] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.shards[s.shard].Free(s.item.ID)
	c.queue.Ended(s.item, c.now)
	var rack int
	_, _ = fmt.Sscanf(s.shard, "rack-%d", &rack)
	c.advertise(s.shard, fmt.Sprint("dc-", rack%dataCentres))
}

// BenchmarkPlacement measures a decision of queue, directory and shard in a
// cluster that is four fifths full, with ten thousand tasks waiting; a task
// ends and one arrives, unmeasured, for each that is placed.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range sizes {
		workers, organisations := size.workers, size.organisations
		b.Run(fmt.Sprint("workers=", workers, "/organisations=", organisations), func(b *testing.B) {
			c := newCluster(b, workers, organisations)
			for len(c.running) < workers*16*4/5*1000/2250 && c.place() {
				c.push(c.last)
			}
			delays := hdrhistogram.New(1, int64(time.Minute), 3)
			failed := 0
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.end()
				c.push(c.last)
				c.now = c.now.Add(time.Millisecond)
				b.StartTimer()
				before := time.Now()
				if !c.place() {
					failed++
				}
				_ = delays.RecordValue(int64(time.Since(before)))
			}
			b.StopTimer()
			b.ReportMetric(float64(delays.ValueAtQuantile(99))/1e3, "p99-µs")
			b.ReportMetric(delays.Mean()/1e3, "mean-µs")
			b.ReportMetric(1e9/delays.Mean(), "placements/s")
			b.ReportMetric(float64(failed)/float64(b.N), "failed")
		})
	}
}

// BenchmarkNothingFits measures a decision in a full cluster.
func BenchmarkNothingFits(b *testing.B) {
	for _, size := range sizes {
		workers, organisations := size.workers, size.organisations
		b.Run(fmt.Sprint("workers=", workers, "/organisations=", organisations), func(b *testing.B) {
			c := newCluster(b, workers, organisations)
			for misses := 0; misses < 1000; {
				if c.place() {
					c.push(c.last)
				} else {
					misses++
				}
			}
			for b.Loop() {
				if c.place() {
					b.Fatal("something fits")
				}
			}
		})
	}
}
