package front

import (
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
)

// Defaults of Options.
const (
	DefaultMaxConnections = 20_000
	DefaultMaxMessage     = 16 << 20
	DefaultMaxBatch       = 32 << 20
	DefaultMaxPrepared    = 1 << 20
	DefaultStartupTimeout = 10 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultRequestTimeout = 30 * time.Second
)

// Options configure a Server. Handler, Daemon, and Users or Trust are needed;
// the rest has defaults.
type Options struct {
	Handler exchange.Handler
	// Daemon is this daemon's id; its tag goes into the cancel keys.
	Daemon core.DaemonID
	// Users authenticate callers by SCRAM-SHA-256.
	Users *Users
	// Trust lets every user in without a password; only without Users.
	Trust bool
	// Certificate enables TLS; RequireTLS refuses callers without it.
	Certificate *Certificate
	RequireTLS  bool
	// Databases are the names callers may connect to; empty: any.
	Databases []string
	// Parameters override what ParameterStatus messages report.
	Parameters map[string]string
	// Clock is the process's monotonic clock.
	Clock  func() core.Time
	Logger hclog.Logger
	// CancelElsewhere gets the cancel keys that no caller here holds. It must not block.
	CancelElsewhere func(pid, secret uint32)

	// MaxConnections bounds all connections, MaxPerUser and MaxPerAddress
	// those of one user and of one client IP address; zero: the default, no
	// bound and no bound.
	MaxConnections, MaxPerUser, MaxPerAddress int
	// MaxMessage and MaxBatch bound one message and one exchange, MaxPrepared
	// the prepared statements that one connection keeps, in bytes.
	MaxMessage, MaxBatch, MaxPrepared int

	// StartupTimeout bounds the time until a caller is authenticated,
	// WriteTimeout how long a caller may take to accept a piece of its answer.
	StartupTimeout, WriteTimeout time.Duration
	// IdleTimeout ends connections without a request and outside a
	// transaction; zero: never.
	IdleTimeout time.Duration
	// RequestTimeout is the deadline of statements that name none.
	RequestTimeout time.Duration
}

func (o *Options) complete() error {
	switch {
	case o.Handler == nil:
		return errors.New("front: no handler")
	case o.Daemon == "":
		return errors.New("front: no daemon id")
	case o.Users == nil && !o.Trust:
		return errors.New("front: neither users nor trust")
	case o.Users != nil && o.Trust:
		return errors.New("front: both users and trust")
	case o.RequireTLS && o.Certificate == nil:
		return errors.New("front: TLS is required but there is no certificate")
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() core.Time { return core.Time(time.Since(start)) }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.CancelElsewhere == nil {
		o.CancelElsewhere = func(uint32, uint32) {}
	}
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.MaxMessage, DefaultMaxMessage)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxPrepared, DefaultMaxPrepared)
	setDefault(&o.StartupTimeout, DefaultStartupTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	return nil
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}
