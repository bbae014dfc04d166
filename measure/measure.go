// Package measure runs the experiments on the decision packages and writes
// their figures.
//
// An experiment compares the policies of the product with baselines on the same
// workload and seed, in virtual time: package workload says what arrives,
// package experiment drives the decisions, and package report shows the result.
// docs/MEASURES.md names the targets, and the command and seeds of each figure.
//
// Usage:
//
//	m := measure.Measure{Workloads: []string{"prado"}, Seeds: []uint64{1, 2, 3}, Out: os.Stdout}
//	err := m.Run()
package measure

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"persimmonworks.example/persimmonworks/measure/experiment"
	"persimmonworks.example/persimmonworks/measure/report"
	"persimmonworks.example/persimmonworks/measure/workload"
)

// Measure is a run of experiments. Exported fields are set before Run.
type Measure struct {
	Workloads   []string // built-in names or paths of files
	Experiments []string // names; empty for all
	Seeds       []uint64
	Folder      string // for plots; empty for none
	Out         io.Writer
}

// step is an experiment on one workload and seed.
type step func(m *Measure, w *workload.Workload, seed uint64) error

// named is an experiment with its name.
type named struct {
	name string
	run  step
}

var experiments = []named{
	{"requests", (*Measure).requests},
	{"blocking", (*Measure).blocking},
	{"burst", (*Measure).burst},
	{"tasks", (*Measure).tasks},
	{"shares", (*Measure).shares},
	{"gang", (*Measure).gang},
	{"failing", (*Measure).failing},
}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for _, e := range experiments {
		names = append(names, e.name)
	}
	return names
}

// Run runs the experiments. The error names the workload, experiment or file
// that is at fault.
func (m *Measure) Run() error {
	for _, name := range m.Experiments {
		if !slices.Contains(Names(), name) {
			return fmt.Errorf("experiment %q is not one of %v", name, Names())
		}
	}
	if m.Folder != "" {
		if err := os.MkdirAll(m.Folder, 0o755); err != nil {
			return fmt.Errorf("folder %q for plots: %w", m.Folder, err)
		}
	}
	for _, name := range m.Workloads {
		w, err := workload.Load(name)
		if err != nil {
			return err
		}
		for _, e := range experiments {
			if len(m.Experiments) > 0 && !slices.Contains(m.Experiments, e.name) {
				continue
			}
			fmt.Fprintf(m.Out, "workload %s, experiment %s, seeds %v\n", w.Name, e.name, m.Seeds)
			for _, seed := range m.Seeds {
				if err := e.run(m, w, seed); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// plot draws the waits of the most urgent stream, which is the first.
func (m *Measure) plot(w *workload.Workload, name string, seed uint64, results []*experiment.Result) error {
	if m.Folder == "" {
		return nil
	}
	stream := w.Streams[0].Name
	file := filepath.Join(m.Folder, fmt.Sprintf("%s-%s-%d.svg", w.Name, name, seed))
	return report.Plot(file, fmt.Sprintf("%s, %s, seed %d: %s", w.Name, name, seed, stream), stream, results)
}
