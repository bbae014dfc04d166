package intake

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestFirstOfThoseThatWait(t *testing.T) {
	waiting := []Waiter{{1, "crowd"}, {2, "crowd"}, {3, "lone"}, {4, "other"}}
	held := map[string]int{"crowd": 10, "other": 1}
	if got := First(waiting, held); got != 2 {
		t.Errorf("the client without a place is at 2, got %d", got)
	}
	if got := First(waiting[:2], held); got != 0 {
		t.Errorf("of one client the first one goes first, got %d", got)
	}
}

// The last places are for clients that hold none.
func TestReservedPlaces(t *testing.T) {
	l := Limits{Connections: 160}
	most := l.Places()
	if l.HasPlace(most-1, 1) || !l.HasPlace(most-1, 0) || l.HasPlace(most, 0) || !l.HasPlace(0, 50) {
		t.Errorf("of %d places the last ones are not kept for clients without one", most)
	}
	for connections := 16; connections < 3000; connections += 7 {
		l := Limits{Connections: connections}
		if all := l.Places() + l.Waiting() + l.Refusing(); all > connections {
			t.Errorf("%d connections may be open, %d are the limit", all, connections)
		}
	}
}

func TestDisplaced(t *testing.T) {
	for _, c := range []struct {
		queue  []string
		held   map[string]int
		client string
		want   int
	}{
		{[]string{"crowd", "crowd", "other", "crowd"}, nil, "lone", 3},
		{[]string{"crowd", "crowd"}, nil, "crowd", -1},
		{[]string{"a", "b"}, nil, "lone", -1},
		{[]string{"a", "b"}, map[string]int{"a": 5}, "lone", 0},
		{[]string{"a", "b"}, map[string]int{"a": 5, "lone": 5}, "lone", -1},
		{[]string{"a", "b", "b", "a"}, nil, "lone", 3},
		{[]string{"a", "a", "b"}, nil, "b", -1},
	} {
		var waiting []Waiter
		for i, name := range c.queue {
			waiting = append(waiting, Waiter{Number: uint64(i), Client: name})
		}
		if got := Displaced(waiting, c.held, c.client); got != c.want {
			t.Errorf("%v, for %s: %d is displaced, want %d", c.queue, c.client, got, c.want)
		}
	}
}

func TestGiveWay(t *testing.T) {
	busy := func(number uint64, client string, served time.Duration) View {
		return View{Number: number, Client: client, Phase: Handling, Opened: ago(served)}
	}
	views := []View{
		busy(1, "crowd", 100*time.Millisecond), busy(2, "crowd", 300*time.Millisecond), busy(3, "crowd", 200*time.Millisecond),
		busy(4, "lone", time.Hour),
	}
	l := Limits{Connections: 64}
	for _, c := range []struct {
		name    string
		waiting []Waiter
		want    []uint64
	}{
		{"a client without a place takes it from the one that holds most", []Waiter{{9, "new"}}, []uint64{2}},
		{"a client that holds as many waits for a turn", []Waiter{{9, "crowd"}}, nil},
		{"a client that holds fewer does not give way", []Waiter{{9, "crowd"}, {10, "crowd"}}, nil},
		{"each that waits takes one", []Waiter{{9, "new"}, {10, "newer"}}, []uint64{2, 3}},
	} {
		if got := l.GiveWay(views, c.waiting, now); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v give way, want %v", c.name, got, c.want)
		}
	}
	for i := range views {
		views[i].Opened = ago(time.Minute)
	}
	if got := l.GiveWay(views, []Waiter{{9, "crowd"}}, now); !slices.Equal(got, []uint64{1}) {
		t.Errorf("after a turn %v give way, want 1", got)
	}
	views[0].Leaving = true
	if got := l.GiveWay(views, []Waiter{{9, "crowd"}}, now); len(got) > 0 {
		t.Errorf("%v give way although one was asked already", got)
	}
}

