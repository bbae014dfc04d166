// Package command holds the subcommands of the program persimmonworks.
//
// Usage:
//
//	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Version is set by the linker (-X) at a release.
var Version = "development"

// output is where a subcommand prints.
type output struct {
	out, err io.Writer
}

func (o *output) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.err, err)
	return subcommands.ExitFailure
}

// Main runs the subcommand that args name and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("persimmonworks", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "persimmonworks")
	commander.Output, commander.Error = stdout, stderr
	o := output{out: stdout, err: stderr}
	register := func(group string, commands ...subcommands.Command) {
		for _, c := range commands {
			commander.Register(c, group)
		}
	}
	register("", commander.HelpCommand(), commander.FlagsCommand(), commander.CommandsCommand(), &version{output: o})
	register("processes", &serve{output: o}, &schedule{output: o}, &check{output: o}, &makeKeys{output: o}, &try{output: o}, &configure{output: o})
	register("callers", &submit{output: o}, &status{output: o}, &cancel{output: o}, &call{output: o})
	register("experiments", &measurements{output: o}, &generate{output: o}, &soakCommand{output: o})
	c := client{notes: stderr}
	register("operators", &plan{output: o, client: c}, &confirm{output: o, client: c}, &progress{output: o, client: c},
		&history{output: o, client: c}, &undo{output: o, client: c}, &usageOf{output: o, client: c}, &burnOf{output: o, client: c},
		&hosts{output: o, client: c}, &processes{output: o, client: c}, &token{output: o})
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// version prints the version.
type version struct{ output }

func (*version) Name() string           { return "version" }
func (*version) Synopsis() string       { return "print the version" }
func (*version) Usage() string          { return "persimmonworks version\n" }
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintln(v.out, "persimmonworks", Version)
	return subcommands.ExitSuccess
}
