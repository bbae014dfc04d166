package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

// configure publishes the first configuration of a pool.
type configure struct {
	output
	address string
	file    string
	by      string
}

func (*configure) Name() string     { return "configure" }
func (*configure) Synopsis() string { return "publish the first configuration of a pool" }
func (*configure) Usage() string {
	return "persimmonworks configure -platform URL -by NAME -file pool.json\n" +
		"Without -file a sample with an organisation, an operator and a service is published and its tokens are printed.\n"
}

// SetFlags implements subcommands.Command.
func (c *configure) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "platform", "http://127.0.0.1:7000", "base URL of the platform")
	f.StringVar(&c.file, "file", "", "configuration in JSON")
	f.StringVar(&c.by, "by", "operator", "who publishes it")
}

// Execute implements subcommands.Command.
func (c *configure) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sample := newSample()
	first := sample.configuration
	if c.file != "" {
		body, err := readFile(c.file)
		if err != nil {
			return c.fail(err)
		}
		first = pool.Configuration{}
		if err := json.Unmarshal(body, &first); err != nil {
			return c.fail(fmt.Errorf("configure: %s: %w", c.file, err))
		}
	}
	if found := pool.Check(&first); len(found) > 0 {
		return c.fail(found.Err())
	}
	p := chain.Publisher{Table: &provider.Client{Address: c.address}}
	number, err := p.Publish(ctx, 0, first, c.by, "first configuration")
	if err != nil {
		return c.fail(fmt.Errorf("configure: %w", err))
	}
	fmt.Fprintf(c.out, "configuration %d published\n", number)
	if c.file == "" {
		sample.print(&c.output)
	}
	return subcommands.ExitSuccess
}

// sample is a small configuration with fresh tokens.
type sample struct {
	configuration pool.Configuration
	names         []string
	tokens        []keys.Token
	operator      keys.Token
	service       string
}

// newSample makes two organisations, an operator and a service.
func newSample() *sample {
	s := &sample{names: []string{"workshop", "returns-office"}, operator: keys.NewToken(), service: "jobs"}
	for i, name := range s.names {
		t := keys.NewToken()
		s.tokens = append(s.tokens, t)
		s.configuration.Organisations = append(s.configuration.Organisations, pool.Organisation{
			Name: name, Weight: i + 1, TokenHashes: []string{t.Digest().String()},
		})
	}
	s.configuration.Operators = []pool.Operator{{Name: "operator", TokenHash: s.operator.Digest().String(), Role: pool.RoleOperator}}
	s.configuration.Services = []pool.Service{{Name: s.service, RetryPercent: 10}}
	return s
}

func (s *sample) print(o *output) {
	for i, name := range s.names {
		fmt.Fprintf(o.out, "token of organisation %s: %s\n", name, s.tokens[i].Reveal())
	}
	fmt.Fprintf(o.out, "token of the operator: %s\n", s.operator.Reveal())
}
