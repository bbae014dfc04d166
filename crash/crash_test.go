package crash_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/crash"
)

func TestJudge(t *testing.T) {
	const (
		bystander = crash.Bystander
		suspect   = crash.Suspect
		cause     = crash.Cause
	)
	fresh := func(job string, crashes, suspicions int) crash.Run {
		return crash.Run{Job: job, History: crash.History{Crashes: crashes, Suspicions: suspicions}, Begun: true}
	}
	unanswered := func(job string, crashes, suspicions int) crash.Run {
		r := fresh(job, crashes, suspicions)
		r.Begun = false
		return r
	}
	old := func(job string, crashes, suspicions int) crash.Run {
		r := fresh(job, crashes, suspicions)
		r.Settled = true
		return r
	}
	crowded := func(job string, crashes, suspicions int) crash.Run {
		r := old(job, crashes, suspicions)
		r.Crowded = true
		return r
	}
	for _, c := range []struct {
		name string
		runs []crash.Run
		want []crash.Verdict
	}{
		{"nothing ran", nil, []crash.Verdict{}},
		{"first crash", []crash.Run{fresh("a", 0, 0)}, []crash.Verdict{suspect}},
		{"one just begun", []crash.Run{old("a", 1, 1), fresh("b", 0, 0), old("c", 5, 1)}, []crash.Verdict{bystander, suspect, bystander}},
		{"only a bystander before", []crash.Run{fresh("a", 2, 0)}, []crash.Verdict{suspect}},
		{"on trial", []crash.Run{old("a", 0, 0), fresh("b", 1, 1), old("c", 1, 1)}, []crash.Verdict{bystander, cause, bystander}},
		{"on trial, the first start was not answered", []crash.Run{fresh("a", 0, 1)}, []crash.Verdict{suspect}},
		{"on trial, not answered", []crash.Run{old("a", 0, 0), unanswered("b", 1, 1)}, []crash.Verdict{bystander, suspect}},
		{"never answered, the fourth time", []crash.Run{unanswered("a", 0, 3)}, []crash.Verdict{cause}},
		{"two suspects of two jobs", []crash.Run{fresh("a", 1, 1), fresh("b", 1, 1)}, []crash.Verdict{suspect, suspect}},
		{"often in company", []crash.Run{fresh("a", 5, 5), fresh("b", 0, 0)}, []crash.Verdict{suspect, suspect}},
		{"a gang", []crash.Run{fresh("a", 1, 1), fresh("a", 0, 0)}, []crash.Verdict{cause, suspect}},
		{"all settled", []crash.Run{old("a", 0, 0), old("b", 2, 2)}, []crash.Verdict{suspect, suspect}},
		{"later crash, alone", []crash.Run{old("a", 3, 0)}, []crash.Verdict{cause}},
		{"later crash, no worker to be alone on", []crash.Run{crowded("a", 3, 0), old("b", 3, 0)}, []crash.Verdict{cause, suspect}},
		{"no worker to be alone on, another has just begun", []crash.Run{crowded("a", 3, 0), fresh("b", 0, 0)}, []crash.Verdict{cause, suspect}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := []crash.Verdict{}
			for _, j := range crash.Judge(c.runs) {
				got = append(got, j.Verdict)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("Judge(%v) = %v, want %v", c.runs, got, c.want)
			}
		})
	}
}

// No task is given up before the second crash under it, and something is suspected of
// each crash.
func TestJudgeNeedsTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crash.Run {
			return crash.Run{
				Job: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"),
				History: crash.History{
					Crashes:    rapid.IntRange(0, 4).Draw(t, "crashes"),
					Suspicions: rapid.IntRange(0, 4).Draw(t, "suspicions"),
				},
				Begun:   rapid.Bool().Draw(t, "begun"),
				Settled: rapid.Bool().Draw(t, "settled"),
			}
		}), 1, 8).Draw(t, "runs")
		suspects := 0
		for i, j := range crash.Judge(runs) {
			if j.Verdict != crash.Bystander {
				suspects++
			}
			if j.Verdict == crash.Cause && runs[i].Crashes < 1 && runs[i].Suspicions < 3 {
				t.Errorf("%v is given up after its first crash", runs[i])
			}
		}
		if suspects == 0 {
			t.Errorf("no suspect among %v", runs)
		}
	})
}

// A task that crashes its worker is given up soon, whatever runs beside it: with the
// fourth crash at the latest if it is placed by TrialFor.
func TestCauseIsFoundSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4
		atStart := rapid.Bool().Draw(t, "at-start")
		answered := !atStart || rapid.Bool().Draw(t, "answered")
		h := crash.History{}
		for range most {
			runs := []crash.Run{{Job: "deadly", History: h, Begun: answered, Settled: !atStart}}
			beside := rapid.IntRange(0, 3).Draw(t, "beside")
			for range beside {
				settled := rapid.Bool().Draw(t, "settled") || crash.TrialFor(h) == crash.Apart
				if crash.TrialFor(h) != crash.Alone {
					runs = append(runs, crash.Run{Job: "other", Begun: true, Settled: settled})
				}
			}
			j := crash.Judge(runs)[0]
			if j.Verdict == crash.Cause {
				return
			}
			if j.Counts {
				h.Crashes++
			}
			if j.Verdict == crash.Suspect {
				h.Suspicions++
			}
		}
		t.Errorf("not given up after %d crashes", most)
	})
}
