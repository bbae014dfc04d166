package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/console"
)

// printer prints tables, or the JSON of an answer.
type printer struct {
	output
	client
	json bool
}

func (p *printer) setFlags(f *flag.FlagSet) {
	p.flags(f)
	f.BoolVar(&p.json, "json", false, "print JSON")
}

// get fetches a path and prints its JSON, or lets table print the value.
func get[T any](ctx context.Context, p *printer, method, path string, table func(w *tabwriter.Writer, v T)) subcommands.ExitStatus {
	body, err := p.send(ctx, method, operatorPath+path, "application/json", nil)
	if err != nil {
		return p.fail(err)
	}
	if p.json {
		fmt.Fprint(p.out, string(body))
		return subcommands.ExitSuccess
	}
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return p.fail(fmt.Errorf("%s: %w", path, err))
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	table(w, v)
	_ = w.Flush() // the terminal is gone if this fails
	return subcommands.ExitSuccess
}

// confirm brings a plan into force.
type confirm struct {
	output
	client
	json bool
	wait time.Duration
}

func (*confirm) Name() string     { return "confirm" }
func (*confirm) Synopsis() string { return "bring a plan into force everywhere" }
func (*confirm) Usage() string {
	return "persimmonworks confirm [-wait 7s] DIGEST\n" +
		"Names the processes that have it in force and those that are cut off. A plan that has become stale is made anew; confirm the new digest.\n"
}

// SetFlags implements subcommands.Command.
func (c *confirm) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.DurationVar(&c.wait, "wait", 7*time.Second, "longest wait until it is in force everywhere, at most 20s")
}

// Execute implements subcommands.Command.
func (c *confirm) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(c.err, c.Usage())
		return subcommands.ExitUsageError
	}
	p := &printer{c.output, c.client, c.json}
	path := fmt.Sprintf("%s/plans/%s/confirm?wait-ms=%d", operatorPath, f.Arg(0), c.wait.Milliseconds())
	body, err := c.send(ctx, http.MethodPost, path, "application/json", nil)
	var refused *refusal
	if errors.As(err, &refused) {
		return c.again(refused)
	}
	if err != nil {
		return c.fail(fmt.Errorf("%w; confirm the same digest again, it takes effect once", err))
	}
	if p.json {
		fmt.Fprint(c.out, string(body))
		return subcommands.ExitSuccess
	}
	var done console.Confirmed
	if err := json.Unmarshal(body, &done); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.out, "configuration %d by %s\nin force at %s\n", done.Number, done.By, strings.Join(done.InForce, ", "))
	for _, x := range done.CutOff {
		fmt.Fprintf(c.out, "not in force at %s: %s\n", x.Process, x.Reason)
	}
	if len(done.CutOff) == 0 {
		fmt.Fprintf(c.out, "in force everywhere after %d ms\n", done.TookMS)
	}
	return subcommands.ExitSuccess
}

// again shows the plan that was made in place of a stale one.
func (c *confirm) again(refused *refusal) subcommands.ExitStatus {
	var anew console.Refusal
	if json.Unmarshal(refused.body, &anew) == nil && anew.Plan != nil {
		fmt.Fprintf(c.err, "%v\nthe plan was made anew; read it and confirm %s\n\n", refused, anew.Plan.Digest)
		fmt.Fprint(c.out, anew.Plan.Plan.Text())
		return subcommands.ExitFailure
	}
	return c.fail(refused)
}

// progress shows how far a confirmed plan is.
type progress struct {
	output
	client
	json bool
}

func (*progress) Name() string     { return "progress" }
func (*progress) Synopsis() string { return "show what of a plan still has to move or stop" }
func (*progress) Usage() string    { return "persimmonworks progress DIGEST\n" }

// SetFlags implements subcommands.Command.
func (p *progress) SetFlags(f *flag.FlagSet) {
	p.flags(f)
	f.BoolVar(&p.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (p *progress) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(p.err, p.Usage())
		return subcommands.ExitUsageError
	}
	return get(ctx, &printer{p.output, p.client, p.json}, http.MethodGet, "/plans/"+f.Arg(0)+"/progress", func(w *tabwriter.Writer, v console.Progress) {
		switch {
		case v.Number == 0:
			fmt.Fprintln(w, "not confirmed; nothing moves")
		case v.Done:
			fmt.Fprintf(w, "configuration %d: done\n", v.Number)
		default:
			fmt.Fprintf(w, "configuration %d: %d attempts are left on hosts that leave\n", v.Number, len(v.Left))
		}
		fmt.Fprintln(w, "ACTION\tORGANISATION\tTASK\tFROM\tSTATE\tNOW ON")
		for _, s := range v.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Action, s.Organisation, s.Task, s.From, s.State, s.Now)
		}
		for _, a := range v.Left {
			fmt.Fprintf(w, "left\t%s\t%s\t%s\tattempt %d\t\n", a.Organisation, a.Task, a.Host, a.Number)
		}
	})
}

// history shows the newest configurations.
type history struct {
	output
	client
	json  bool
	limit int
}

func (*history) Name() string     { return "history" }
func (*history) Synopsis() string { return "show who confirmed what, when and why" }
func (*history) Usage() string    { return "persimmonworks history [-limit 20]\n" }

// SetFlags implements subcommands.Command.
func (h *history) SetFlags(f *flag.FlagSet) {
	h.flags(f)
	f.BoolVar(&h.json, "json", false, "print JSON")
	f.IntVar(&h.limit, "limit", 20, "most configurations to show")
}

// Execute implements subcommands.Command.
func (h *history) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return get(ctx, &printer{h.output, h.client, h.json}, http.MethodGet, fmt.Sprintf("/history?limit=%d", h.limit), func(w *tabwriter.Writer, all []console.Past) {
		fmt.Fprintln(w, "NUMBER\tAT\tBY\tWHAT AND WHY")
		for _, x := range all {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", x.Number, x.At, x.By, x.Why)
		}
	})
}
