// Package keys holds the certificates that authenticate processes to each other
// and the tokens that authenticate callers and operators.
//
// A Store holds the certificate and private key of one process and the
// certificate authority (CA) that signs the certificates of all processes. The
// name of a process is the common name of its certificate, which must also be
// one of its DNS names. Changed files are reloaded, and a new certificate or CA
// applies to every connection that starts afterwards; existing connections
// continue. If the files do not match each other, the error is reported and the
// previous credentials stay in use, so the three files may be replaced one at a
// time.
//
// Nothing in this package prints a private key or a token: the String methods of
// Token and Store redact, and errors contain file names, never file contents.
//
// Usage:
//
//	s := &keys.Store{Authority: "ca.pem", Certificate: "entry-1.pem", Key: "entry-1.key"}
//	if err := s.Load(); err != nil { ... }
//	group.Go(func() error { return s.Run(ctx) })
//	listener, err := tls.Listen("tcp", address, s.ServerTLS("h2", "http/1.1"))
//
// Tests and the trial command create a CA and certificates in memory:
//
//	ca, err := keys.NewTestCA([]string{"entry-1", "entry-2"}, nil)
//	s := ca.Store("entry-1")
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
	defaultReloadInterval = 5 * time.Second
	maxFileBytes          = 1 << 20 // per PEM file
)

// credentials holds a certificate, its private key and the CA that signed it.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	versions    fileVersions
}

// fileVersions holds the modification times and sizes of the authority,
// certificate and key files. A difference means that the files have changed.
type fileVersions [3]struct {
	modified time.Time
	size     int64
}

// Store holds the credentials of one process. The exported fields are set before
// Load and not changed afterwards. Methods are safe for concurrent use.
type Store struct {
	// Authority, Certificate and Key name PEM files.
	Authority, Certificate, Key string
	// ReloadEvery is the interval between checks for changed files; 0 means 5 s.
	ReloadEvery time.Duration
	// OnReload is called with the result of every reload, nil on success. It is
	// optional.
	OnReload func(error)

	current atomic.Pointer[credentials]
}

// String returns the name of the certificate file and no secrets.
func (s *Store) String() string { return fmt.Sprintf("keys of %q", s.Certificate) }

// GoString returns the same as String, so that %#v prints no secrets.
func (s *Store) GoString() string { return s.String() }

// Load reads the files. On error the previous credentials stay in use.
func (s *Store) Load() error {
	now, err := s.statFiles()
	if err != nil {
		return err
	}
	return s.load(now)
}

func (s *Store) load(seen fileVersions) error {
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
	m, err := newCredentials(authority, certificate, key)
	if err != nil {
		return fmt.Errorf("keys %s, %s, %s: %w; replace all three with files from the same authority", s.Authority, s.Certificate, s.Key, err)
	}
	m.versions = seen
	s.current.Store(m)
	return nil
}

// Run reloads the files whenever they change, until ctx is done. For a Store
// without files, as created by TestCA, it only waits.
func (s *Store) Run(ctx context.Context) error {
	interval := s.ReloadEvery
	if interval <= 0 {
		interval = defaultReloadInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.reloadIfChanged()
		}
	}
}

func (s *Store) reloadIfChanged() {
	if s.Certificate == "" {
		return
	}
	seen, err := s.statFiles()
	if err == nil {
		if m := s.current.Load(); m != nil && m.versions == seen {
			return
		}
		err = s.load(seen)
	}
	if s.OnReload != nil {
		s.OnReload(err)
	}
}

func (s *Store) statFiles() (fileVersions, error) {
	var seen fileVersions
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

// newCredentials checks that the private key belongs to the certificate and that
// the authority signed the certificate.
func newCredentials(authority, certificate, key []byte) (*credentials, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("the authority file contains no certificate")
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
	return &credentials{certificate: pair, roots: roots}, nil
}
