package ownership

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/provider"
)

// newObservingSession returns a registered session that read the given session
// rows and then waited.
func newObservingSession(wait time.Duration, rows ...sessionRow) *Session {
	s := &Session{Process: "entry-9", DataCentre: "pernik"}
	s.init()
	s.ownRow = sessionRow{Process: "entry-9", Incarnation: 1}
	s.registered = true
	for i, r := range rows {
		key := sessionPrefix + r.Process
		_ = s.updateMembers([]provider.Row{{Key: key, Value: encode(&r), Version: uint64(i + 1)}}, time.Now())
	}
	time.Sleep(wait)
	return s
}

func TestIsTerminated(t *testing.T) {
	row := func(incarnation uint64, state State, p *sessionRecord) sessionRow {
		return sessionRow{Process: "entry-2", Incarnation: incarnation, State: state, DataCentre: "pernik", Previous: p}
	}
	for _, c := range []struct {
		name string
		row  sessionRow
		id   string
		wait time.Duration
		want bool
	}{
		{"live", row(1, Live, nil), "entry-2@1", time.Hour, false},
		{"expired", row(1, Expired, nil), "entry-2@1", 0, true},
		{"ended", row(1, Ended, nil), "entry-2@1", 0, true},
		{"not observed yet", row(1, Expired, nil), "entry-2@2", time.Hour, false},
		{"replaced after expiry", row(2, Live, &sessionRecord{Incarnation: 1, State: Expired}), "entry-2@1", 0, true},
		{"replaced while live", row(2, Live, &sessionRecord{Incarnation: 1, State: Live}), "entry-2@1", 8 * time.Second, false},
		{"replaced while live, later", row(2, Live, &sessionRecord{Incarnation: 1, State: Live}), "entry-2@1", 9 * time.Second, true},
		{"unknown process", row(1, Expired, nil), "entry-3@1", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := newObservingSession(c.wait, c.row).isTerminated(c.id, time.Now()); got != c.want {
					t.Errorf("isTerminated = %v, want %v", got, c.want)
				}
			})
		})
	}
}

func TestGivePromise(t *testing.T) {
	live := sessionRow{Process: "entry-2", Incarnation: 3, State: Live, DataCentre: "pernik", Witnesses: []string{"entry-9@1"}}
	for _, c := range []struct {
		name  string
		setUp func(*Session)
		want  bool
	}{
		{"cut off", func(*Session) {}, true},
		{"reaches the platform", func(s *Session) { s.platformUnreachable = false }, false},
		{"expiry under way", func(s *Session) { s.promiseRefused["entry-2@3"] = true }, false},
		{"denied before", func(s *Session) { s.GivePromise("entry-2@3", 0) }, false},
		{"not observed since its registration", func(s *Session) { s.membersReadBy = "entry-9@0" }, false},
		{"ended itself", func(s *Session) { s.ended = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newObservingSession(0, live)
				s.platformUnreachable = true
				c.setUp(s)
				d, got := s.GivePromise("entry-2@3", time.Minute)
				if got != c.want || (got && d != s.TTL) {
					t.Errorf("promise = %v, %v, want %v for the TTL", d, got, c.want)
				}
			})
		})
	}
}

// A later start of a witness's process does not know the promises of the earlier
// start, so it must not deny one on its behalf.
func TestOnlyNamedWitnessDenies(t *testing.T) {
	row := sessionRow{Process: "entry-2", Incarnation: 3, State: Expired, DataCentre: "pernik", Witnesses: []string{"entry-9@1"}}
	s := newObservingSession(0, row)
	s.ownRow.Incarnation = 2
	if _, promised := s.GivePromise("entry-2@3", 0); !promised {
		t.Error("entry-9@2 denied for entry-9@1")
	}
	s.ownRow.Incarnation = 1
	if _, promised := s.GivePromise("entry-2@3", 0); promised {
		t.Error("the witness did not deny")
	}
}

// A shard is taken from an owner that may still act on promises, and its new
// owner ends before every worker is fenced. The next owner must not wait out
// leases either, although it takes the shard from a session that ended
// gracefully.
func TestUnsettledOwnerIsCarriedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		defer c.stop()
		extended := sessionRow{Process: "entry-0", Incarnation: 1, State: Expired, DataCentre: "pernik", Witnesses: []string{"entry-8@1"}, ExpiredBy: "entry-7@1"}
		ended := sessionRow{Process: "entry-1", Incarnation: 1, State: Ended, DataCentre: "pernik"}
		shard := shardRow{Session: "entry-1@1", Epoch: 2, Unsettled: []string{"entry-0@1"}}
		mustCommit(t, c.table, provider.Create("session/entry-0", encode(&extended)),
			provider.Create("session/entry-1", encode(&ended)),
			provider.Create("shard/pernik/rack-000", encode(&shard)))
		n := c.start("entry-2")
		c.checkFor(20 * time.Second)
		got := n.shards.Held()
		want := []Grant{{Shard: "rack-000", Epoch: 3, Previous: "entry-0@1"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("held (-want +got):\n%s", diff)
		}
		n.shards.MarkFenced("rack-000", 3)
		c.checkFor(5 * time.Second)
		if !n.shards.Held()[0].WaitOut.Allowed {
			t.Error("wait-out is not allowed after every worker was fenced")
		}
	})
}

func mustCommit(t *testing.T, f *fakeTable, ops ...provider.Op) {
	t.Helper()
	if _, err := f.Commit(context.Background(), ops...); err != nil {
		t.Fatal(err)
	}
}

func TestLateRenewalDoesNotUndoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		defer c.stop()
		n := c.start("entry-0")
		c.checkFor(5 * time.Second)
		if err := n.session.End(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.checkFor(5 * time.Second)
		row, err := decode[sessionRow](c.table.rows["session/entry-0"])
		if err != nil || row.State != Ended || n.session.Valid(time.Now()) {
			t.Errorf("row %+v, %v, valid %v; want it ended", row, err, n.session.Valid(time.Now()))
		}
	})
}

func TestEarlierStartStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		first := &Session{Table: table, Process: "entry-0", DataCentre: "pernik"}
		second := &Session{Table: table, Process: "entry-0", DataCentre: "pernik"}
		first.init()
		second.init()
		ctx := context.Background()
		if err := errors.Join(first.round(ctx), second.round(ctx)); err != nil {
			t.Fatal(err)
		}
		if err := first.Run(ctx); !errors.Is(err, ErrReplaced) {
			t.Errorf("Run = %v, want ErrReplaced", err)
		}
	})
}

// A process that cannot reach the platform keeps its shards: a peer relays its
// renewals, or its witnesses promise if no process can reach the platform.
func TestCutOffOwnerKeepsItsShards(t *testing.T) {
	for _, kind := range []string{"cut", "cut-all"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(1, 12)
				defer c.stop()
				for i := range 3 {
					c.start(process(i))
				}
				c.checkFor(20 * time.Second)
				n := c.current["entry-0"]
				before := n.shards.Held()
				c.inject(fault{Kind: kind, For: 5 * time.Minute}, 3)
				for range 280 {
					c.checkFor(time.Second)
					if !n.session.Valid(time.Now()) {
						t.Fatal("the session is not valid during the cut")
					}
				}
				if diff := cmp.Diff(before, n.shards.Held()); diff != "" || len(before) == 0 {
					t.Errorf("shards before and during the cut (-want +got):\n%s", diff)
				}
				if len(c.problems) > 0 {
					t.Error(c.problems[0])
				}
			})
		})
	}
}

// A joining member gets its share of the shards, at most MaxHandOvers from each
// owner per round, and no shard moves twice.
func TestHandOverIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 60)
		defer c.stop()
		a := c.start("entry-0")
		c.checkFor(20 * time.Second)
		b := c.start("entry-1")
		last := len(a.shards.Held())
		for range 60 {
			c.checkFor(1500 * time.Millisecond) // the shortest time between two rounds
			now := len(a.shards.Held())
			if last-now > DefaultMaxHandOvers {
				t.Fatalf("%d shards left in one round, want at most %d", last-now, DefaultMaxHandOvers)
			}
			last = now
		}
		moved := len(b.shards.Held())
		if moved < 15 || moved+last != 60 {
			t.Errorf("the members hold %d and %d of 60 shards", last, moved)
		}
		for _, g := range append(a.shards.Held(), b.shards.Held()...) {
			if g.Epoch > 2 {
				t.Errorf("shard %s has epoch %d, it moved more than once", g.Shard, g.Epoch)
			}
		}
	})
}

// A process may read its own row as expired before its next renewal fails. It
// must then plan nothing and keep its grants.
func TestPlanWithoutOwnLiveRow(t *testing.T) {
	s := newObservingSession(0, sessionRow{Process: "entry-9", Incarnation: 1, State: Expired, DataCentre: "pernik"})
	h := &Shards{Session: s, ListShards: func() []string { return []string{"rack-000"} }}
	h.init()
	h.rows["rack-000"] = &observedShard{row: &shardRow{Session: s.ID(), Epoch: 1}, version: 1}
	h.addGrant(s.ID(), "rack-000")
	if cs := h.plan(s.ID(), time.Now()); len(cs) != 0 || len(h.Held()) != 1 {
		t.Errorf("plan = %+v with %d shards held, want nothing and 1", cs, len(h.Held()))
	}
}

// measureTakeover returns the table calls and the virtual time that one process
// needs to take over n shards from a process that was killed.
func measureTakeover(t testing.TB, n, readBudget int) (reads, writes int, took time.Duration) {
	c := newCluster(1, n)
	c.prepare = func(n *node) { n.session.ReadBudget = readBudget }
	defer c.stop()
	a := c.start("entry-0")
	c.checkFor(10 * time.Second)
	b := c.start("entry-1")
	c.checkFor(3 * time.Second)
	if held := len(a.shards.Held()); held != n {
		t.Fatalf("the first process holds %d of %d shards", held, n)
	}
	c.kill(a)
	start := time.Now()
	r, w := c.table.counts()
	for len(b.shards.Held()) < n && time.Since(start) < time.Minute {
		c.checkFor(100 * time.Millisecond)
	}
	r2, w2 := c.table.counts()
	return r2 - r, w2 - w, time.Since(start)
}

func (f *fakeTable) counts() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

func TestTakeoverIsBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads, writes, took := measureTakeover(t, 138, 0)
		t.Logf("138 shards: %d reads, %d writes, %v of virtual time", reads, writes, took)
		if writes > 20 { // 3 takeover commits, 1 expiry and a renewal every 2 s
			t.Errorf("%d writes, want at most 20", writes)
		}
	})
}

func BenchmarkTakeover(b *testing.B) {
	for _, shards := range []int{17, 69, 138} {
		for _, budget := range []int{0, 1} {
			b.Run(fmt.Sprintf("shards-%d-budget-%d", shards, budget), func(b *testing.B) {
				var reads, writes int
				var took time.Duration
				for b.Loop() {
					synctest.Test(&testing.T{}, func(*testing.T) { reads, writes, took = measureTakeover(b, shards, budget) })
				}
				b.ReportMetric(float64(reads), "reads")
				b.ReportMetric(float64(writes), "writes")
				b.ReportMetric(took.Seconds(), "virtual-s")
			})
		}
	}
}
