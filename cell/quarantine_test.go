package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
)

// All workers of a kind fail what they start for 6.5 s. They were barred for ten minutes, and
// jobs that can run on no other waited that long beside them, sound and idle (LOST).
func TestWorkRunsSoonAfterItsOnlyWorkersAreSound(t *testing.T) {
	run(t, 24, func(b *harness) {
		const kind = 4 // of the workers
		faulty := map[string]bool{}
		for i := range kind {
			b.fleet.Worker(i).RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
			b.fleet.Worker(i).Overwrite(nil)
		}
		time.Sleep(2 * time.Second)
		for _, h := range b.fleet.Hosts()[:kind] {
			faulty[h.ID] = true
		}
		begun := time.Now()
		fails := func() bool { return time.Since(begun) > time.Second && time.Since(begun) < 7500*time.Millisecond }
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 400 * time.Millisecond }
		b.fleet.Fails = func(_ docket.TaskID, worker string, _ uint32) bool { return faulty[worker] && fails() }
		var waiting []string
		for range 50 {
			b.submit(tasks(12, 4000))
			step := tasks(2, 2000)
			step.Requires = "b"
			waiting = append(waiting, b.submit(step))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		left := 0
		for _, job := range waiting {
			s, err := b.cell.State(b.Context(), job, "")
			if err != nil {
				t.Fatal(err)
			}
			if s != docket.Completed && s != docket.Failed {
				left++
			}
		}
		if left > 0 {
			t.Errorf("%d of %d jobs still wait %v after their workers were sound again", left, len(waiting), time.Since(begun)-7500*time.Millisecond)
		}
	})
}
