// Package keys holds the certificates with which processes know each other
// and the tokens with which callers and operators show who they are.
//
// A Store has one certificate with its private key and the authority that
// signs the certificates of all processes. The name of a process is the common
// name of its certificate and one of its DNS names. Files are read again when
// they change, and a new certificate or authority applies to every connection
// that starts afterwards; connections that exist go on. A set of files that
// does not fit together is reported, and the one before stays in force, so the
// three files may be replaced one after the other.
//
// Nothing in this package prints a private key or a token: Token and Store
// have String methods that redact, and errors name files, never their content.
//
// Usage:
//
//	s := &keys.Store{Authority: "ca.pem", Certificate: "entry-1.pem", Key: "entry-1.key"}
//	if err := s.Load(); err != nil { ... }
//	group.Go(func() error { return s.Run(ctx) })
//	listener, err := tls.Listen("tcp", address, s.ServerTLS("h2", "http/1.1"))
//
// Tests and the trial command make a whole set in memory:
//
//	bed, err := keys.Ephemeral([]string{"entry-1", "entry-2"}, nil)
//	s := bed.Store("entry-1")
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

const (
	defaultReload = 5 * time.Second
	maxFileBytes  = 1 << 20 // of one PEM file
)

// material is one consistent set of certificate, key and authority.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	stamp       stamp
}

// stamp tells whether the files have changed.
type stamp [3]struct {
	modified time.Time
	size     int64
}

// Store holds the certificate of one process. The exported fields are set
// before Load and not changed afterwards. Its methods may be called from any
// goroutine.
type Store struct {
	// Authority, Certificate and Key name PEM files.
	Authority, Certificate, Key string
	// ReloadEvery is the time between looks at the files; 0 means 5 s.
	ReloadEvery time.Duration
	// Report is called with the result of every reload; nil drops it.
	Report func(error)

	current atomic.Pointer[material]
}

// String names the certificate file and nothing of its content.
func (s *Store) String() string { return fmt.Sprintf("keys of %q", s.Certificate) }

// GoString redacts as String does.
func (s *Store) GoString() string { return s.String() }

// Load reads the files. On an error the set in force stays in force.
func (s *Store) Load() error {
	now, err := s.look()
	if err != nil {
		return err
	}
	return s.load(now)
}

func (s *Store) load(seen stamp) error {
	authority, err := readFile(s.Authority)
	if err != nil {
		return err
	}
	certificate, err := readFile(s.Certificate)
	if err != nil {
		return err
	}
	key, err := readFile(s.Key)
	if err != nil {
		return err
	}
	m, err := newMaterial(authority, certificate, key)
	if err != nil {
		return fmt.Errorf("keys %s, %s, %s: %w; replace all three by files of one authority", s.Authority, s.Certificate, s.Key, err)
	}
	m.stamp = seen
	s.current.Store(m)
	return nil
}

// Run reads the files again whenever they change, until ctx ends. A Store
// made in memory has no files, and Run only waits.
func (s *Store) Run(ctx context.Context) error {
	every := s.ReloadEvery
	if every <= 0 {
		every = defaultReload
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.refresh()
		}
	}
}

func (s *Store) refresh() {
	if s.Certificate == "" {
		return
	}
	seen, err := s.look()
	if err == nil {
		if m := s.current.Load(); m != nil && m.stamp == seen {
			return
		}
		err = s.load(seen)
	}
	if s.Report != nil {
		s.Report(err)
	}
}

func (s *Store) look() (stamp, error) {
	var seen stamp
	for i, name := range []string{s.Authority, s.Certificate, s.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return seen, fmt.Errorf("keys file %q: %w", name, err)
		}
		seen[i].modified, seen[i].size = info.ModTime(), info.Size()
	}
	return seen, nil
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, fmt.Errorf("keys file %q: %w", name, err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("keys file %q has %d bytes, more than %d", name, info.Size(), maxFileBytes)
	}
	return os.ReadFile(name)
}

// newMaterial checks that the certificate has the key and that the authority
// signed it.
func newMaterial(authority, certificate, key []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("the authority file holds no certificate")
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, fmt.Errorf("certificate: %w", err)
		}
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageAny}
	if _, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: usages}); err != nil {
		return nil, fmt.Errorf("certificate of %q: %w", pair.Leaf.Subject.CommonName, err)
	}
	return &material{certificate: pair, roots: roots}, nil
}