// An idle connection of a client with few places is not closed for one with many.
func TestYielding(t *testing.T) {
	views := []View{
		{Number: 1, Client: "lone", Phase: Idle, Since: ago(time.Second)},
		{Number: 2, Client: "crowd", Phase: Handling},
		{Number: 3, Client: "crowd", Phase: Handling},
	}
	if got := Yielding(views, "crowd"); len(got) != 2 || got[0].Number != 2 {
		t.Errorf("%v may be closed for the crowd, want its own connections", got)
	}
	if got := Yielding(views, "new"); len(got) != 3 {
		t.Errorf("%d may be closed for a new client, want all", len(got))
	}
}

// busyPool replays connections that are always busy, each with a call of callTime after another,
// and ordinary callers that need a place for one call.
type busyPool struct {
	limits  Limits
	turns   bool // whether places come round, or the rule of before holds
	at      time.Time
	next    uint64
	served  map[uint64]*View
	calls   map[uint64]time.Time // end of the call that is going on
	queue   []Waiter
	since   map[uint64]time.Time // when those in the queue came
	outside []string             // clients of the crowd without a connection, which come back
	waits   []time.Duration      // of ordinary callers that got a place
	refused int                  // ordinary callers
}

const (
	callTime     = 12 * time.Millisecond
	ordinaryStep = 100 * time.Millisecond // between two ordinary callers
	playStep     = 4 * time.Millisecond
	crowdSteps   = 10 // after which clients of the crowd that were turned away come back
	playTime     = 6 * time.Second
)

func ordinary(client string) bool { return len(client) > 4 && client[:4] == "user" }

func (p *busyPool) views() []View {
	var out []View
	for _, v := range p.served {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b View) int { return int(a.Number) - int(b.Number) })
	return out
}

func (p *busyPool) held() map[string]int {
	held := map[string]int{}
	for _, v := range p.served {
		held[v.Client]++
	}
	return held
}

func (p *busyPool) place(w Waiter, came time.Time) {
	p.served[w.Number] = &View{Number: w.Number, Client: w.Client, Phase: Handling, Since: p.at, Opened: p.at}
	p.calls[w.Number] = p.at.Add(callTime)
	if ordinary(w.Client) {
		p.waits = append(p.waits, p.at.Sub(came))
	}
}

// arrive opens a connection and reports whether it may stay.
func (p *busyPool) arrive(client string) bool {
	p.next++
	w := Waiter{p.next, client}
	if !p.turns {
		if len(p.served) >= p.limits.Connections {
			gone := p.limits.MakeRoomForConnections(p.views(), p.at)
			if len(gone) == 0 {
				return false
			}
			for _, n := range gone {
				delete(p.served, n)
			}
		}
		p.place(w, p.at)
		return true
	}
	if len(p.queue) == 0 && p.limits.HasPlace(len(p.served), p.held()[client]) {
		p.place(w, p.at)
		return true
	}
	if len(p.queue) >= p.limits.Waiting() {
		d := Displaced(p.queue, p.held(), client)
		if d < 0 {
			return false
		}
		p.leave(d)
	}
	p.queue = append(p.queue, w)
	p.since[w.Number] = p.at
	return true
}

// leave takes one out of the queue that gets no place.
func (p *busyPool) leave(i int) {
	w := p.queue[i]
	p.queue = slices.Delete(p.queue, i, i+1)
	if ordinary(w.Client) {
		p.refused++
	} else {
		p.outside = append(p.outside, w.Client)
	}
}

// step ends calls, gives free places to those that wait, and looks who gives way.
func (p *busyPool) step(look bool) {
	for n, end := range p.calls {
		if v := p.served[n]; v != nil && !p.at.Before(end) {
			p.calls[n] = p.at.Add(callTime)
			if v.Leaving || ordinary(v.Client) {
				delete(p.served, n)
				delete(p.calls, n)
				if !ordinary(v.Client) {
					p.outside = append(p.outside, v.Client)
				}
			}
		}
	}
	for i := len(p.queue) - 1; i >= 0; i-- {
		if p.at.Sub(p.since[p.queue[i].Number]) > WaitMost {
			p.leave(i)
		}
	}
	for len(p.queue) > 0 {
		held := p.held()
		i := First(p.queue, held)
		if !p.limits.HasPlace(len(p.served), held[p.queue[i].Client]) {
			break
		}
		w := p.queue[i]
		p.queue = slices.Delete(p.queue, i, i+1)
		p.place(w, p.since[w.Number])
	}
	if look && p.turns {
		for _, n := range p.limits.GiveWay(p.views(), p.queue, p.at) {
			p.served[n].Leaving = true
		}
	}
}

