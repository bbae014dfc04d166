package command

import (
	"context"
	"flag"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/load"
)

// generate sends requests, and a batch if wanted, to a test bed.
type generate struct {
	output
	plan      load.Plan
	file      string
	addresses string
	caller    string
	token     string
}

func (*generate) Name() string     { return "load" }
func (*generate) Synopsis() string { return "send requests and a batch to a test bed on this machine" }

func (*generate) Usage() string {
	return "persimmonworks load -addresses URL,URL -token TOKEN -rate 200 -count 1000 -seed 1\n" +
		"persimmonworks load -file load.ini\n" +
		"Open-loop: every request has its intended time, from which its latency counts. Each answer is\n" +
		"compared with what was sent. Loopback addresses only. Exits non-zero if an answer was wrong.\n" +
		"The file has the sections load (keys as the flags), classes (weights) and organisations (tokens).\n"
}

// SetFlags implements subcommands.Command.
func (g *generate) SetFlags(f *flag.FlagSet) {
	f.StringVar(&g.file, "file", "", "plan in INI; its keys go before the flags")
	f.StringVar(&g.addresses, "addresses", "http://127.0.0.1:7080", "base URLs of entry processes, taken in turn")
	f.StringVar(&g.token, "token", "", "bearer token of the organisation")
	f.StringVar(&g.caller, "organisation", "workshop", "name of the organisation")
	f.StringVar(&g.plan.Service, "service", "jobs", "service to call")
	f.StringVar(&g.plan.Path, "path", "match", "path below the service")
	f.Float64Var(&g.plan.Rate, "rate", 100, "requests a second")
	f.IntVar(&g.plan.Count, "count", 0, "requests in all; 0 sends until the time is over")
	f.DurationVar(&g.plan.Length, "length", 10*time.Second, "time in which requests are sent")
	f.DurationVar(&g.plan.Work, "work", 5*time.Millisecond, "time that a stand-in runner spends on a request")
	f.IntVar(&g.plan.Body, "body", 0, "least bytes of a request's body")
	f.DurationVar(&g.plan.Timeout, "timeout", 10*time.Second, "deadline of a request")
	f.Uint64Var(&g.plan.Seed, "seed", 1, "seed of arrival times, classes and organisations")
	f.IntVar(&g.plan.Tasks, "tasks", 0, "tasks of a batch that is submitted at the start")
	f.DurationVar(&g.plan.TaskTime, "task-time", 200*time.Millisecond, "run time of a task")
}

// Execute implements subcommands.Command.
func (g *generate) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	g.plan.Addresses = strings.Split(g.addresses, ",")
	if g.token != "" {
		g.plan.Organisations = []load.Organisation{{Name: g.caller, Token: g.token}}
	}
	if g.file != "" {
		text, err := readFile(g.file)
		if err != nil {
			return g.fail(err)
		}
		if err := g.plan.Read(g.file, text); err != nil {
			return g.fail(err)
		}
	}
	if err := g.run(ctx); err != nil {
		return g.fail(err)
	}
	return subcommands.ExitSuccess
}

func (g *generate) run(ctx context.Context) error {
	var group errgroup.Group
	if b := g.plan.Batch(); b != nil {
		group.Go(func() error {
			report, err := b.Submit(ctx)
			if err == nil {
				fmt.Fprint(g.out, report)
			}
			return err
		})
	}
	report, err := g.plan.Requests().Run(ctx)
	if err == nil {
		fmt.Fprint(g.out, report)
	}
	if err := errorOr(err, group.Wait()); err != nil {
		return err
	}
	if n := report.Count(load.Wrong); n > 0 {
		return fmt.Errorf("load: %d answers were not the whole answer to their own request", n)
	}
	return nil
}
