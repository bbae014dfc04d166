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
	bedValidity   = 30 * 24 * time.Hour
	bedClockError = time.Hour // by which certificates are valid early
	serialBits    = 120
)

// Bed is the set of certificates of a test bed: one authority and a
// certificate for each process. It is not meant for production, where the
// users' own authority signs.
type Bed struct {
	authority []byte
	issued    map[string]issued
}

type issued struct{ certificate, key []byte }

// String tells how many certificates there are and nothing of their keys.
func (b *Bed) String() string { return fmt.Sprintf("test bed of %d certificates", len(b.issued)) }

// GoString redacts as String does.
func (b *Bed) GoString() string { return b.String() }

// Ephemeral makes a new authority and a certificate for each name, valid for
// 30 days and for the given IP addresses, or those of the loopback when ips is
// empty.
func Ephemeral(names []string, ips []net.IP) (*Bed, error) {
	if len(ips) == 0 {
		ips = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	}
	root, rootKey, err := newAuthority()
	if err != nil {
		return nil, fmt.Errorf("test authority: %w", err)
	}
	b := &Bed{authority: encode("CERTIFICATE", root.Raw), issued: make(map[string]issued, len(names))}
	for _, name := range names {
		if b.issued[name], err = issue(name, ips, root, rootKey); err != nil {
			return nil, fmt.Errorf("test certificate of %q: %w", name, err)
		}
	}
	return b, nil
}

// Store returns a Store of the named process that holds its keys in memory.
// For a name that the bed does not have it returns an empty Store, with which
// nothing can be dialled.
func (b *Bed) Store(name string) *Store {
	s := &Store{}
	if i, ok := b.issued[name]; ok {
		if m, err := newMaterial(b.authority, i.certificate, i.key); err == nil {
			s.current.Store(m)
		}
	}
	return s
}

// Write stores the set in the directory: ca.pem, and NAME.pem and NAME.key,
// readable by the owner alone, for each process.
func (b *Bed) Write(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), b.authority, 0o600); err != nil {
		return fmt.Errorf("test authority: %w", err)
	}
	for name, i := range b.issued {
		if err := os.WriteFile(filepath.Join(dir, name+".pem"), i.certificate, 0o600); err != nil {
			return fmt.Errorf("test certificate: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".key"), i.key, 0o600); err != nil {
			return fmt.Errorf("test key: %w", err)
		}
	}
	return nil
}

func newAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t, err := template("persimmonworks test authority")
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

func issue(name string, ips []net.IP, root *x509.Certificate, rootKey *ecdsa.PrivateKey) (issued, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return issued{}, err
	}
	t, err := template(name)
	if err != nil {
		return issued{}, err
	}
	t.DNSNames, t.IPAddresses = []string{name}, ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, t, root, &key.PublicKey, rootKey)
	if err != nil {
		return issued{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return issued{}, err
	}
	return issued{encode("CERTIFICATE", raw), encode("PRIVATE KEY", der)}, nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-bedClockError),
		NotAfter:     now.Add(bedValidity),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
