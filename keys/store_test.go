package keys

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// handshake connects client to server and returns the peer name that each side
// verified.
func handshake(t *testing.T, server, client *Store) (seenByServer, seenByClient string, err error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerTLS("test"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var g errgroup.Group
	g.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if err := c.(*tls.Conn).Handshake(); err != nil {
			return err
		}
		seenByServer, err = PeerName(c.(*tls.Conn).ConnectionState())
		return err
	})
	config, err := client.ClientTLS("127.0.0.1", "test")
	if err != nil {
		_ = l.Close()
		_ = g.Wait()
		return "", "", err
	}
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(raw, config)
	defer c.Close()
	if err = c.Handshake(); err == nil {
		seenByClient, err = PeerName(c.ConnectionState())
	} else {
		_ = raw.Close()
	}
	if serverErr := g.Wait(); serverErr != nil {
		return "", "", serverErr
	}
	return seenByServer, seenByClient, err
}

func newTestCA(t *testing.T, names ...string) *TestCA {
	t.Helper()
	b, err := NewTestCA(names, nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Processes with certificates of the same authority connect and see each other's
// names. A process of another authority, or without a certificate, is rejected.
func TestMutualTLS(t *testing.T) {
	b, other := newTestCA(t, "entry-1", "entry-2"), newTestCA(t, "entry-2")
	server, client, err := handshake(t, b.Store("entry-1"), b.Store("entry-2"))
	if err != nil || server != "entry-2" || client != "entry-1" {
		t.Errorf("server saw %q, client saw %q, error %v", server, client, err)
	}
	if _, _, err := handshake(t, b.Store("entry-1"), other.Store("entry-2")); err == nil {
		t.Error("a process of another authority connected")
	}
	if _, _, err := handshake(t, b.Store("entry-1"), b.Store("nobody")); err == nil {
		t.Error("a process without a certificate connected")
	}
}

// Replaced files apply to the next connection without a restart. Files that do
// not match each other leave the previous credentials in use.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	old, fresh := newTestCA(t, "entry-1"), newTestCA(t, "entry-1")
	if err := old.Write(dir); err != nil {
		t.Fatal(err)
	}
	var reported []error
	s := &Store{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "entry-1.pem"),
		Key:         filepath.Join(dir, "entry-1.key"),
		OnReload:    func(err error) { reported = append(reported, err) },
	}
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	if s.reloadIfChanged(); len(reported) > 0 {
		t.Errorf("unchanged files were reloaded: %v", reported)
	}
	if err := os.WriteFile(s.Key, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s.reloadIfChanged(); len(reported) != 1 || reported[0] == nil {
		t.Errorf("a broken key was reported as %v", reported)
	}
	if _, _, err := handshake(t, old.Store("entry-1"), s); err != nil {
		t.Errorf("the old credentials are no longer in use: %v", err)
	}
	if err := fresh.Write(dir); err != nil {
		t.Fatal(err)
	}
	if s.reloadIfChanged(); len(reported) != 2 || reported[1] != nil {
		t.Errorf("the reload of the new files was reported as %v", reported)
	}
	if _, _, err := handshake(t, fresh.Store("entry-1"), s); err != nil {
		t.Errorf("the new credentials are not in use: %v", err)
	}
}

// No fmt verb prints a token or private key, also within other values.
func TestSecretsAreRedacted(t *testing.T) {
	token, b := NewToken(), newTestCA(t, "entry-1")
	holder := struct {
		T Token
		P *Token
		B *TestCA
		t Token
	}{token, &token, b, token}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		for _, value := range []any{token, &token, holder, b, b.Store("entry-1")} {
			text := fmt.Sprintf(verb, value)
			if strings.Contains(text, token.Reveal()) || strings.Contains(text, fmt.Sprintf("%x", token.Reveal())) || strings.Contains(text, "PRIVATE KEY") {
				t.Errorf("%s of %T prints a secret", verb, value)
			}
		}
	}
}

// Find matches a token by its digest and finds no unknown or empty token.
func TestTokenTable(t *testing.T) {
	var r TokenTable[string]
	a, b := NewToken(), NewToken()
	d, err := ParseDigest(a.Digest().String())
	if err != nil {
		t.Fatal(err)
	}
	r.Add(d, "prado")
	r.Add(TokenOf("").Digest(), "empty")
	if who, ok := r.Find(TokenOf(a.Reveal())); !ok || who != "prado" {
		t.Errorf("found %q, %v", who, ok)
	}
	for _, other := range []Token{b, {}} {
		if who, ok := r.Find(other); ok {
			t.Errorf("a token that was never added belongs to %q", who)
		}
	}
	if _, err := ParseDigest("abcd"); err == nil {
		t.Error("a short digest was accepted")
	}
}

// A key of a withdrawn authority is refused by a process that starts again with the new
// one, also when the process had accepted it before.
func TestWithdrawnKeyIsRefusedAfterRestart(t *testing.T) {
	dir := t.TempDir()
	old, fresh := newTestCA(t, "entry-1", "entry-2"), newTestCA(t, "entry-1", "entry-2")
	start := func() *Store {
		s := &Store{
			Authority:   filepath.Join(dir, "ca.pem"),
			Certificate: filepath.Join(dir, "entry-1.pem"),
			Key:         filepath.Join(dir, "entry-1.key"),
		}
		if err := s.Load(); err != nil {
			t.Fatal(err)
		}
		return s
	}
	if err := old.Write(dir); err != nil {
		t.Fatal(err)
	}
	if _, _, err := handshake(t, start(), old.Store("entry-2")); err != nil {
		t.Fatalf("a valid key: %v", err)
	}
	if err := fresh.Write(dir); err != nil {
		t.Fatal(err)
	}
	restarted := start()
	if _, _, err := handshake(t, restarted, old.Store("entry-2")); err == nil {
		t.Error("a withdrawn key is accepted after a restart")
	}
	if _, _, err := handshake(t, restarted, fresh.Store("entry-2")); err != nil {
		t.Errorf("a key of the new authority: %v", err)
	}
}
