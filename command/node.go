package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/intake"
	"persimmonworks.example/persimmonworks/meter"
	"persimmonworks.example/persimmonworks/node"
	"persimmonworks.example/persimmonworks/platform"
	"persimmonworks.example/persimmonworks/process"
	"persimmonworks.example/persimmonworks/revision"
)

const (
	settingsVariable = "PERSIMMONWORKS_SETTINGS"
	heapShare        = 0.6 // of the memory limit, from where the garbage collector works harder
	heapGrowth       = 200 // percent between two collections; weak hosts are short of processor time, not of memory
)

// schedule runs a process on the operators' platform.
type schedule struct {
	output
	settings string
}

func (*schedule) Name() string { return "schedule" }
func (*schedule) Synopsis() string {
	return "run a process of the scheduler on the operators' platform"
}

func (*schedule) Usage() string {
	return "persimmonworks schedule [-settings FILE]\n"
}

// SetFlags implements subcommands.Command.
func (s *schedule) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", os.Getenv(settingsVariable), "settings file")
}

// Execute implements subcommands.Command.
func (s *schedule) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := process.LoadSettings(s.settings)
	if err != nil {
		return s.fail(err)
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(loaded.MemoryMB<<20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	queue := &event.Queue{Writer: s.out}
	defer queue.Flush()
	log := &event.Limit{Emitter: &event.Log{Writer: queue, Process: loaded.Name}, Events: callEvents}
	p, err := assemble(loaded, log)
	if err != nil {
		return s.fail(err)
	}
	p.Tasks = append(p.Tasks, queue.Run)
	log.Emit(event.ProcessStarting, "version", Version, "data-centre", loaded.DataCentre)
	if err := p.Run(ctx, signals); err != nil {
		log.Emit(event.ProcessFailed, "error", err)
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}

// callEvents are written for calls that change nothing, as fast as callers send them.
var callEvents = []*event.Event{event.DocketJobRefused, event.DocketJobRepeated, event.RouteUnknown, event.KeyUnknown, event.CallFailed}

// assemble makes the process out of its parts.
func assemble(s *process.Settings, log event.Emitter) (*process.Process, error) {
	flow := &meter.DynamicMeter{}
	if err := flow.Open(); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	store := &platform.Store{Address: s.Store}
	routes := &platform.Routes{Store: store, Log: log}
	if err := gaugeConfiguration(flow, routes); err != nil {
		return nil, err
	}
	newest := &revision.Follower{Source: routes, Peers: &exchange.Client{}, Log: log}
	n := &node.Node{
		Identity: exchange.Hello{
			Name: s.Name, Incarnation: uint64(time.Now().UnixMilli()), Address: s.Exchange, DataCentre: s.DataCentre, Cores: s.Cores,
		},
		Tables: store.Table, WriteRate: s.Writes, Orders: &platform.Orders{}, Advisor: &platform.Advisor{Address: s.Advisor},
		Fleet: &platform.Fleet{Store: store, Log: log, Meter: flow}, Log: log, Meter: flow, Limits: s.Limits,
		Configuration: sharedRoutes{routes, newest}, Organisations: routes,
	}
	n.Prepare()
	bounds := process.NewIntake(s, log, flow)
	bounds.Callers.Refuse = http.HandlerFunc(platform.RefuseForRoom)
	if err := gaugeIntake(flow, bounds); err != nil {
		return nil, err
	}
	peers := &exchange.Server{Service: n}
	return &process.Process{
		Settings: s,
		Callers:  &platform.Front{Node: n, Routes: routes, Log: log, Meter: flow},
		Peers:    peers.Handler(),
		Metrics:  flow.Handler(),
		Known:    routes.Ready,
		Node:     n,
		Tasks:    []func(context.Context) error{routes.Run, newest.Run},
		Log:      log,
		Intake:   bounds,
	}, nil
}

// sharedRoutes is what processes tell each other of the configuration. It implements
// node.Configuration.
type sharedRoutes struct {
	*platform.Routes
	newest *revision.Follower
}

// Announce implements node.Configuration.
func (r sharedRoutes) Announce(version uint64, address string) { r.newest.Announce(version, address) }

// gaugeConfiguration adds what tells whether this process has the newest configuration.
func gaugeConfiguration(m *meter.DynamicMeter, r *platform.Routes) error {
	return errors.Join(
		m.Gauge("configuration.version", "", func() float64 { return float64(r.Version()) }),
		m.Gauge("configuration.age", "s", func() float64 { return r.Age().Seconds() }),
		m.Gauge("configuration.silence", "s", func() float64 { return r.Silence().Seconds() }),
	)
}

// gaugeIntake adds what clients hold at each interface.
func gaugeIntake(m *meter.DynamicMeter, bounds process.Intake) error {
	var all error
	for _, i := range bounds.All() {
		all = errors.Join(all, m.Gauge("ingress."+i.Name+".bytes", "By", func() float64 { return float64(i.Bytes()) }))
		all = errors.Join(all, m.Gauge("ingress."+i.Name+".waiting", "", func() float64 { return float64(i.Waiting()) }))
		all = errors.Join(all, m.Gauge("ingress."+i.Name+".call-gap", "s", func() float64 { return i.Gap().Seconds() }))
		for p := range intake.Phases {
			name := "ingress." + i.Name + ".connections." + p.String()
			all = errors.Join(all, m.Gauge(name, "", func() float64 { return float64(i.Connections(p)) }))
		}
	}
	return all
}
