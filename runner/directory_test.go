package runner

import "testing"

// Between two adverts a peer can send as many requests as slots get free, not
// only as many as were free at the first; and never more at once than slots.
func TestDirectoryReleaseGivesSlotsBack(t *testing.T) {
	var d Directory
	rng := newRand(1)
	d.Update("e2", 1, []Advert{{Runner: "r-1", Service: "s", Free: 1, Slots: 2}}, start)
	choose := func() bool {
		_, _, ok := d.Choose("s", "", start, rng)
		return ok
	}
	for i := range 100 {
		if !choose() {
			t.Fatalf("request %d: no slot, though the one before has ended", i)
		}
		if choose() {
			t.Fatalf("request %d: a second slot, where one was advertised", i)
		}
		d.Release("e2", "r-1")
	}
	for range 5 {
		d.Release("e2", "r-1")
	}
	if !choose() || !choose() || choose() {
		t.Error("releases without requests do not stop at the number of slots")
	}
	d.Release("e3", "r-1") // unknown ones change nothing
	d.Release("e2", "r-2")
	if choose() {
		t.Error("the release of an unknown runner freed a slot of another")
	}
}
