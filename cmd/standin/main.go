// Command standin runs stand-ins of the platform, its workers and its runners
// on one machine, for tests and trials.
//
// Usage:
//
//	standin serve -listen 127.0.0.1:7000 -data-centres 3 -racks 2 -workers 8 -runners 8
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
)

type serve struct {
	platform standin.Platform
	role     string
	capacity resource.Vector
	cores    int64
	length   time.Duration
}

var _ subcommands.Command = (*serve)(nil)

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "serve the stand-ins until a signal or -for ends them" }
func (*serve) Usage() string    { return "standin serve [flags]\n" }

func (s *serve) SetFlags(f *flag.FlagSet) {
	p := &s.platform
	f.StringVar(&p.Listen, "listen", "127.0.0.1:7000", "IP number and port")
	f.StringVar(&s.role, "role", string(standin.All), "all, platform or hosts")
	f.StringVar(&p.HostsAddress, "hosts-address", "", "base URL of the process with the hosts, if it is another one")
	f.IntVar(&p.Layout.DataCentres, "data-centres", 3, "data centres")
	f.IntVar(&p.Layout.Racks, "racks", 2, "racks in a data centre")
	f.IntVar(&p.Layout.Workers, "workers", 8, "workers in a rack")
	f.IntVar(&p.Layout.Runners, "runners", 8, "runners in a rack")
	f.StringVar(&p.Layout.Service, "service", "jobs", "service of the runners")
	f.IntVar(&p.Layout.Slots, "slots", 8, "slots of a runner")
	f.Int64Var(&s.cores, "cores", 16, "cores of a worker")
	f.Int64Var(&s.capacity.MemoryMB, "memory-mb", 32<<10, "memory of a worker, MB")
	f.Int64Var(&s.capacity.Accelerators, "accelerators", 0, "accelerators of a worker")
	f.DurationVar(&p.HostLag, "host-lag", time.Second, "age of the host list")
	f.DurationVar(&p.UsageLag, "usage-lag", time.Second, "age of reported usage")
	f.DurationVar(&s.length, "for", 0, "end after this time; 0 never")
}

func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p := &s.platform
	p.Role = standin.Role(s.role)
	switch p.Role {
	case standin.All, standin.Service, standin.HostsOnly:
	default:
		fmt.Fprintf(os.Stderr, "standin: role %q is not all, platform or hosts\n", s.role)
		return subcommands.ExitUsageError
	}
	s.capacity.MilliCPU = s.cores * resource.MilliPerCore
	p.Layout.Capacity = s.capacity
	if s.length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.length)
		defer cancel()
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error {
		select {
		case <-p.Ready():
			fmt.Println(p.Address())
		case <-ctx.Done():
		}
		return nil
	})
	if err := group.Wait(); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serve{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	cancel()
	os.Exit(int(status))
}
