package command

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/entry"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/settings"
)

// serve runs an entry process.
type serve struct {
	output
	settings string
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run an entry process" }
func (*serve) Usage() string    { return "persimmonworks serve -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "persimmonworks.ini", "settings file")
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := settings.Load(s.settings)
	if err != nil {
		return s.fail(err)
	}
	log := &event.Log{Writer: s.err, Level: event.LevelByName(loaded.Log.Level), Console: loaded.Log.Format == "console", Process: loaded.Process.Name}
	store := &keys.Store{
		Authority: loaded.Keys.Authority, Certificate: loaded.Keys.Certificate, Key: loaded.Keys.PrivateKey,
		ReloadEvery: loaded.Keys.ReloadEvery,
		OnReload:    func(err error) { log.Emit(event.KeysRefused, "error", err) },
	}
	if err := store.Load(); err != nil {
		return s.fail(err)
	}
	client := &provider.Client{Address: loaded.Platform.Address, Name: loaded.Process.Name, Timeout: loaded.Platform.Timeout}
	p := &entry.Process{Settings: loaded, Keys: store, Table: client, Objects: client.Objects(), Hosts: client, Log: log}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer stop()
		return p.Run(ctx)
	})
	group.Go(func() error {
		reload, done := context.WithCancel(context.WithoutCancel(ctx))
		defer done()
		group.Go(func() error { return store.Run(reload) })
		return watchSignals(ctx, signals, stop, p, log)
	})
	if err := group.Wait(); err != nil {
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}

// watchSignals begins the graceful shutdown at the first signal, tells at the
// second what would be cut off, and ends the process at the third.
func watchSignals(ctx context.Context, signals <-chan os.Signal, stop func(), p *entry.Process, log *event.Log) error {
	count := 0
	done := p.Done()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			if count == 0 {
				<-done
				return nil
			}
			ctx = context.WithoutCancel(ctx) // later signals still count
		case <-signals:
			count++
			switch count {
			case 1:
				stop()
			case 2:
				log.Emit(event.ShutdownForced, "requests", p.InFlight())
			default:
				return fmt.Errorf("ended by a third signal with %d requests in flight", p.InFlight())
			}
		}
	}
}

// makeKeys makes the certificates of a test bed.
type makeKeys struct {
	output
	directory string
	names     string
	addresses string
}

func (*makeKeys) Name() string     { return "keys" }
func (*makeKeys) Synopsis() string { return "make an authority and a certificate for each process" }
func (*makeKeys) Usage() string {
	return "persimmonworks keys -directory DIR -names e1,e2 -addresses 127.0.0.1\n"
}

// SetFlags implements subcommands.Command.
func (k *makeKeys) SetFlags(f *flag.FlagSet) {
	f.StringVar(&k.directory, "directory", "keys", "where to write")
	f.StringVar(&k.names, "names", "", "names of the processes, with commas")
	f.StringVar(&k.addresses, "addresses", "127.0.0.1", "IP numbers of the processes, with commas")
}

// Execute implements subcommands.Command.
func (k *makeKeys) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var ips []net.IP
	for _, text := range strings.Split(k.addresses, ",") {
		ip := net.ParseIP(text)
		if ip == nil {
			return k.fail(fmt.Errorf("keys: -addresses: %q is not an IP number", text))
		}
		ips = append(ips, ip)
	}
	if k.names == "" {
		return k.fail(fmt.Errorf("keys: -names: at least one name is needed"))
	}
	bed, err := keys.NewTestCA(strings.Split(k.names, ","), ips)
	if err != nil {
		return k.fail(err)
	}
	if err := os.MkdirAll(k.directory, 0o700); err != nil {
		return k.fail(fmt.Errorf("keys: %w", err))
	}
	if err := bed.Write(k.directory); err != nil {
		return k.fail(err)
	}
	fmt.Fprintf(k.out, "%v written to %s\n", bed, k.directory)
	return subcommands.ExitSuccess
}
