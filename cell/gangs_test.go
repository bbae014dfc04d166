package cell_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// A start that stays unanswered ends the whole gang, however its timeout and the
// periodic check of incomplete gangs interleave: no member waits alone.
func TestUnansweredStartEndsGang(t *testing.T) {
	for offset := time.Duration(0); offset < 50*time.Millisecond; offset += 7 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				time.Sleep(offset)
				b.fleet.Worker(0).SetCut(true)
				job := b.submit(gang(3, 12000))
				time.Sleep(4 * time.Second)
				b.fleet.Worker(0).SetCut(false)
				b.waitForState(job, docket.Completed, 30*time.Second)
			})
		})
	}
}

// An owner that takes over shortly after the start of a gang, and cannot reach the
// worker of one member, gives the gang up before the others have waited too long.
func TestAdoptedGangWithUnreachableMember(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				b.fleet.Worker(1).SetCut(true)
				job := b.submit(gang(3, 12000))
				time.Sleep(pause)
				b.stop()
				b.takeOver()
				time.Sleep(6 * time.Second)
				b.fleet.Worker(1).SetCut(false)
				b.waitForState(job, docket.Completed, 30*time.Second)
			})
		})
	}
}

// A gang that works goes on under the next owner although one of its workers cannot
// be reached for a while.
func TestAdoptedGangThatWorksGoesOn(t *testing.T) {
	run(t, 3, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 8 * time.Second }
		job := b.submit(gang(3, 12000))
		time.Sleep(2 * time.Second)
		b.stop()
		b.fleet.Worker(1).SetCut(true)
		b.takeOver()
		time.Sleep(3 * time.Second)
		b.fleet.Worker(1).SetCut(false)
		b.waitForState(job, docket.Completed, 6*time.Second)
		if n := b.fleet.Starts(); n != 3 {
			t.Errorf("%d starts, want 3", n)
		}
	})
}

// A worker fails all of its members of a gang in one run. That is one failure of the
// gang, which runs again, also if the owner changes between the two ends.
func TestGangRunsAgainAfterSeveralMembersFailed(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeOver), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				b.fleet.Fails = func(_ docket.TaskID, _ string, run uint32) bool { return run == 1 }
				job := b.submit(gang(9, 5000)) // three on each worker, and three attempts
				time.Sleep(700 * time.Millisecond)
				if takeOver {
					b.stop()
					time.Sleep(time.Second) // the run fails meanwhile
					b.takeOver()
				}
				b.waitForState(job, docket.Completed, 8*time.Second)
			})
		})
	}
}

// The worker of one member crashed right after that had begun, before the others had. All
// starts were answered, so nobody missed it, and the others waited alone (soak seed 5120).
func TestMemberLostBeforeOthersBeginEndsGang(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, 4, func(b *harness) {
				b.fleet.Worker(2).SetCut(true)
				job := b.submit(gang(4, 12000))
				time.Sleep(after)
				b.fleet.Worker(1).Crash()
				time.Sleep(400*time.Millisecond - after)
				b.fleet.Worker(2).SetCut(false)
				time.Sleep(5 * time.Second)
				b.fleet.Worker(1).Restart()
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
