package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"limpetspan/pkg/settings"
)

// targetTLS returns the TLS configuration towards targets, nil for none.
func targetTLS(s settings.Targets) (*tls.Config, error) {
	switch s.TLS {
	case settings.TLSRequire:
		// As PostgreSQL's own sslmode=require: encrypted, not authenticated.
		return &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true}, nil
	case settings.TLSVerifyFull:
		config := &tls.Config{MinVersion: tls.VersionTLS12}
		if s.TLSCA == "" {
			return config, nil
		}
		pem, err := os.ReadFile(s.TLSCA)
		if err != nil {
			return nil, fmt.Errorf("read authorities of targets: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("no certificate in %s", s.TLSCA)
		}
		return config, nil
	}
	return nil, nil
}
