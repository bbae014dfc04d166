package cell_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// slowAdvisor answers like the service: it takes time for each worker named.
type slowAdvisor struct {
	advice.Advisor
	decision, perWorker time.Duration

	mu   sync.Mutex
	most int // workers named in one request
}

func (s *slowAdvisor) Advise(ctx context.Context, step docket.StepID, workers []string) ([]advice.Permit, error) {
	s.mu.Lock()
	s.most = max(s.most, len(workers))
	s.mu.Unlock()
	time.Sleep(s.decision + time.Duration(len(workers))*s.perWorker)
	return s.Advisor.Advise(ctx, step, workers)
}

// A gang that needs many workers is not held up by one request that names them all
// while helpers have nothing to do.
func TestWideGangAsksThroughIdleHelpers(t *testing.T) {
	const decision, perWorker, members = 500 * time.Millisecond, 7 * time.Millisecond, 60
	run(t, members, func(b *harness) {
		advisor := &slowAdvisor{Advisor: b.fleet, decision: decision, perWorker: perWorker}
		b.stop()
		b.advisor = advisor
		b.takeOver()
		for i := range 20 {
			err := b.cell.NoteHelper(b.Context(), fmt.Sprintf("h%02d", i), func() advice.Advisor { return advisor })
			if err != nil {
				t.Fatal(err)
			}
		}
		job := &wire.DocketAccepted{
			Job: "00000000000000aa", Spec: "spec", Steps: []*wire.DocketStep{gang(members, 16000)},
			Queue: &wire.DocketQueue{
				Name: "q", Service: "jobs", Priority: 1, MaxAttempts: 3, Dilation: 2, TargetMs: 1000,
				Advice: &wire.DocketAdvice{DecisionMs: 500, PerWorkerMs: 7, ValidityMs: 2500},
			},
		}
		b.fleet.Accept(job)
		if err := b.cell.Submit(b.Context(), job); err != nil {
			t.Fatal(err)
		}
		// One request for all workers would take 0.92 s.
		b.waitForState(job.GetJob(), docket.Running, 800*time.Millisecond)
		if advisor.most > members*2/3 {
			t.Errorf("one request named %d workers", advisor.most)
		}
	})
}
