// Package settings parses a daemon's INI file into a typed struct. The variable Table lists
// every setting with its type, default and range; parsing, validation and
// docs/CONFIGURATION.md are derived from it.
package settings

import "time"

// Settings are all settings of one daemon.
type Settings struct {
	Daemon   Daemon
	Callers  Callers
	Peers    Peers
	Gossip   Gossip
	Operator Operator
	Store    Store
	Targets  Targets
	Tuning   Tuning
	Log      Log
	Trace    Trace
	Record   Record
}

// Daemon identifies this process and its location.
type Daemon struct {
	ID     string
	Zone   string
	Region string
}

// Callers are the settings of the PostgreSQL port for callers.
type Callers struct {
	Listen         string
	TLSCertificate string
	TLSKey         string
	UsersFile      string
	StartupTimeout time.Duration
	// TLS is TLSAllow or TLSRequire.
	TLS            string
	MaxConnections int
	// Databases are the database names that callers may use; if empty, any name is allowed.
	Databases []string
	// MaxConnectionsPerUser and MaxConnectionsPerAddress set no limit if they are 0.
	MaxConnectionsPerUser    int
	MaxConnectionsPerAddress int
	// IdleTimeout is disabled if it is 0.
	IdleTimeout    time.Duration
	DefaultTimeout time.Duration
	// MaxMessage is in bytes.
	MaxMessage int64
}

// Peers are the settings of the connections between daemons.
type Peers struct {
	Listen         string
	Advertise      string
	TLSCertificate string
	TLSKey         string
	TLSCA          string
}

// Gossip are the settings of the datagrams between daemons.
type Gossip struct {
	Listen    string
	Advertise string
	Seeds     []string
	Interval  time.Duration
	// Key authenticates datagrams. If it is not set, they are not authenticated.
	Key Secret
}

// Operator are the settings of the HTTP port for operators.
type Operator struct {
	Listen string
}

// Store are the settings of the client of the platform's key-value service.
type Store struct {
	Endpoints []string
	Timeout   time.Duration
	Prefix    string
}

// Targets are the settings of the connections to targets.
type Targets struct {
	User           string
	Password       Secret
	TLS            string
	TLSCA          string
	ConnectTimeout time.Duration
}

// The values of Targets.TLS and Callers.TLS.
const (
	TLSAllow      = "allow"
	TLSDisable    = "disable"
	TLSRequire    = "require"
	TLSVerifyFull = "verify-full"
)

// Tuning are the intervals, timeouts, retry settings and limits of requests in flight.
type Tuning struct {
	Lease            time.Duration
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	RetryRatio       float64
	RetryBackoff     time.Duration
	SessionInFlight  int
	GroupInFlight    int
	PeerIdleTimeout  time.Duration
	PeerDialTimeout  time.Duration
	DrainTimeout     time.Duration
	DrainGracePeriod time.Duration
}

// Log are the settings of the log.
type Log struct {
	Level string
}

// Trace are the settings of the spans.
type Trace struct {
	Exporter string
	Endpoint string
	Sample   float64
}

// The values of Trace.Exporter.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Record are the settings of the recording of reducer events.
type Record struct {
	Target string
}

// The values of Record.Target besides an address.
const (
	RecordNone   = "none"
	RecordStdout = "stdout"
)
