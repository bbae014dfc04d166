package experiment

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/measure/outcome"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	sampleEvery = time.Second // of packing and shares
	sharesOver  = time.Minute
)

// sample takes packing and shares.
func (t *tasks) sample(at time.Duration) {
	t.agenda.Add(at+sampleEvery, taskEvent{tick: t.sample})
	if at < t.w.WarmUp {
		return
	}
	if t.queue.Len() > 0 {
		var free resource.Vector
		for _, s := range t.racks {
			free = free.Add(s.FreeCapacity())
		}
		t.samples++
		t.result.Packing += (t.w.Pool().Sub(free).DominantShare(t.w.Pool()) - t.result.Packing) / float64(t.samples)
	}
	t.sampleShares(at)
}

func (t *tasks) sampleShares(at time.Duration) {
	for name := range t.queue.Shares {
		t.held[name] += t.queue.Running(name).DominantShare(t.w.Pool())
		backlog := 0
		for _, c := range class.All {
			backlog += t.queue.Waiting(name, c)
		}
		if backlog == 0 {
			t.starved[name] = true
		}
	}
	if t.minute == 0 {
		t.minute = at
	}
	if at-t.minute < sharesOver {
		return
	}
	held, weights := 0.0, 0
	for name, share := range t.queue.Shares {
		if !t.starved[name] {
			held += t.held[name]
			weights += share.Weight
		}
	}
	for name, share := range t.queue.Shares {
		if !t.starved[name] && held > 0 {
			t.result.Shares = append(t.result.Shares, outcome.Minute{
				Organisation: name, At: t.minute, Got: t.held[name] / held, Fair: float64(share.Weight) / float64(weights),
			})
		}
	}
	t.held, t.starved, t.minute = make(map[string]float64), make(map[string]bool), at
}
