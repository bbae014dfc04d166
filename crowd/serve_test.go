package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
)

// Settings of an entry process, with limits that follow from the bounds of the test.
const entrySettings = `[process]
name = e1
data-centre = dc1
caller-address = %[1]s
relay-address = %[2]s
[platform]
address = %[3]s
[peers]
seeds = %[2]s
[keys]
authority = %[4]s/ca.pem
certificate = %[4]s/e1.pem
private-key = %[4]s/e1.key
[session]
renew-every = 1s
ttl = 3s
margin = 500ms
[limits]
job-shards = 2
max-body-bytes = %[5]d
max-connections = %[6]d
max-held-bytes = %[7]d
`

const (
	entryOrganisation = "workshop"
	entryConnections  = 2  // a part of the descriptors
	entryHeld         = 16 // a part of the memory
	handshakeCrowd    = 450
)

// startEntry starts a stand-in of the platform and one entry process, and waits until it
// serves.
func startEntry(t *testing.T, l limits) (*target, string) {
	t.Helper()
	p := &standin.Platform{Listen: "127.0.0.1:0", Layout: standin.Layout{
		DataCentres: 1, Racks: 1, Workers: workers, Runners: 2, Service: "jobs", Slots: 8,
		Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 32768},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // all end by the cancel
	})
	group.Go(func() error { return p.Run(ctx) })
	token := keys.NewToken()
	publisher := chain.Publisher{Table: &provider.Client{Address: p.Address(), Name: "tester"}}
	if _, err := publisher.Publish(ctx, 0, pool.Configuration{
		Organisations: []pool.Organisation{{Name: entryOrganisation, Weight: 1, TokenHashes: []string{token.Digest().String()}}},
		Services:      []pool.Service{{Name: "jobs", RetryPercent: 10}},
	}, "tester", "crowd"); err != nil {
		t.Fatal(err)
	}
	addresses := freeAddresses(t, 2)
	g := &target{T: t, limits: l, front: addresses[0], exchange: addresses[1], exited: make(chan struct{})}
	folder := t.TempDir()
	host, _, err := net.SplitHostPort(g.front)
	if err != nil {
		t.Fatal(err)
	}
	made, err := keys.NewTestCA([]string{"e1"}, []net.IP{net.ParseIP(host)})
	if err == nil {
		err = made.Write(folder)
	}
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(entrySettings, g.front, g.exchange, p.Address(), folder, bodyBytes, l.descriptors/entryConnections, l.memoryMB<<20/entryHeld)
	settings := filepath.Join(folder, "e1.ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.launch("serve", settings, filepath.Join(folder, "e1.log"))
	group.Go(func() error {
		g.sample(ctx)
		return nil
	})
	secret := token.Reveal()
	g.ordinary = func() int { return g.submitToEntry(secret) }
	g.ask()
	return g, secret
}

// entryBody returns a submission of a size.
func entryBody(size int) []byte {
	text := fmt.Sprintf(`{"organisation":%q,"class":"batch","demand":{"milli-cpu":100,"memory-mb":10},"estimate-ms":50,"tasks":[{"work":{"run-ms":50}}]}`, entryOrganisation)
	return []byte(text + strings.Repeat(" ", max(0, size-len(text))))
}

