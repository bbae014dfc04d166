package command

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/measure"
	"persimmonworks.example/persimmonworks/measure/workload"
)

// measurements runs experiments on the decision packages.
type measurements struct {
	output
	workloads, experiments, seeds, folder string
}

func (*measurements) Name() string     { return "measure" }
func (*measurements) Synopsis() string { return "run experiments on the decisions in virtual time" }

func (*measurements) Usage() string {
	return "persimmonworks measure [-workloads prado,returns] [-experiments requests,tasks] [-seeds 1,2,3] [-folder plots]\n" +
		"Experiments: " + strings.Join(measure.Names(), ", ") + ".\n"
}

// SetFlags implements subcommands.Command.
func (c *measurements) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.workloads, "workloads", strings.Join(workload.BuiltIn, ","), "built-in workloads or paths of INI files")
	f.StringVar(&c.experiments, "experiments", "", "experiments to run; empty for all")
	f.StringVar(&c.seeds, "seeds", "1,2,3", "seeds")
	f.StringVar(&c.folder, "folder", "", "folder for plots; empty for none")
}

// Execute implements subcommands.Command.
func (c *measurements) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	m := measure.Measure{Workloads: list(c.workloads), Experiments: list(c.experiments), Folder: c.folder, Out: c.out}
	for _, s := range list(c.seeds) {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return c.fail(fmt.Errorf("flag -seeds: %q is not a number of 0 or more: %w", s, err))
		}
		m.Seeds = append(m.Seeds, seed)
	}
	if err := m.Run(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// list returns the entries of a comma-separated list.
func list(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
