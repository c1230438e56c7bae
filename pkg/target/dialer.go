package target

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/core"
)

// Defaults of a Dialer.
const (
	// DefaultDialTimeout bounds one connection attempt, start-up included.
	DefaultDialTimeout = 2 * time.Second
	// DefaultUserTimeout bounds how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 5 * time.Second
)

// Dialer opens connections to members. The zero value of a field takes its
// default; a Dialer may be copied and must not change while it is in use.
type Dialer struct {
	User     string
	Password string
	// TLS is nil for plain TCP. Without a ServerName the member's host is taken.
	TLS *tls.Config
	// Database is the database on the members.
	Database string
	// Zone is the daemon's availability zone; members see it in the
	// application name.
	Zone core.Zone
	// DialTimeout bounds one attempt; see DefaultDialTimeout.
	DialTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT; see DefaultUserTimeout.
	UserTimeout time.Duration
}

// baseConfig is parsed once: pgconn accepts only configurations that its own
// parser made. Every field that the environment could set is overwritten.
var baseConfig = sync.OnceValues(func() (*pgconn.Config, error) {
	return pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable")
})

// config returns the connection settings for the member at addr (host:port).
func (d *Dialer) config(addr, application string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("target address %q: %w", addr, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("target address %q: %w", addr, err)
	}
	base, err := baseConfig()
	if err != nil {
		return nil, fmt.Errorf("target settings: %w", err)
	}
	c := base.Copy()
	c.Host, c.Port = host, uint16(port)
	c.User, c.Password, c.Database = d.User, d.Password, d.Database
	c.Fallbacks = nil
	c.TLSConfig = d.tlsFor(host)
	c.ConnectTimeout = d.dialTimeout()
	c.DialFunc = d.netDialer().DialContext
	c.RuntimeParams = map[string]string{"application_name": application + ":" + string(d.Zone)}
	return c, nil
}

func (d *Dialer) tlsFor(host string) *tls.Config {
	if d.TLS == nil {
		return nil
	}
	c := d.TLS.Clone()
	if c.ServerName == "" {
		c.ServerName = host
	}
	return c
}

func (d *Dialer) dialTimeout() time.Duration {
	if d.DialTimeout > 0 {
		return d.DialTimeout
	}
	return DefaultDialTimeout
}

// connect opens a connection and goes through the start-up.
func (d *Dialer) connect(ctx context.Context, addr, application string) (*pgconn.PgConn, error) {
	c, err := d.config(addr, application)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.dialTimeout())
	defer cancel()
	return pgconn.ConnectConfig(ctx, c)
}

// Dial opens a caller-work connection to the member at addr.
func (d *Dialer) Dial(ctx context.Context, addr string) (*Conn, error) {
	return d.open(ctx, addr, ApplicationWork)
}

func (d *Dialer) open(ctx context.Context, addr, application string) (*Conn, error) {
	pg, err := d.connect(ctx, addr, application)
	if err != nil {
		return nil, err
	}
	if err := pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx)
		return nil, err
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	return newConn(d, addr, hijacked)
}

// Control returns a Controller of the member at addr. It connects on first use.
func (d *Dialer) Control(addr string) *Control {
	return &Control{dialer: d, addr: addr}
}
