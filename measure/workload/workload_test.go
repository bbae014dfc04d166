package workload_test

import (
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/measure/workload"
)

// The built-in workloads are valid, their bursts raise the load by the factor,
// and a fault is reported with its file, section and cause.
func TestLoad(t *testing.T) {
	for _, name := range workload.BuiltIn {
		w, err := workload.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		calm, burst := 0, 0
		for _, a := range w.Arrivals(1) {
			if !a.Stream.Burst {
				continue
			}
			switch since := a.At - w.BurstAt; {
			case since >= w.BurstRise && since < w.BurstLength:
				burst++
			case since < 0 && -since <= w.BurstLength-w.BurstRise:
				calm++
			}
		}
		if got := float64(burst) / float64(max(1, calm)); w.BurstLength > 0 && (got < 0.95*w.BurstFactor || got > 1.05*w.BurstFactor) {
			t.Errorf("%s: the burst is %.2f times the calm load, want %.2f", name, got, w.BurstFactor)
		}
	}
	if _, err := workload.Load("absent.ini"); err == nil {
		t.Error("a file that does not exist was read")
	}
	bad := "[workload]\nworkers = 1\n[stream s]\nclass = slow\n"
	if _, err := workload.Parse("bad.ini", []byte(bad)); err == nil || !strings.Contains(err.Error(), "bad.ini") || !strings.Contains(err.Error(), `class "slow"`) {
		t.Errorf("the error is %v, want one that names the file and the class", err)
	}
}
