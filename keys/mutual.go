package keys

import (
	"crypto/tls"
	"fmt"
	"slices"
)

// ServerTLS returns a configuration for a listener that demands a certificate
// of the authority from everyone who connects. Each connection uses the set
// that is in force when it starts. Session tickets are off, since a resumed
// session would outlive the authority that vouched for it.
func (s *Store) ServerTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := s.material()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             protocols,
				Certificates:           []tls.Certificate{m.certificate},
				ClientCAs:              m.roots,
				ClientAuth:             tls.RequireAndVerifyClientCert,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientTLS returns a configuration for one dial to server, an IP address or a
// process name that the server's certificate must contain. It is made anew for
// every dial, so that a reload applies to the next one. It fails when nothing
// has been loaded.
func (s *Store) ClientTLS(server string, protocols ...string) (*tls.Config, error) {
	m, err := s.material()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		ServerName:   server,
		RootCAs:      m.roots,
		Certificates: []tls.Certificate{m.certificate},
	}, nil
}

// Name returns the process name in the certificate in force, empty when
// nothing has been loaded.
func (s *Store) Name() string {
	m := s.current.Load()
	if m == nil {
		return ""
	}
	return m.certificate.Leaf.Subject.CommonName
}

// Peer returns the process name in the verified certificate of the other side.
func Peer(state tls.ConnectionState) (string, error) {
	if len(state.VerifiedChains) == 0 {
		return "", fmt.Errorf("the peer showed no certificate that the authority signed")
	}
	leaf := state.VerifiedChains[0][0]
	name := leaf.Subject.CommonName
	if name == "" || !slices.Contains(leaf.DNSNames, name) {
		return "", fmt.Errorf("the peer's certificate has common name %q, which is not among its DNS names %q", name, leaf.DNSNames)
	}
	return name, nil
}

func (s *Store) material() (*material, error) {
	m := s.current.Load()
	if m == nil {
		return nil, fmt.Errorf("no certificate is loaded from %q; call Load first", s.Certificate)
	}
	return m, nil
}
