// Command stand-3 plays one case of the third review: it starts a stand-in of the platform on
// loopback, the project's own processes against it, and clients.
//
//	stand-3 -case oversize -record review/11/record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	mostTime = 115 * time.Second // of a case
	held     = 0
	broken   = 1
	failed   = 2
)

// scene is what a case has to work with.
type scene struct {
	*world
	hosts   hosts
	trouble bool
	folder  string
}

// client returns a client that speaks to the hosts in turn.
func (s *scene) client() *client { return &client{world: s.world, hosts: s.hosts} }

// play is a case. It returns whether the rule was broken, and how.
type play struct {
	hosts, runners int
	secondFrom     int // number of the first runner of the other service, 0 for none
	run            func(context.Context, *scene) (broken string, err error)
}

var cases = map[string]play{}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	logs := flag.String("logs", "", "folder in which the logs of the processes are kept, none if empty")
	flag.Parse()
	p, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", *name)
		os.Exit(failed)
	}
	os.Exit(p.play(*path, *logs))
}

// play plays the case and returns the exit code.
func (p play) play(path, logs string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fault, err := p.within(r, logs)
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		return failed
	case fault != "":
		r.write("BROKEN: %s", fault)
		return broken
	}
	r.write("the rule held")
	return held
}

// within sets the scene in a temporary folder, plays the case and ends all that was started.
func (p play) within(r *record, logs string) (fault string, err error) {
	folder, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return "", fmt.Errorf("temporary folder: %w", err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), mostTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	w := newWorld(r, group)
	w.secondFrom = p.secondFrom
	if err := w.run(ctx, p.runners); err != nil {
		return "", err
	}
	all, err := startHosts(ctx, p.hosts, folder, w.address)
	defer all.kill()
	if err == nil {
		r.write("%d processes are ready, %d runners, trouble %v", len(all), p.runners, os.Getenv("TROUBLE") != "0")
		fault, err = p.run(ctx, &scene{world: w, hosts: all, trouble: os.Getenv("TROUBLE") != "0", folder: folder})
	}
	if logs != "" {
		err = firstOf(err, all.keepLogs(logs))
	}
	if ctx.Err() != nil {
		err = firstOf(err, ctx.Err())
	}
	return fault, err
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
