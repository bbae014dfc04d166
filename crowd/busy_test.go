package crowd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/pause"
)

// Crowds whose clients are always busy: each connection sends one legal call after another
// for as long as the test goes on. Crowds and bounds were fixed before the product was
// changed for them.
const (
	busyCrowd    = 150 // connections, more than the interface has places
	busyCalls    = 4   // that a connection sends at a time
	busyPause    = 50 * time.Millisecond
	trickleTime  = 2500 * time.Millisecond // for one call to arrive, a piece at a time
	trickleSteps = 10
	reconnectors = 40 // clients that open and close connections as fast as they can
)

// crowdAddress is where most crowds come from. Ordinary callers have the usual address of
// this host or, where a test says so, the crowd's.
var crowdAddress = &net.TCPAddr{IP: net.IPv4(127, 9, 9, 9)}

// keepBusy runs a crowd until the test ends. A client whose connection is closed opens
// another one if again is true.
func (g *target) keepBusy(address string, from *net.TCPAddr, count int, again bool, calls func(ctx context.Context, c net.Conn)) {
	g.Helper()
	ctx, cancel := context.WithCancel(g.Context())
	var group errgroup.Group
	g.Cleanup(func() {
		cancel()
		_ = group.Wait() // the functions return nil
	})
	dialer := net.Dialer{LocalAddr: from, Timeout: sendBound}
	for range count {
		group.Go(func() error {
			for first := true; ctx.Err() == nil && (first || again); first = false {
				c, err := dialer.DialContext(ctx, "tcp", address)
				if err != nil {
					pause.For(ctx, busyPause)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				calls(ctx, c)
				stop()
				_ = c.Close() // the process may have closed it
			}
			return nil
		})
	}
	time.Sleep(holdTime)
}

// busy sends a few calls at a time until the connection is closed. It reads what is answered
// if read is true.
func busy(call string, read bool) func(ctx context.Context, c net.Conn) {
	text := []byte(strings.Repeat(call, busyCalls))
	return func(ctx context.Context, c net.Conn) {
		var group errgroup.Group
		if read {
			group.Go(func() error {
				_, err := io.Copy(io.Discard, c)
				_ = c.Close() // so that the writer learns it
				return err
			})
		}
		for ctx.Err() == nil {
			if _, err := c.Write(text); err != nil {
				break
			}
			pause.For(ctx, busyPause)
		}
		_ = c.Close()
		_ = group.Wait() // the connection has ended
	}
}

// trickle sends calls whose heads arrive a piece at a time, within each time limit.
func trickle(call string) func(ctx context.Context, c net.Conn) {
	return func(ctx context.Context, c net.Conn) {
		answer := make([]byte, 4096)
		for ctx.Err() == nil {
			text := call
			for range trickleSteps {
				n := (len(call) + trickleSteps - 1) / trickleSteps
				n = min(n, len(text))
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
				pause.For(ctx, trickleTime/trickleSteps)
			}
			if _, err := c.Read(answer); err != nil {
				return
			}
		}
	}
}

// once sends one call and reads the begin of its answer.
func once(call string) func(ctx context.Context, c net.Conn) {
	return func(_ context.Context, c net.Conn) {
		if _, err := io.WriteString(c, call); err == nil {
			_, _ = c.Read(make([]byte, 1)) // it may be refused
		}
	}
}

// stateOf asks the front for the state of a job that nobody knows.
const stateOf = "GET /plain/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

func TestBusyCallersAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, crowdAddress, busyCrowd, false, busy(stateOf, true))
	g.judge()
}

// The ordinary caller has the address of the crowd, as behind one balancer.
func TestBusyCallersOfOneAddressAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, nil, busyCrowd, false, busy(stateOf, true))
	g.judge()
}

func TestBusyCallersThatReadNothingAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, nil, busyCrowd, true, busy(stateOf, false))
	g.judge()
}

func TestBusyCallersThatComeBackAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, nil, busyCrowd, true, busy(stateOf, true))
	g.judge()
}

func TestTricklingCallsAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, nil, busyCrowd, true, trickle(stateOf))
	g.judge()
}

func TestReconnectingCallersAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.front, nil, reconnectors, true, once(stateOf))
	g.judge()
}

func TestBusyClientsBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.exchange, crowdAddress, busyCrowd, true, busy(stateCall, true))
	g.askAt(g.exchange, http.MethodPost, "/state", http.StatusOK)
	g.judge()
}

func TestBusyClientsOfOneAddressBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.exchange, nil, busyCrowd, true, busy(stateCall, true))
	g.askAt(g.exchange, http.MethodPost, "/state", http.StatusOK)
	g.judge()
}

func TestTricklingCallsBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.exchange, nil, busyCrowd, true, trickle(stateCall))
	g.askAt(g.exchange, http.MethodPost, "/state", http.StatusOK)
	g.judge()
}

func TestTricklingCallsAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.ready, nil, busyCrowd, true, trickle(readinessCall))
	g.askAt(g.ready, http.MethodGet, "/-/readiness", http.StatusOK)
	g.judge()
}

func TestBusyClientsAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.ready, crowdAddress, busyCrowd, true, busy(readinessCall, true))
	g.askAt(g.ready, http.MethodGet, "/-/readiness", http.StatusOK)
	g.judge()
}

func TestBusyClientsOfOneAddressAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.keepBusy(g.ready, nil, busyCrowd, true, busy(readinessCall, true))
	g.askAt(g.ready, http.MethodGet, "/-/readiness", http.StatusOK)
	g.judge()
}

func TestBusyCallersAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.keepBusy(g.front, crowdAddress, entryBusyCrowd, true, busy(entryReadinessCall, true))
	g.judge()
}

func TestBusyCallersOfOneAddressAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.keepBusy(g.front, nil, entryBusyCrowd, true, busy(entryReadinessCall, true))
	g.judge()
}

func TestTricklingCallsAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.keepBusy(g.front, nil, entryBusyCrowd, true, trickle(entryReadinessCall))
	g.judge()
}

// entryBusyCrowd is more connections than an entry process has places in these tests.
const entryBusyCrowd = 200

// askAt sends a call, each time on a connection of its own, until it is answered as wanted.
func (g *target) askAt(address, method, path string, want int) {
	g.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(answerBound)
	for {
		q, err := http.NewRequestWithContext(g.Context(), method, "http://"+address+path, http.NoBody)
		if err != nil {
			g.Fatal(err)
		}
		a, err := client.Do(q)
		if err == nil {
			_ = a.Body.Close() // the status says it
			if a.StatusCode == want {
				return
			}
		}
		if time.Now().After(end) {
			g.Fatalf("%s %s is not answered %d within %v: %v\n%s", method, path, want, answerBound, err, g.lastLines())
		}
		time.Sleep(100 * time.Millisecond)
	}
}
