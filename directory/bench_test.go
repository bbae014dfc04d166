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
	workersPerRack  = 8
	dataCentreCount = 3
	backlog         = 10_000 // waiting tasks
)

var sizes = []struct{ workers, organisations int }{
	{100, 20},
	{1100, 20},
	{10_000, 20},
	{10_000, 320},
}

// cluster simulates a scheduler: a queue, a directory and its shards.
type cluster struct {
	queue       queue.Queue
	directory   directory.Directory
	shards      map[string]*placement.Shard
	dataCentres []string // data centres in order of preference
	running     []runningTask
	rng         *rand.Rand
	now         time.Time
	created     int
	lastClass   class.Class // class of the task placed last

	organisations int
}

// runningTask is a running task and its shard.
type runningTask struct {
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
		rack := fmt.Sprint("rack-", n/workersPerRack)
		centre := fmt.Sprint("dc-", n/workersPerRack%dataCentreCount)
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
	c.dataCentres = []string{"dc-0", "dc-1", "dc-2"}
	for n := range backlog {
		c.push(class.All[n%(len(class.All)-1)])
	}
	return c
}

func (c *cluster) advertise(rack, centre string) {
	s := c.shards[rack]
	c.directory.Update(directory.Summary{Shard: rack, Rack: rack, DataCentre: centre, Largest: s.Largest(), LargestLong: s.LargestLong(), Free: s.FreeCapacity()})
}

// push adds a waiting task of the class. Replacing each placed task by one of the same
// class keeps the mix of classes in the queue constant.
func (c *cluster) push(k class.Class) {
	c.created++
	size := int64(1 + c.rng.IntN(8))
	c.queue.Push(queue.Item{
		ID:           fmt.Sprint("t", c.created),
		Group:        fmt.Sprint("job", c.created/100),
		Organisation: fmt.Sprint("o", c.rng.IntN(c.organisations)),
		Class:        k,
		Long:         k == class.Batch,
		Demand:       resource.Vector{MilliCPU: size * 500, MemoryMB: size * 1024},
		Enqueued:     c.now,
	})
}

// place makes one scheduling decision: it chooses a task, a shard and a worker. It
// reports false if no waiting task fits.
func (c *cluster) place() bool {
	item, ok := c.queue.Next(c.now, func(i queue.Item) bool { return c.directory.Fits(taskOf(i), c.dataCentres) })
	if !ok {
		return false
	}
	task := taskOf(item)
	for {
		rack, err := c.directory.Choose(task, c.dataCentres, c.rng)
		if err != nil {
			c.queue.Push(item)
			return false
		}
		if _, err := c.shards[rack].Place(task, c.rng); err == nil {
			c.queue.Started(item, c.now)
			c.lastClass = item.Class
			c.running = append(c.running, runningTask{item, rack})
			return true
		}
		c.directory.RecordRefusal(rack, task)
	}
}

func taskOf(i queue.Item) placement.Task {
	return placement.Task{ID: i.ID, Demand: i.Demand, Class: i.Class, Long: i.Long}
}

// end terminates a random running task.
func (c *cluster) end() {
	n := c.rng.IntN(len(c.running))
	s := c.running[n]
	c.running[n] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.shards[s.shard].Release(s.item.ID)
	c.queue.Ended(s.item, c.now)
	var rack int
	_, _ = fmt.Sscanf(s.shard, "rack-%d", &rack)
	c.advertise(s.shard, fmt.Sprint("dc-", rack%dataCentreCount))
}

// BenchmarkPlacement measures one scheduling decision of queue, directory and shard in
// a cluster at 80 % utilisation with 10,000 waiting tasks. Before each decision, outside
// the measured time, one task ends and one arrives.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range sizes {
		workers, organisations := size.workers, size.organisations
		b.Run(fmt.Sprint("workers=", workers, "/organisations=", organisations), func(b *testing.B) {
			c := newCluster(b, workers, organisations)
			for len(c.running) < workers*16*4/5*1000/2250 && c.place() {
				c.push(c.lastClass)
			}
			delays := hdrhistogram.New(1, int64(time.Minute), 3)
			failed := 0
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.end()
				c.push(c.lastClass)
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

// BenchmarkNothingFits measures a scheduling decision in a full cluster, where no
// waiting task fits.
func BenchmarkNothingFits(b *testing.B) {
	for _, size := range sizes {
		workers, organisations := size.workers, size.organisations
		b.Run(fmt.Sprint("workers=", workers, "/organisations=", organisations), func(b *testing.B) {
			c := newCluster(b, workers, organisations)
			for misses := 0; misses < 1000; {
				if c.place() {
					c.push(c.lastClass)
				} else {
					misses++
				}
			}
			for b.Loop() {
				if c.place() {
					b.Fatal("a task fits in a full cluster")
				}
			}
		})
	}
}