// play lets a crowd of so many connections come from some addresses and come back as soon as
// it is turned away, and then ordinary callers, each from an address of its own.
func (p *busyPool) play(crowd, addresses int) (longest time.Duration, share float64) {
	p.at, p.served, p.calls, p.since = now, map[uint64]*View{}, map[uint64]time.Time{}, map[uint64]time.Time{}
	for i := range crowd {
		p.outside = append(p.outside, fmt.Sprintf("crowd %d", i%addresses))
	}
	places := 0
	steps := int(playTime / playStep)
	for s := range steps {
		p.at = now.Add(time.Duration(s) * playStep)
		p.step(s%int(100*time.Millisecond/playStep) == 0)
		for _, v := range p.served {
			if !ordinary(v.Client) {
				places++
			}
		}
		if s > steps/10 && s%int(ordinaryStep/playStep) == 0 {
			if !p.arrive(fmt.Sprintf("user %d", s)) {
				p.refused++
			}
		}
		if s%crowdSteps > 0 {
			continue
		}
		back := p.outside
		p.outside = nil
		for _, client := range back {
			if !p.arrive(client) {
				p.outside = append(p.outside, client)
			}
		}
	}
	if len(p.waits) > 0 {
		longest = slices.Max(p.waits)
	}
	return longest, float64(places) / float64(steps*p.limits.Places())
}

// Under the rule of before no ordinary caller got a place while a crowd was always busy. Now
// those of other addresses than the crowd's all get one, within a moment.
func TestBusyCrowdGivesPlacesToOthers(t *testing.T) {
	l := Limits{Connections: 128}
	for _, c := range []struct {
		crowd, addresses int
	}{{200, 1}, {200, 4}, {600, 16}} {
		before, after := busyPool{limits: l}, busyPool{limits: l, turns: true}
		before.play(c.crowd, c.addresses)
		longest, share := after.play(c.crowd, c.addresses)
		t.Logf("%d connections of %d addresses: before %d served, %d refused; now %d served, %d refused, longest wait %v, the crowd keeps %.2f of the places",
			c.crowd, c.addresses, len(before.waits), before.refused, len(after.waits), after.refused, longest, share)
		if len(before.waits) > 0 {
			t.Errorf("%d callers are served under the rule of before, the load shows nothing", len(before.waits))
		}
		if after.refused > 0 || longest > time.Second {
			t.Errorf("%d callers are refused, the longest wait is %v, want none and at most 1 s", after.refused, longest)
		}
	}
}

// With one address for all, clients cannot be told apart: places come round.
func TestPlacesComeRound(t *testing.T) {
	p := busyPool{limits: Limits{Connections: 128}, turns: true}
	p.at, p.served, p.calls, p.since = now, map[uint64]*View{}, map[uint64]time.Time{}, map[uint64]time.Time{}
	const clients = 300 // of one address, each with one connection
	turns := 0
	outside := clients
	for s := range int(playTime / playStep) {
		p.at = now.Add(time.Duration(s) * playStep)
		p.step(s%int(100*time.Millisecond/playStep) == 0)
		turns += len(p.outside)
		outside += len(p.outside)
		p.outside = nil
		for outside > 0 && p.arrive("all") {
			outside--
		}
	}
	perSecond := float64(turns) / playTime.Seconds()
	t.Logf("%.0f places change hands in a second, of %d", perSecond, p.limits.Places())
	if perSecond < float64(p.limits.Places())/2 {
		t.Errorf("%.0f places change hands in a second, want half of them at least", perSecond)
	}
}
