package keys

import (
	"crypto/tls"
	"fmt"
	"slices"
)

// ServerTLS returns a configuration for a listener that requires a client
// certificate signed by the authority. Each connection uses the credentials
// that are current when it starts. Session tickets are disabled, since a
// session could be resumed after the authority that authenticated it was replaced.
func (s *Store) ServerTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := s.credentials()
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

// ClientTLS returns a configuration for one connection to server, an IP address
// or a process name that the server's certificate must contain. Call it for every
// dial, so that reloaded credentials apply to the next connection. It fails if no
// credentials are loaded.
func (s *Store) ClientTLS(server string, protocols ...string) (*tls.Config, error) {
	m, err := s.credentials()
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

// Name returns the process name in the current certificate, or "" if no
// credentials are loaded.
func (s *Store) Name() string {
	m := s.current.Load()
	if m == nil {
		return ""
	}
	return m.certificate.Leaf.Subject.CommonName
}

// PeerName returns the process name in the peer's verified certificate.
func PeerName(state tls.ConnectionState) (string, error) {
	if len(state.VerifiedChains) == 0 {
		return "", fmt.Errorf("the peer presented no certificate signed by the authority")
	}
	leaf := state.VerifiedChains[0][0]
	name := leaf.Subject.CommonName
	if name == "" || !slices.Contains(leaf.DNSNames, name) {
		return "", fmt.Errorf("the peer's certificate has common name %q, which is not among its DNS names %q", name, leaf.DNSNames)
	}
	return name, nil
}

func (s *Store) credentials() (*credentials, error) {
	m := s.current.Load()
	if m == nil {
		return nil, fmt.Errorf("no certificate is loaded from %q; call Load first", s.Certificate)
	}
	return m, nil
}
