package runner

import "testing"

// Between two adverts a peer can send as many requests as slots become free, not
// only as many as the last advert listed, and never more at once than there are
// slots.
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
			t.Fatalf("request %d: no free slot after the previous request ended", i)
		}
		if choose() {
			t.Fatalf("request %d: got a second slot, but only one was advertised", i)
		}
		d.Release("e2", "r-1")
	}
	for range 5 {
		d.Release("e2", "r-1")
	}
	if !choose() || !choose() || choose() {
		t.Error("surplus releases raised the free slots above the number of slots")
	}
	d.Release("e3", "r-1") // an unknown process or runner is ignored
	d.Release("e2", "r-2")
	if choose() {
		t.Error("the release of an unknown runner freed a slot of another")
	}
}
