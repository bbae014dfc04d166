package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	wideJobs   = 0xd00
	wideTasks  = 60 // one more than runners of the service have places for, and some
	wideTask   = 1200 * time.Millisecond
	oddRounds  = 8
	oddBetween = 3 * time.Second
	roundTime  = 2 * time.Second
)

func init() { cases["oddentry"] = play{hosts: 4, runners: 48, run: playOddEntry} }

// playOddEntry keeps the runners of one service busy while another writer puts entries for a
// runner of the other service that lack fields.
func playOddEntry(ctx context.Context, s *scene) (string, error) {
	other := &runner{
		world: s.world, id: "runner-of-b", service: otherService, zone: "zone-a", labels: []string{"a", "r0-0"},
		room: capacity{MilliCPU: 16000, MemoryMB: 32768},
	}
	if err := other.start(ctx); err != nil {
		return "", err
	}
	sleep(ctx, roundTime)
	c := s.client()
	for i := range oddRounds {
		if s.trouble {
			if err := other.overwrite(i%2 == 0); err != nil {
				return "", err
			}
		}
		name := fmt.Sprintf("%016x", wideJobs+i)
		s.expect(name, shape{takes: wideTask})
		wide := jobBody{Spec: "wide", Steps: []step{{Count: wideTasks, MilliCPU: 16000, MemoryMB: 1000, Estimate: 1200}}}
		if status := c.submit(ctx, queuePath, name, wide); status != http.StatusOK {
			return "", fmt.Errorf("job %s was not accepted: %d", name, status)
		}
		sleep(ctx, oddBetween)
	}
	started := 0
	for _, e := range s.eventsOf("") {
		if e.kind == "start" && e.runner == other.id {
			started++
			s.record.write("task %s run %d was started on %s, a runner of %s", e.task, e.run, e.runner, otherService)
		}
	}
	if started > 0 {
		return fmt.Sprintf("ROUTE: %d tasks of a queue that goes to %s were started on a runner of %s", started, serviceName, otherService), nil
	}
	return "", nil
}

// overwrite puts an entry as another writer would: it names another service, and the fields
// slots, version and seq are of another type, or missing with cold-remaining-ms. The runner's
// own entry follows with its next heartbeat.
func (r *runner) overwrite(otherTypes bool) error {
	r.mu.Lock()
	odd := map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "state": "ready", "born": r.born,
		"capacity": r.room, "labels": r.labels,
	}
	r.mu.Unlock()
	if otherTypes {
		odd["slots"], odd["version"], odd["seq"], odd["cold-remaining-ms"] = "eight", 7, []string{"first"}, false
	}
	value, err := json.Marshal(odd)
	if err != nil {
		return fmt.Errorf("odd entry of %s: %w", r.id, err)
	}
	r.world.record.write("another writer puts servers/%s: %s", r.id, value)
	r.world.store.put(serversDB, r.id, value)
	return nil
}
