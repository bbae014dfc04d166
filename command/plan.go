package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/resource"
)

const operatorPath = "/v1/operator"

// plan states an intent and shows what it would do.
type plan struct {
	output
	client
	json       bool
	file       string
	in         intent.Intent
	class      string
	cores      float64
	memoryMB   int64
	units      int64
	hashes     string
	dataCentre string
	rack       string
	workers    int
	objective  pool.Objective
}

func (*plan) Name() string     { return "plan" }
func (*plan) Synopsis() string { return "state an intent and show what would move, stop or wait" }
func (*plan) Usage() string {
	return `persimmonworks plan [flags] KIND
Nothing changes until "persimmonworks confirm DIGEST". Kinds and their flags:
  add-organisation   -organisation -weight -token-hash [-cores -memory-mb -accelerators]
  set-weight         -organisation -weight
  set-quota          -organisation -cores -memory-mb -accelerators
  set-priority       -organisation -class -priority
  set-tokens         -organisation -token-hash (all that are to be valid, with commas)
  set-objective      -organisation -class -latency -percent -window
  drain-worker, drain-runner, drain-rack, drain-data-centre, undrain   -target
  add-capacity       -data-centre -rack -workers -cores -memory-mb -accelerators
Any intent can also be given as JSON with -file, see docs/API.md.
`
}

// SetFlags implements subcommands.Command.
func (p *plan) SetFlags(f *flag.FlagSet) {
	p.flags(f)
	f.BoolVar(&p.json, "json", false, "print JSON")
	f.StringVar(&p.file, "file", "", "intent in JSON; - is standard input")
	f.StringVar(&p.in.Organisation, "organisation", "", "organisation")
	f.StringVar(&p.class, "class", "", "class of work: urgent, interactive, batch or service")
	f.IntVar(&p.in.Weight, "weight", 1, "relative share")
	f.IntVar(&p.in.Priority, "priority", 0, "priority, -10 to 10")
	f.StringVar(&p.in.Target, "target", "", "host, rack or data centre")
	f.StringVar(&p.in.Why, "why", "", "reason, kept in the history")
	f.Float64Var(&p.cores, "cores", 0, "processors")
	f.Int64Var(&p.memoryMB, "memory-mb", 0, "memory in MB")
	f.Int64Var(&p.units, "accelerators", 0, "accelerators")
	f.StringVar(&p.hashes, "token-hash", "", "hashes of tokens, with commas, as \"persimmonworks token\" prints them")
	f.StringVar(&p.dataCentre, "data-centre", "", "data centre of new capacity")
	f.StringVar(&p.rack, "rack", "", "rack of new capacity")
	f.IntVar(&p.workers, "workers", 0, "number of new workers")
	f.DurationVar(&p.objective.Latency, "latency", 0, "longest time of a good answer, such as 800ms")
	f.Float64Var(&p.objective.Percent, "percent", 0, "share of good answers, such as 99.5")
	f.DurationVar(&p.objective.Window, "window", 30*24*time.Hour, "window of the objective")
}

// Execute implements subcommands.Command.
func (p *plan) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	body, err := p.body(f)
	if err != nil {
		fmt.Fprintf(p.err, "plan: %v\n%s", err, p.Usage())
		return subcommands.ExitUsageError
	}
	return p.propose(ctx, &p.client, "/plans", body, p.json)
}

func (p *plan) body(f *flag.FlagSet) ([]byte, error) {
	if p.file != "" {
		return readFile(p.file)
	}
	if f.NArg() != 1 {
		return nil, errors.New("name one kind of intent")
	}
	p.in.Kind, p.in.Class = intent.Kind(f.Arg(0)), class.Class(p.class)
	amount := resource.Vector{MilliCPU: int64(p.cores * resource.MilliPerCore), MemoryMB: p.memoryMB, Accelerators: p.units}
	switch p.in.Kind {
	case intent.AddOrganisation:
		p.in.Add = &pool.Organisation{Name: p.in.Organisation, Weight: p.in.Weight, Quota: amount, TokenHashes: split(p.hashes)}
		p.in.Organisation, p.in.Weight = "", 0
	case intent.SetQuota:
		p.in.Quota = amount
	case intent.SetTokens:
		p.in.TokenHashes = split(p.hashes)
	case intent.SetObjective:
		o := p.objective
		o.Organisation, o.Class = p.in.Organisation, p.in.Class
		p.in.Objective = &o
	case intent.AddCapacity:
		p.in.Capacity = &pool.PlannedCapacity{DataCentre: p.dataCentre, Rack: p.rack, Workers: p.workers, Each: amount}
	}
	if p.in.Kind != intent.SetWeight {
		p.in.Weight = 0
	}
	return json.Marshal(p.in)
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// propose sends an intent and prints its plan.
func (o *output) propose(ctx context.Context, c *client, path string, body []byte, asJSON bool) subcommands.ExitStatus {
	accept := "text/plain"
	if asJSON {
		accept = "application/json"
	}
	text, err := c.send(ctx, http.MethodPost, operatorPath+path, accept, body)
	if err != nil {
		return o.fail(err)
	}
	fmt.Fprint(o.out, string(text))
	return subcommands.ExitSuccess
}

// undo proposes to take back a configuration.
type undo struct {
	output
	client
	json bool
	in   console.Undo
}

func (*undo) Name() string     { return "undo" }
func (*undo) Synopsis() string { return "plan to take back what one configuration changed" }
func (*undo) Usage() string {
	return "persimmonworks undo -number N [-why REASON]\nShows a plan, as \"persimmonworks plan\" does; N is from \"persimmonworks history\".\n"
}

// SetFlags implements subcommands.Command.
func (u *undo) SetFlags(f *flag.FlagSet) {
	u.flags(f)
	f.BoolVar(&u.json, "json", false, "print JSON")
	f.Uint64Var(&u.in.Number, "number", 0, "number of the configuration to take back")
	f.StringVar(&u.in.Why, "why", "", "reason, kept in the history")
}

// Execute implements subcommands.Command.
func (u *undo) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if u.in.Number == 0 {
		fmt.Fprint(u.err, "undo: -number is missing\n", u.Usage())
		return subcommands.ExitUsageError
	}
	body, err := json.Marshal(u.in)
	if err != nil {
		return u.fail(err)
	}
	return u.propose(ctx, &u.client, "/undo", body, u.json)
}
