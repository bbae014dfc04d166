package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/inspection"
	"persimmonworks.example/persimmonworks/platform"
	"persimmonworks.example/persimmonworks/settings"
)

// check examines settings files, and configurations before they are sent.
type check struct {
	output
	against string
	json    bool
}

func (*check) Name() string { return "check" }
func (*check) Synopsis() string {
	return "check settings files or configurations and report all findings"
}

func (*check) Usage() string {
	return "persimmonworks check [-json] [-against FILE] FILE...\n" +
		"A file that begins with { is a configuration as an operator sends it. With -against, what\n" +
		"differs from the configuration in that file is told as well. Nothing is written, and no\n" +
		"key is printed. The exit status is 0 without errors, 1 with some, 2 for wrong usage.\n"
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "configuration in force")
	f.BoolVar(&c.json, "json", false, "report on configurations in JSON, a line for each")
}

// report is what is said of one configuration.
type report struct {
	File     string               `json:"file"`
	Findings []inspection.Finding `json:"findings"`
	Changes  []inspection.Change  `json:"changes,omitempty"`
}

// Execute implements subcommands.Command.
func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(c.err, "check: name at least one file")
		return subcommands.ExitUsageError
	}
	var inForce *inspection.Configuration
	if c.against != "" {
		body, err := readFile(c.against)
		if err != nil {
			return c.fail(err)
		}
		var odd []inspection.Finding
		if inForce, odd = platform.ReadDraft(body); inForce == nil {
			return c.fail(fmt.Errorf("check: %s: %s", c.against, odd[0]))
		}
	}
	result := subcommands.ExitSuccess
	for _, name := range f.Args() {
		if c.checkFile(name, inForce) != subcommands.ExitSuccess {
			result = subcommands.ExitFailure
		}
	}
	return result
}

func (c *check) checkFile(name string, inForce *inspection.Configuration) subcommands.ExitStatus {
	body, err := readFile(name)
	if err != nil {
		return c.fail(err)
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return c.checkConfiguration(name, body, inForce)
	}
	if _, err := settings.Load(name); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.out, "%s: no findings\n", name)
	return subcommands.ExitSuccess
}

func (c *check) checkConfiguration(name string, body []byte, inForce *inspection.Configuration) subcommands.ExitStatus {
	r := report{File: name, Findings: []inspection.Finding{}}
	next, odd := platform.ReadDraft(body)
	r.Findings = append(r.Findings, odd...)
	if next != nil {
		r.Findings = append(r.Findings, inspection.Inspect(next)...)
		if inForce != nil {
			r.Changes = inspection.Compare(inForce, next)
		}
	}
	if err := c.print(r); err != nil {
		return c.fail(err)
	}
	if slices.ContainsFunc(r.Findings, func(f inspection.Finding) bool { return f.Severity == inspection.Error }) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *check) print(r report) error {
	if c.json {
		if err := json.NewEncoder(c.out).Encode(r); err != nil {
			return fmt.Errorf("check: %w", err)
		}
		return nil
	}
	for _, f := range r.Findings {
		fmt.Fprintf(c.out, "%s:%s\n", r.File, f)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(c.out, "%s: no findings\n", r.File)
	}
	for _, d := range r.Changes {
		fmt.Fprintf(c.out, "%s: changes: %s\n", r.File, d)
	}
	return nil
}
