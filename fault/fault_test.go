package fault

import "testing"

// A valid change affects only the members it contains, and an invalid one
// changes nothing.
func TestApplyMerges(t *testing.T) {
	b := NewInjector()
	for _, c := range []struct {
		change string
		valid  bool
	}{
		{`{"platform":{"away":true},"hosts":{"a":{"frozen":true}}}`, true},
		{`{"platform":{"slow-ms":5},"hosts":{"a":{"leaving":true},"b":{"lost":true}}}`, true},
		{`{"platform":{"away":false},"hosts":{"a":{"forzen":false}}}`, false},
		{`{"platform":{"away":false},"hosts":{"a":{"clock-error":-1}}}`, false},
		{`{`, false},
	} {
		if err := b.Apply([]byte(c.change)); (err == nil) != c.valid {
			t.Errorf("%s: %v", c.change, err)
		}
	}
	if p := b.Platform(); !p.Away || p.SlowMs != 5 {
		t.Errorf("platform %+v", p)
	}
	if h := b.Host("a"); !h.Frozen || !h.Leaving || !b.Host("b").Lost {
		t.Errorf("hosts %+v", b.State().Hosts)
	}
}

// With the same seed the same responses are lost. The first lose-next responses
// are always lost.
func TestLoseAnswerIsReproducible(t *testing.T) {
	draw := func() (lost [64]bool, count int) {
		b := NewInjector()
		if err := b.Apply([]byte(`{"platform":{"lose-next":3,"lose-probability":0.5,"seed":11}}`)); err != nil {
			t.Fatal(err)
		}
		for i := range lost {
			lost[i] = b.ShouldLoseResponse()
			if lost[i] {
				count++
			}
		}
		return lost, count
	}
	first, count := draw()
	second, _ := draw()
	if first != second {
		t.Errorf("%v, then %v", first, second)
	}
	if !first[0] || !first[1] || !first[2] || count < 10 || count > 60 {
		t.Errorf("%d of %d lost: %v", count, len(first), first)
	}
}
