package front

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// certificateCheckInterval is the least time between two looks at the files.
const certificateCheckInterval = time.Second

// Certificate is a TLS certificate that is read again when its files change. A
// pair that cannot be read leaves the former one in force.
type Certificate struct {
	certFile, keyFile string
	logger            hclog.Logger

	mu      sync.Mutex
	current *tls.Certificate
	checked time.Time
	changed [2]time.Time
}

// LoadCertificate reads a certificate chain and its key, both PEM.
func LoadCertificate(certFile, keyFile string, logger hclog.Logger) (*Certificate, error) {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	c := &Certificate{certFile: certFile, keyFile: keyFile, logger: logger}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files now.
func (c *Certificate) Reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load(c.modified())
}

func (c *Certificate) load(changed [2]time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("front: certificate: %w", err)
	}
	c.current, c.changed = &pair, changed
	return nil
}

func (c *Certificate) modified() [2]time.Time {
	var times [2]time.Time
	for i, name := range [...]string{c.certFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// get returns the certificate for a handshake, after a look at the files when
// the last look is some time ago.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) < certificateCheckInterval {
		return c.current, nil
	}
	c.checked = now
	if changed := c.modified(); changed != c.changed {
		if err := c.load(changed); err != nil {
			c.logger.Error("certificate not reloaded", "error", err)
		} else {
			c.logger.Info("certificate reloaded", "file", c.certFile)
		}
	}
	return c.current, nil
}

func (c *Certificate) config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}
