package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/usage"
)

// usageOf shows the accounts.
type usageOf struct {
	output
	client
	json, csv      bool
	from, to, last string
}

func (*usageOf) Name() string     { return "usage" }
func (*usageOf) Synopsis() string { return "show who reserved, used and wasted what" }
func (*usageOf) Usage() string {
	return "persimmonworks usage [-last 24h | -from TIME -to TIME] [-json | -csv]\n" +
		"Without a period the last minute is shown. TIME is such as 2026-12-04T06:00:00Z.\n"
}

// SetFlags implements subcommands.Command.
func (u *usageOf) SetFlags(f *flag.FlagSet) {
	u.flags(f)
	f.BoolVar(&u.json, "json", false, "print JSON")
	f.BoolVar(&u.csv, "csv", false, "print CSV")
	f.StringVar(&u.last, "last", "", "length of a period that ends now, such as 24h")
	f.StringVar(&u.from, "from", "", "begin of the period")
	f.StringVar(&u.to, "to", "", "end of the period")
}

// Execute implements subcommands.Command.
func (u *usageOf) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	q := url.Values{}
	for name, value := range map[string]string{"last": u.last, "from": u.from, "to": u.to} {
		if value != "" {
			q.Set(name, value)
		}
	}
	path := "/usage?" + q.Encode()
	if u.csv {
		return u.raw(ctx, &u.client, path, "text/csv")
	}
	return get(ctx, &printer{u.output, u.client, u.json}, http.MethodGet, path, func(w *tabwriter.Writer, v console.Usage) {
		fmt.Fprintf(w, "%s to %s, in core-seconds\n", v.From.Format(time.RFC3339), v.To.Format(time.RFC3339))
		fmt.Fprintln(w, "ORGANISATION\tCLASS\tRESERVED\tUSED\tSLACK\tWASTE\tUNKNOWN")
		for _, l := range v.Lines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Organisation, l.Class, coreSeconds(l.Reserved), coreSeconds(l.Used),
				coreSeconds(l.Slack), coreSeconds(l.Waste), coreSeconds(l.Unknown))
		}
		fmt.Fprintf(w, "pool\t\t%s\tidle %s\tof %s\tuncovered %s\t\n", coreSeconds(v.Reserved()), coreSeconds(v.Idle),
			coreSeconds(v.Capacity), coreSeconds(v.Uncovered))
		if v.Unclosed != "" {
			fmt.Fprintln(w, "the sums do not close:", v.Unclosed)
		}
	})
}

// raw prints an answer as it comes.
func (o *output) raw(ctx context.Context, c *client, path, accept string) subcommands.ExitStatus {
	body, err := c.send(ctx, http.MethodGet, operatorPath+path, accept, nil)
	if err != nil {
		return o.fail(err)
	}
	fmt.Fprint(o.out, string(body))
	return subcommands.ExitSuccess
}

// coreSeconds shows the processors of an amount.
func coreSeconds(a usage.Amount) string { return fmt.Sprintf("%.1f", float64(a.MilliCPU)/1e6) }

// burnOf shows the service-level burn.
type burnOf struct {
	output
	client
	json, html bool
}

func (*burnOf) Name() string     { return "burn" }
func (*burnOf) Synopsis() string { return "show how fast service-level objectives spend their budgets" }

func (*burnOf) Usage() string {
	return "persimmonworks burn [-json | -html > burn.html]\n" +
		"A rate of 1 spends exactly the budget of the window. Read docs/OPERATIONS.md for what to do.\n"
}

// SetFlags implements subcommands.Command.
func (b *burnOf) SetFlags(f *flag.FlagSet) {
	b.flags(f)
	f.BoolVar(&b.json, "json", false, "print JSON")
	f.BoolVar(&b.html, "html", false, "print one self-contained page")
}

// Execute implements subcommands.Command.
func (b *burnOf) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	accept := "text/plain"
	switch {
	case b.html:
		accept = "text/html"
	case b.json:
		accept = "application/json"
	}
	return b.raw(ctx, &b.client, "/burn", accept)
}

// hosts shows all workers and runners.
type hosts struct {
	output
	client
	json bool
}

func (*hosts) Name() string { return "hosts" }
func (*hosts) Synopsis() string {
	return "show all workers and runners, who owns them and why any is closed"
}
func (*hosts) Usage() string { return "persimmonworks hosts [-json]\n" }

// SetFlags implements subcommands.Command.
func (h *hosts) SetFlags(f *flag.FlagSet) {
	h.flags(f)
	f.BoolVar(&h.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (h *hosts) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return get(ctx, &printer{h.output, h.client, h.json}, http.MethodGet, "/hosts", func(w *tabwriter.Writer, all console.Gathered[console.Host]) {
		fmt.Fprintln(w, "HOST\tKIND\tDATA CENTRE\tRACK\tOWNER\tRUNNING\tSTATE")
		for _, x := range all.Items {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", x.ID, x.Kind, x.DataCentre, x.Rack, x.Owner, x.Running, stateOf(x))
		}
	})
}

func stateOf(h console.Host) string {
	switch {
	case h.Drained != "":
		return "drained by " + h.Drained
	case h.Leaving:
		return "leaving"
	case h.Closed != "":
		return "closed: " + h.Closed
	case h.Owner == "":
		return "no owner answers"
	}
	return "open"
}

// processes shows the entry processes.
type processes struct {
	output
	client
	json bool
}

func (*processes) Name() string     { return "processes" }
func (*processes) Synopsis() string { return "show the entry processes and the configuration each has" }
func (*processes) Usage() string    { return "persimmonworks processes [-json]\n" }

// SetFlags implements subcommands.Command.
func (p *processes) SetFlags(f *flag.FlagSet) {
	p.flags(f)
	f.BoolVar(&p.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (p *processes) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return get(ctx, &printer{p.output, p.client, p.json}, http.MethodGet, "/processes", func(w *tabwriter.Writer, all console.Processes) {
		fmt.Fprintln(w, "PROCESS\tDATA CENTRE\tCONFIGURATION\tSHARDS\tHEARD\tPLATFORM\tLEAVING")
		for _, x := range all.Processes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%v\n", x.Process, x.DataCentre, x.Number, x.Shards, x.Heard, x.PlatformReachable, x.Leaving)
		}
	})
}

// token makes a token.
type token struct{ output }

func (*token) Name() string     { return "token" }
func (*token) Synopsis() string { return "make a token and its hash" }
func (*token) Usage() string {
	return "persimmonworks token\nPrints a fresh secret, which is shown only here, and the hash that goes into a plan.\n"
}
func (*token) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (t *token) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	made := keys.NewToken()
	fmt.Fprintf(t.out, "token (give it to its owner, it is kept nowhere): %s\nhash (for -token-hash): %s\n", made.Reveal(), made.Digest())
	return subcommands.ExitSuccess
}
