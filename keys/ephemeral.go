package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	testCertValidity = 30 * 24 * time.Hour
	testClockSkew    = time.Hour // certificates are valid this long before they are issued
	serialBits       = 120
)

// TestCA holds a certificate authority for tests and the certificates that it has
// issued, one for each process. It is not for production, where the users' own
// authority signs the certificates.
type TestCA struct {
	authority []byte
	issued    map[string]keyPair
}

type keyPair struct{ certificate, key []byte }

// String returns the number of certificates and no keys.
func (ca *TestCA) String() string { return fmt.Sprintf("test CA with %d certificates", len(ca.issued)) }

// GoString returns the same as String, so that %#v prints no secrets.
func (ca *TestCA) GoString() string { return ca.String() }

// NewTestCA creates an authority and a certificate for each name, valid for 30
// days and for the given IP addresses, or for the loopback addresses if ips is
// empty.
func NewTestCA(names []string, ips []net.IP) (*TestCA, error) {
	if len(ips) == 0 {
		ips = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	}
	root, rootKey, err := newAuthority()
	if err != nil {
		return nil, fmt.Errorf("create test authority: %w", err)
	}
	ca := &TestCA{authority: encodePEM("CERTIFICATE", root.Raw), issued: make(map[string]keyPair, len(names))}
	for _, name := range names {
		if ca.issued[name], err = issue(name, ips, root, rootKey); err != nil {
			return nil, fmt.Errorf("issue test certificate for %q: %w", name, err)
		}
	}
	return ca, nil
}

// Store returns an in-memory Store with the credentials of the named process. For
// an unknown name it returns an empty Store, which can neither dial nor accept.
func (ca *TestCA) Store(name string) *Store {
	s := &Store{}
	if i, ok := ca.issued[name]; ok {
		if m, err := newCredentials(ca.authority, i.certificate, i.key); err == nil {
			s.current.Store(m)
		}
	}
	return s
}

// Write writes the certificates and keys to dir: ca.pem, and NAME.pem and
// NAME.key for each process, all readable only by the owner.
func (ca *TestCA) Write(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), ca.authority, 0o600); err != nil {
		return fmt.Errorf("write test authority: %w", err)
	}
	for name, i := range ca.issued {
		if err := os.WriteFile(filepath.Join(dir, name+".pem"), i.certificate, 0o600); err != nil {
			return fmt.Errorf("write test certificate: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".key"), i.key, 0o600); err != nil {
			return fmt.Errorf("write test key: %w", err)
		}
	}
	return nil
}

func newAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t, err := certTemplate("persimmonworks test authority")
	if err != nil {
		return nil, nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	root, err := x509.ParseCertificate(raw)
	return root, key, err
}

func issue(name string, ips []net.IP, root *x509.Certificate, rootKey *ecdsa.PrivateKey) (keyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyPair{}, err
	}
	t, err := certTemplate(name)
	if err != nil {
		return keyPair{}, err
	}
	t.DNSNames, t.IPAddresses = []string{name}, ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, t, root, &key.PublicKey, rootKey)
	if err != nil {
		return keyPair{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return keyPair{}, err
	}
	return keyPair{encodePEM("CERTIFICATE", raw), encodePEM("PRIVATE KEY", der)}, nil
}

func certTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-testClockSkew),
		NotAfter:     now.Add(testCertValidity),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
