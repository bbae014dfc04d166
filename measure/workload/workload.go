// Package workload describes what arrives in an experiment, and when.
//
// A Workload is read from an INI file: section [workload] gives the cell and
// the length of the run, and each section [stream NAME] a kind of work with its
// organisation, class, rate, and run times. Run times are log-normal, cut off
// at the longest; declared run times are wrong by up to DeclaredError times in
// either direction. Arrivals depend on the workload and the seed alone, so that
// all policies of an experiment meet the same work.
//
// Usage:
//
//	w, err := workload.Load("prado") // built in, or the path of a file
//	for _, a := range w.Arrivals(seed) { ... }
package workload

import (
	"embed"
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

//go:embed settings/*.ini
var builtIn embed.FS

// BuiltIn lists the names of the built-in workloads.
var BuiltIn = []string{"prado", "returns"}

// Workload is a cell and the work that arrives at it.
type Workload struct {
	Name           string        `ini:"name"`
	Workers        int           `ini:"workers"`
	Cores          int64         `ini:"cores"`     // of a worker
	MemoryMB       int64         `ini:"memory-mb"` // of a worker
	WorkersPerRack int           `ini:"workers-per-rack"`
	DataCentres    int           `ini:"data-centres"`
	Runners        int           `ini:"runners"`
	Slots          int           `ini:"slots"` // of a runner
	Duration       time.Duration `ini:"duration"`
	WarmUp         time.Duration `ini:"warm-up"`        // not measured
	DeclaredError  float64       `ini:"declared-error"` // largest factor, either way
	BurstAt        time.Duration `ini:"burst-at"`
	BurstLength    time.Duration `ini:"burst-length"` // zero for no burst
	BurstRise      time.Duration `ini:"burst-rise"`   // from calm to the full factor
	BurstFactor    float64       `ini:"burst-factor"`

	Streams []*Stream `ini:"-"`
}

// Stream is a kind of work.
type Stream struct {
	Name          string        `ini:"-"`
	Organisation  string        `ini:"organisation"`
	Weight        int           `ini:"weight"` // of the organisation
	ClassName     string        `ini:"class"`
	Rate          float64       `ini:"rate"`  // arrivals a second
	Batch         int           `ini:"batch"` // tasks of an arrival; below 1 counts as 1
	Median        time.Duration `ini:"median"`
	Sigma         float64       `ini:"sigma"` // of the logarithm of the run time
	Longest       time.Duration `ini:"longest"`
	MilliCPU      int64         `ini:"milli-cpu"`
	MemoryMB      int64         `ini:"memory-mb"`
	Deadline      time.Duration `ini:"deadline"` // after the arrival; zero for none
	Burst         bool          `ini:"burst"`    // takes part in the burst
	NonIdempotent bool          `ini:"non-idempotent"`
}

// Class returns the class of the work.
func (s *Stream) Class() class.Class { return class.Class(s.ClassName) }

// Demand returns what one task reserves.
func (s *Stream) Demand() resource.Vector {
	return resource.Vector{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB}
}

// Capacity returns that of one worker.
func (w *Workload) Capacity() resource.Vector {
	return resource.Vector{MilliCPU: w.Cores * resource.MilliPerCore, MemoryMB: w.MemoryMB}
}

// Pool returns the capacity of all workers.
func (w *Workload) Pool() resource.Vector { return w.Capacity().Scale(int64(w.Workers)) }

// Without returns the workload without the streams of a class.
func (w *Workload) Without(c class.Class) *Workload {
	out := *w
	out.Streams = nil
	for _, s := range w.Streams {
		if s.Class() != c {
			out.Streams = append(out.Streams, s)
		}
	}
	return &out
}

// Load reads a built-in workload by its name, or the file of that path. The
// error names the file, the section and the key at fault.
func Load(name string) (*Workload, error) {
	data, err := builtIn.ReadFile("settings/" + name + ".ini")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("workload %q is neither one of %v nor a readable file: %w", name, BuiltIn, err)
		}
	}
	return Parse(name, data)
}

// Parse reads a workload; the name is used in errors.
func Parse(name string, data []byte) (*Workload, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, fmt.Errorf("workload %q: %w", name, err)
	}
	w := &Workload{}
	if err := file.Section("workload").StrictMapTo(w); err != nil {
		return nil, fmt.Errorf("workload %q, section [workload]: %w", name, err)
	}
	for _, section := range file.Sections() {
		stream, ok := strings.CutPrefix(section.Name(), "stream ")
		if !ok {
			continue
		}
		s := &Stream{Name: stream}
		if err := section.StrictMapTo(s); err != nil {
			return nil, fmt.Errorf("workload %q, section [%s]: %w", name, section.Name(), err)
		}
		if err := s.check(); err != nil {
			return nil, fmt.Errorf("workload %q, section [%s]: %w", name, section.Name(), err)
		}
		w.Streams = append(w.Streams, s)
	}
	return w, w.check(name)
}

func (s *Stream) check() error {
	if _, err := class.Parse(s.ClassName); err != nil {
		return err
	}
	if s.Rate <= 0 || s.Median <= 0 || s.Longest < s.Median {
		return fmt.Errorf("rate %v and median %v must be above 0, and longest %v not below the median", s.Rate, s.Median, s.Longest)
	}
	return nil
}

func (w *Workload) check(name string) error {
	switch {
	case w.Workers < 1 || w.Cores < 1 || w.MemoryMB < 1 || w.WorkersPerRack < 1 || w.DataCentres < 1 || w.Runners < 1 || w.Slots < 1:
		return fmt.Errorf("workload %q: every size in section [workload] must be above 0", name)
	case w.Duration <= w.WarmUp:
		return fmt.Errorf("workload %q: duration %v must be above warm-up %v", name, w.Duration, w.WarmUp)
	case w.DeclaredError < 1:
		return fmt.Errorf("workload %q: declared-error %v must be at least 1", name, w.DeclaredError)
	case len(w.Streams) == 0:
		return fmt.Errorf("workload %q: add a section [stream NAME]", name)
	}
	return nil
}
