package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/entry"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/standin"
)

// bed is a stand-in and some entry processes in this process.
type bed struct {
	stand     *standin.Platform
	table     *provider.Client
	processes map[string]*entry.Process // by name
	token     string
}

const bedTimeout = 30 * time.Second

// newBed starts a bed with n entry processes in each data centre of the layout
// and waits until all are ready.
func newBed(tb testing.TB, layout standin.Layout, n int) *bed {
	tb.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	b := &bed{stand: &standin.Platform{Listen: "127.0.0.1:0", Layout: layout}, processes: map[string]*entry.Process{}}
	outer, stopStand := context.WithCancel(context.Background())
	var standGroup errgroup.Group
	tb.Cleanup(func() { stop(); _ = group.Wait(); stopStand(); _ = standGroup.Wait() })
	standGroup.Go(func() error { return b.stand.Run(outer) })
	<-b.stand.Ready()
	b.table = &provider.Client{Address: b.stand.Address(), Name: "bed"}
	token := keys.NewToken()
	b.token = token.Reveal()
	c := pool.Configuration{
		Organisations: []pool.Organisation{{Name: "workshop", Weight: 1, TokenHashes: []string{token.Digest().String()}}},
		Services:      []pool.Service{{Name: layout.Service, RetryPercent: 10}},
	}
	publisher := chain.Publisher{Table: b.table}
	if _, err := publisher.Publish(ctx, 0, c, "bed", "first"); err != nil {
		tb.Fatal(err)
	}
	var names []string
	for i := range n * layout.DataCentres {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	certificates, err := keys.NewTestCA(names, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	for i, name := range names {
		p := b.process(tb, name, fmt.Sprintf("dc%d", i%layout.DataCentres+1), certificates.Store(name))
		b.processes[name] = p
		group.Go(func() error { return p.Run(ctx) })
	}
	for name := range b.processes {
		b.waitReady(tb, name)
	}
	return b
}

func (b *bed) process(tb testing.TB, name, dataCentre string, store *keys.Store) *entry.Process {
	tb.Helper()
	s, err := settings.Parse("bed", fmt.Appendf(nil, `[process]
name = %s
data-centre = %s
caller-address = 127.0.0.1:7080
relay-address = 127.0.0.1:7180
[platform]
address = %s
[keys]
authority = none
certificate = none
private-key = none
`, name, dataCentre, b.stand.Address()))
	if err != nil {
		tb.Fatal(err)
	}
	s.Process.CallerAddress = netAddress
	s.Process.RelayAddress = netAddress
	client := &provider.Client{Address: b.stand.Address(), Name: name}
	p := &entry.Process{
		Settings: s, Keys: store, Table: client, Objects: client.Objects(), Hosts: client,
		Log: &event.Log{Writer: io.Discard, Process: name, Level: event.LevelByName("error")},
	}
	if err := p.Prepare(); err != nil {
		tb.Fatal(err)
	}
	return p
}

func (b *bed) waitReady(tb testing.TB, name string) {
	tb.Helper()
	for end := time.Now().Add(bedTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get(b.address(name) + "/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	tb.Fatalf("process %s is not ready after %v", name, bedTimeout)
}

func (b *bed) address(name string) string { return "http://" + b.processes[name].CallerAddress() }

// owner returns the process that owns a shard by the table's word.
func (b *bed) owner(tb testing.TB, dataCentre, shard string) string {
	tb.Helper()
	for end := time.Now().Add(bedTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		row, err := b.table.Get(context.Background(), "shard/"+dataCentre+"/"+shard)
		if err != nil {
			continue
		}
		var r struct {
			Session string `json:"session"`
		}
		if json.Unmarshal(row.Value, &r) == nil && r.Session != "" {
			name, _, _ := strings.Cut(r.Session, "@")
			return name
		}
	}
	tb.Fatalf("nobody owns shard %s of %s after %v", shard, dataCentre, bedTimeout)
	return ""
}