// submitToEntry sends an ordinary job on a connection of its own and returns the status, 0 if
// there was no answer.
func (g *target) submitToEntry(secret string) int {
	ctx, cancel := context.WithTimeout(g.Context(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/v1/jobs", bytes.NewReader(entryBody(0)))
	if err != nil {
		g.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+secret)
	q.Close = true
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	if a.StatusCode == http.StatusCreated {
		return http.StatusOK
	}
	return a.StatusCode
}

// atEntry is the callers' interface of an entry process. The crowd holds a token: it is
// clients of customers that misbehave.
func (g *target) atEntry(secret string, body []byte) place {
	return place{
		address: g.front, host: "jobs.example\r\nAuthorization: Bearer " + secret, body: body,
		path: func(int) string { return "/v1/jobs" },
	}
}

// atService is the same interface for requests that runners answer.
func (g *target) atService(secret string) place {
	p := g.atEntry(secret, bytes.Repeat([]byte{' '}, bodyBytes))
	p.path = func(int) string { return "/v1/services/jobs/match" }
	return p
}

func TestWholeBodiesAtEntry(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.wholeBodies(g.atEntry(secret, entryBody(bodyBytes)), bodyCrowd)
	g.judge()
}

func TestPiecesAtEntry(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.pieces(g.atEntry(secret, entryBody(bodyBytes)), bodyCrowd)
	g.judge()
}

func TestLargeChunksAtEntry(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.chunks(g.atEntry(secret, entryBody(bodyBytes)), bodyCrowd, largeChunk)
	g.judge()
}

func TestChunksOfAByteAtEntry(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.chunks(g.atEntry(secret, entryBody(bodyBytes)), bodyCrowd, 1)
	g.judge()
}

// Submissions of legal size that decode to many times their size.
func TestBodiesOfManyTasksAtEntry(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	body := []byte(`{"tasks":[{}` + strings.Repeat(",{}", (bodyBytes-20)/3) + "]}")
	p := g.atEntry(secret, body)
	g.gather(p.address, stepsCrowd, func(i int, c *client) {
		c.write(append(head(http.MethodPost, p.host, p.path(i), len(p.body)), p.body...))
	})
	g.judge()
}

// Requests of a service, whose bodies are passed on to a runner while they arrive.
func TestWholeBodiesAtService(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.wholeBodies(g.atService(secret), bodyCrowd)
	g.judge()
}

func TestPiecesAtService(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.pieces(g.atService(secret), bodyCrowd)
	g.judge()
}

func TestLargeChunksAtService(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.chunks(g.atService(secret), bodyCrowd, largeChunk)
	g.judge()
}

func TestChunksOfAByteAtService(t *testing.T) {
	g, secret := startEntry(t, memoryLimits)
	g.chunks(g.atService(secret), bodyCrowd, 1)
	g.judge()
}

func TestHeadersAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.headers(g.front, connectionCrowd)
	g.judge()
}

const entryReadinessCall = "GET /readyz HTTP/1.1\r\nHost: e1\r\n\r\n"

func TestSilentConnectionsAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.silent(g.front, entryReadinessCall, connectionCrowd)
	g.judge()
}

func TestPipelinedCallsAtEntry(t *testing.T) {
	g, secret := startEntry(t, connectionLimits)
	p := g.atEntry(secret, entryBody(600))
	g.gather(g.front, connectionCrowd, func(i int, c *client) {
		var calls bytes.Buffer
		for range 20 {
			calls.Write(head(http.MethodPost, p.host, p.path(i), len(p.body)))
			calls.Write(p.body)
		}
		c.write(calls.Bytes()[:calls.Len()-1])
	})
	g.judge()
}

func TestUnreadAnswersAtEntry(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	g.unread(g.front, "GET /metrics HTTP/1.1\r\nHost: e1\r\n\r\n", 200, connectionCrowd)
	g.judge()
}

// Handshakes between processes from clients that hold no certificate, most of which stop
// short.
func TestHandshakesBetweenEntries(t *testing.T) {
	g, _ := startEntry(t, connectionLimits)
	certificates, err := keys.NewTestCA([]string{"stranger"}, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := certificates.Write(folder); err != nil {
		t.Fatal(err)
	}
	stranger := &keys.Store{
		Authority: filepath.Join(folder, "ca.pem"), Certificate: filepath.Join(folder, "stranger.pem"), Key: filepath.Join(folder, "stranger.key"),
		ReloadEvery: time.Hour,
	}
	if err := stranger.Load(); err != nil {
		t.Fatal(err)
	}
	config, err := stranger.ClientTLS("e1", "persimmonworks/1")
	if err != nil {
		t.Fatal(err)
	}
	config.InsecureSkipVerify, config.VerifyConnection, config.VerifyPeerCertificate = true, nil, nil
	var group errgroup.Group
	for range handshakeCrowd {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.Context(), holdTime)
			defer cancel()
			c, err := quic.DialAddr(ctx, g.exchange, config, &quic.Config{})
			if err != nil {
				return nil // refused, which is allowed
			}
			s, err := c.OpenStreamSync(ctx)
			if err != nil {
				return nil
			}
			if _, err := s.Write(bytes.Repeat([]byte{1}, bodyBytes)); errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	g.judge()
}
