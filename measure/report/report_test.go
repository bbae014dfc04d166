package report_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonworks.example/persimmonworks/measure/experiment"
	"persimmonworks.example/persimmonworks/measure/report"
)

// A plot is drawn whether work waits, does not wait at all, or has not
// started.
func TestPlot(t *testing.T) {
	for name, waits := range map[string][]int64{"spread": {1, 100, 1e6}, "none": {1, 1, 1}, "empty": nil} {
		h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
		for _, w := range waits {
			_ = h.RecordValue(w)
		}
		r := &experiment.Result{Policy: "p", Streams: []*experiment.Stream{{Name: "s", Wait: h}}}
		if err := report.Plot(filepath.Join(t.TempDir(), name+".svg"), name, "s", []*experiment.Result{r}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
