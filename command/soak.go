package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/soak"
)

// soakCommand runs whole processes against stand-ins while things break.
type soakCommand struct {
	output
	run   soak.Soak
	seeds uint64
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run processes against stand-ins of the platform while things break"
}

func (*soakCommand) Usage() string {
	return "persimmonworks soak [-seed N] [-seeds N] [-processes N] [-workers N] [-length TIME] [-directory DIR]\n"
}

// SetFlags implements subcommands.Command.
func (s *soakCommand) SetFlags(f *flag.FlagSet) {
	const length = 20 * time.Second
	f.Uint64Var(&s.run.Seed, "seed", 1, "first seed")
	f.Uint64Var(&s.seeds, "seeds", 1, "how many seeds, one after the other")
	f.IntVar(&s.run.Processes, "processes", 6, "processes of the scheduler")
	f.IntVar(&s.run.Workers, "workers", 24, "workers")
	f.DurationVar(&s.run.Length, "length", length, "how long things break")
	f.StringVar(&s.run.Directory, "directory", filepath.Join(os.TempDir(), "persimmonworks-soak"), "for settings and logs, one directory a seed")
}

// Execute implements subcommands.Command.
func (s *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	binary, err := os.Executable()
	if err != nil {
		return s.fail(err)
	}
	status := subcommands.ExitSuccess
	for n := range s.seeds {
		x := s.run
		x.Binary, x.Seed = binary, s.run.Seed+n
		x.Directory = filepath.Join(s.run.Directory, fmt.Sprint("seed-", x.Seed))
		r, err := x.Run(ctx)
		if err != nil {
			return s.fail(err)
		}
		if len(r.Broken) > 0 {
			status = subcommands.ExitFailure
		}
		s.print(r, x.Directory)
	}
	return status
}

func (s *soakCommand) print(r soak.Report, directory string) {
	fmt.Fprintf(s.out, "seed %d: %d jobs accepted, %d refused, %d unanswered; %d starts, %d faults; %d promises broken\n",
		r.Seed, r.Accepted, r.Refused, r.Unanswered, r.Starts, len(r.Faults), len(r.Broken))
	if len(r.Broken) == 0 {
		return
	}
	for _, f := range r.Faults {
		fmt.Fprintln(s.out, "  fault:", f)
	}
	for _, b := range r.Broken {
		fmt.Fprintln(s.out, "  broken:", b)
	}
	fmt.Fprintln(s.out, "  logs:", directory)
}
