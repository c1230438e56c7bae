package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// TLS makes the two ends' configurations of mutual TLS between daemons.
//
// Every certificate that the authorities have signed belongs to a daemon, so
// the authorities must sign for nothing else. Names are not compared: daemons
// are known by IP numbers that change whenever a host is replaced.
type TLS struct {
	certFile, keyFile string
	authorities       *x509.CertPool

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
}

// LoadTLS reads the files (PEM). The certificate and key are read again when
// the certificate's file changes.
func LoadTLS(certFile, keyFile, caFile string) (*TLS, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	t := &TLS{certFile: certFile, keyFile: keyFile, authorities: x509.NewCertPool()}
	if !t.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in %s", caFile)
	}
	if _, err := t.certificate(); err != nil {
		return nil, err
	}
	return t, nil
}

// certificate returns the present certificate; a new one that is broken or
// half written leaves the old one in use.
func (t *TLS) certificate() (*tls.Certificate, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	info, err := os.Stat(t.certFile)
	if err == nil && t.current != nil && info.ModTime().Equal(t.modified) {
		return t.current, nil
	}
	pair, err := tls.LoadX509KeyPair(t.certFile, t.keyFile)
	if err != nil && t.current != nil {
		return t.current, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	t.current = &pair
	if info != nil {
		t.modified = info.ModTime()
	}
	return t.current, nil
}

// Server returns the configuration of the accepting end.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  t.authorities,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.certificate()
		},
	}
}

// Client returns the configuration of the connecting end.
func (t *TLS) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.certificate()
		},
		// The chain is verified below; only the comparison of names is left out.
		InsecureSkipVerify: true,
		VerifyConnection:   t.verifyServer,
	}
}

func (t *TLS) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	options := x509.VerifyOptions{Roots: t.authorities, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
