package rack

import (
	"testing"
	"testing/synctest"
	"time"
)

// A worker that acts, once thawed, on what it was sent before its owner called
// its attempts lost must not start them: they may run elsewhere by then.
func TestThawedWorkerStartsNothingOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2)
		b.run(2 * time.Second)
		b.apply(`{"hosts":{"w1":{"frozen":true,"late":true},"w2":{"frozen":true,"late":true}}}`)
		b.submit("j/0", `{"forever":true}`)
		b.run(2 * time.Second)
		b.mutex.Lock()
		placed := b.rack.Attempts()[0].Worker
		b.mutex.Unlock()
		other := map[string]string{"w1": "w2", "w2": "w1"}[placed]
		b.apply(`{"hosts":{"` + other + `":{"frozen":false}}}`)
		b.run(time.Minute)
		b.apply(`{"hosts":{"` + placed + `":{"frozen":false}}}`)
		b.run(5 * time.Second)
		for _, v := range b.close() {
			t.Error(v)
		}
		if n := b.tasks["j/0"].attempt; n < 2 {
			t.Errorf("attempt %d, want the second on the other worker", n)
		}
	})
}
