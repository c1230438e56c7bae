package settings

import "strings"

// Setting is one row of the table.
type Setting struct {
	Section string
	Key     string
	Type    Type
	// Default is the value if the key is absent, in the notation of the file.
	Default string
	// Required settings have no default.
	Required bool
	// Min and Max bound durations, sizes and numbers, both inclusive.
	Min, Max string
	// Values are the allowed values of TypeEnum.
	Values []string
	// Doc describes the setting in one or two sentences.
	Doc string

	field func(*Settings) any
}

// Allowed describes the values that the setting accepts.
func (t *Setting) Allowed() string {
	switch t.Type {
	case TypeName:
		return "1 to 64 letters, digits, '-', '_' or '.'"
	case TypeText:
		return "any text"
	case TypeAddress:
		return "IP:port"
	case TypeList:
		return "IP:port, separated by commas"
	case TypeURLs:
		return "http or https URLs, separated by commas"
	case TypeFile:
		return "path of a readable file"
	case TypeEnv:
		return "name of an environment variable"
	case TypeEnum:
		return strings.Join(t.Values, ", ")
	case TypeRecord:
		return "none, stdout or IP:port"
	}
	return string(t.Type) + " from " + t.Min + " to " + t.Max
}

// Table lists all settings.
var Table = []Setting{
	{Section: "daemon", Key: "id", Type: TypeName, Required: true,
		Doc:   "Name of this daemon, unique in the fleet.",
		field: func(s *Settings) any { return &s.Daemon.ID }},
	{Section: "daemon", Key: "zone", Type: TypeName, Required: true,
		Doc:   "Availability zone of this host.",
		field: func(s *Settings) any { return &s.Daemon.Zone }},
	{Section: "daemon", Key: "region", Type: TypeName, Default: "default",
		Doc:   "Region of this host; a region holds several zones.",
		field: func(s *Settings) any { return &s.Daemon.Region }},

	{Section: "callers", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:5432",
		Doc:   "Address at which callers connect with the PostgreSQL protocol. Port 0 selects a free port.",
		field: func(s *Settings) any { return &s.Callers.Listen }},
	{Section: "callers", Key: "tls_certificate", Type: TypeFile,
		Doc:   "Certificate chain (PEM) that is presented to callers; reloaded when the file changes. Empty: no TLS.",
		field: func(s *Settings) any { return &s.Callers.TLSCertificate }},
	{Section: "callers", Key: "tls_key", Type: TypeFile,
		Doc:   "Private key (PEM) of tls_certificate.",
		field: func(s *Settings) any { return &s.Callers.TLSKey }},
	{Section: "callers", Key: "tls", Type: TypeEnum, Default: TLSAllow, Values: []string{TLSAllow, TLSRequire},
		Doc:   "Whether callers may or must use TLS once tls_certificate is set.",
		field: func(s *Settings) any { return &s.Callers.TLS }},
	{Section: "callers", Key: "users_file", Type: TypeFile, Required: true,
		Doc:   "Users who may connect, one per line as name:verifier (SCRAM-SHA-256, as PostgreSQL stores it) or name:password; reloaded when the file changes.",
		field: func(s *Settings) any { return &s.Callers.UsersFile }},
	{Section: "callers", Key: "databases", Type: TypeList,
		Doc:   "Database names that callers may request at startup; others are refused with 3D000. Empty: any name.",
		field: func(s *Settings) any { return &s.Callers.Databases }},
	{Section: "callers", Key: "startup_timeout", Type: TypeDuration, Default: "10s", Min: "100ms", Max: "5m",
		Doc:   "Time within which a new connection must authenticate.",
		field: func(s *Settings) any { return &s.Callers.StartupTimeout }},
	{Section: "callers", Key: "max_connections", Type: TypeInt, Default: "20000", Min: "1", Max: "1000000",
		Doc:   "Maximum number of open caller connections; further ones are refused with 53300.",
		field: func(s *Settings) any { return &s.Callers.MaxConnections }},
	{Section: "callers", Key: "max_connections_per_user", Type: TypeInt, Default: "0", Min: "0", Max: "1000000",
		Doc:   "The same limit per user; 0: no limit.",
		field: func(s *Settings) any { return &s.Callers.MaxConnectionsPerUser }},
	{Section: "callers", Key: "max_connections_per_address", Type: TypeInt, Default: "0", Min: "0", Max: "1000000",
		Doc:   "The same limit per client IP address; 0: no limit.",
		field: func(s *Settings) any { return &s.Callers.MaxConnectionsPerAddress }},
	{Section: "callers", Key: "idle_timeout", Type: TypeDuration, Default: "0s", Min: "0s", Max: "24h",
		Doc:   "A caller that sends no request for this long outside a transaction is disconnected; 0s: never.",
		field: func(s *Settings) any { return &s.Callers.IdleTimeout }},
	{Section: "callers", Key: "default_timeout", Type: TypeDuration, Default: "30s", Min: "10ms", Max: "24h",
		Doc:   "Timeout of a statement that specifies none.",
		field: func(s *Settings) any { return &s.Callers.DefaultTimeout }},
	{Section: "callers", Key: "max_message", Type: TypeSize, Default: "16MiB", Min: "8KiB", Max: "1GiB",
		Doc:   "Maximum size of a message that is accepted from a caller.",
		field: func(s *Settings) any { return &s.Callers.MaxMessage }},

	{Section: "peers", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:7432",
		Doc:   "Address at which other daemons connect.",
		field: func(s *Settings) any { return &s.Peers.Listen }},
	{Section: "peers", Key: "advertise", Type: TypeAddress,
		Doc:   "Address that other daemons use to reach listen; required if listen is 0.0.0.0 or [::].",
		field: func(s *Settings) any { return &s.Peers.Advertise }},
	{Section: "peers", Key: "tls_certificate", Type: TypeFile,
		Doc:   "Certificate (PEM) that this daemon presents to other daemons. Empty: no TLS between daemons.",
		field: func(s *Settings) any { return &s.Peers.TLSCertificate }},
	{Section: "peers", Key: "tls_key", Type: TypeFile,
		Doc:   "Private key (PEM) of tls_certificate.",
		field: func(s *Settings) any { return &s.Peers.TLSKey }},
	{Section: "peers", Key: "tls_ca", Type: TypeFile,
		Doc:   "CA certificates (PEM) that verify the certificates of other daemons, on incoming and outgoing connections.",
		field: func(s *Settings) any { return &s.Peers.TLSCA }},

	{Section: "gossip", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:7433",
		Doc:   "UDP address for gossip between daemons.",
		field: func(s *Settings) any { return &s.Gossip.Listen }},
	{Section: "gossip", Key: "advertise", Type: TypeAddress,
		Doc:   "Address that other daemons use to reach listen; required if listen is 0.0.0.0 or [::].",
		field: func(s *Settings) any { return &s.Gossip.Advertise }},
	{Section: "gossip", Key: "seeds", Type: TypeList,
		Doc:   "Gossip addresses of daemons through which this one joins the fleet, in addition to those in the platform's host list.",
		field: func(s *Settings) any { return &s.Gossip.Seeds }},
	{Section: "gossip", Key: "interval", Type: TypeDuration, Default: "1s", Min: "10ms", Max: "30s",
		Doc:   "Interval at which a daemon probes another one.",
		field: func(s *Settings) any { return &s.Gossip.Interval }},
	{Section: "gossip", Key: "key_file", Type: TypeFile,
		Doc:   "File with the key that authenticates gossip datagrams. If key_file and key_env are both empty, datagrams are not authenticated.",
		field: func(s *Settings) any { return &s.Gossip.Key.File }},
	{Section: "gossip", Key: "key_env", Type: TypeEnv,
		Doc:   "Environment variable with the key, as an alternative to key_file.",
		field: func(s *Settings) any { return &s.Gossip.Key.Env }},

	{Section: "operator", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:7434",
		Doc:   "HTTP address for metrics, health, status and draining.",
		field: func(s *Settings) any { return &s.Operator.Listen }},

	{Section: "store", Key: "endpoints", Type: TypeURLs, Required: true,
		Doc:   "Addresses of the platform's key-value service.",
		field: func(s *Settings) any { return &s.Store.Endpoints }},
	{Section: "store", Key: "timeout", Type: TypeDuration, Default: "2s", Min: "10ms", Max: "1m",
		Doc:   "How long one call to the store may take.",
		field: func(s *Settings) any { return &s.Store.Timeout }},
	{Section: "store", Key: "prefix", Type: TypeText, Default: "/limpetspan/",
		Doc:   "Prefix of all keys in the store.",
		field: func(s *Settings) any { return &s.Store.Prefix }},

	{Section: "targets", Key: "user", Type: TypeText, Required: true,
		Doc:   "User name for connections to the targets.",
		field: func(s *Settings) any { return &s.Targets.User }},
	{Section: "targets", Key: "password_file", Type: TypeFile,
		Doc:   "File with the password for connections to the targets.",
		field: func(s *Settings) any { return &s.Targets.Password.File }},
	{Section: "targets", Key: "password_env", Type: TypeEnv,
		Doc:   "Environment variable with the password, as an alternative to password_file.",
		field: func(s *Settings) any { return &s.Targets.Password.Env }},
	{Section: "targets", Key: "tls", Type: TypeEnum, Default: TLSDisable,
		Values: []string{TLSDisable, TLSRequire, TLSVerifyFull},
		Doc:    "TLS on connections to targets: off, on without verifying the certificate, or on with verifying it.",
		field:  func(s *Settings) any { return &s.Targets.TLS }},
	{Section: "targets", Key: "tls_ca", Type: TypeFile,
		Doc:   "CA certificates (PEM) for verify-full. Empty: those of the system.",
		field: func(s *Settings) any { return &s.Targets.TLSCA }},
	{Section: "targets", Key: "connect_timeout", Type: TypeDuration, Default: "2s", Min: "10ms", Max: "1m",
		Doc:   "How long opening a connection to a target may take.",
		field: func(s *Settings) any { return &s.Targets.ConnectTimeout }},

	{Section: "tuning", Key: "lease", Type: TypeDuration, Default: "600ms", Min: "50ms", Max: "30s",
		Doc:   "How long a home may serve after it sent the last probes that a majority of the members answered. It must be the same on all daemons.",
		field: func(s *Settings) any { return &s.Tuning.Lease }},
	{Section: "tuning", Key: "probe_interval", Type: TypeDuration, Default: "200ms", Min: "5ms", Max: "10s",
		Doc:   "Interval at which a home probes each member for its state; at most a third of lease.",
		field: func(s *Settings) any { return &s.Tuning.ProbeInterval }},
	{Section: "tuning", Key: "probe_timeout", Type: TypeDuration, Default: "150ms", Min: "5ms", Max: "10s",
		Doc:   "How long a probe may take; the sum of probe_interval and probe_timeout must be less than lease.",
		field: func(s *Settings) any { return &s.Tuning.ProbeTimeout }},
	{Section: "tuning", Key: "retry_ratio", Type: TypeRatio, Default: "0.1", Min: "0", Max: "1",
		Doc:   "Number of read retries that each request adds to the retry budget; 0.1 allows one retry per ten requests.",
		field: func(s *Settings) any { return &s.Tuning.RetryRatio }},
	{Section: "tuning", Key: "retry_backoff", Type: TypeDuration, Default: "10ms", Min: "1ms", Max: "10s",
		Doc:   "First delay before the candidate homes are tried again after none of them served the request; doubles with each round, up to 250ms, with jitter.",
		field: func(s *Settings) any { return &s.Tuning.RetryBackoff }},
	{Section: "tuning", Key: "session_in_flight", Type: TypeInt, Default: "1000", Min: "1", Max: "1000000",
		Doc:   "Maximum number of requests of one session in flight at this daemon; further ones are shed.",
		field: func(s *Settings) any { return &s.Tuning.SessionInFlight }},
	{Section: "tuning", Key: "group_in_flight", Type: TypeInt, Default: "4000", Min: "1", Max: "1000000",
		Doc:   "Maximum number of requests for one database group in flight at this daemon; further ones are shed.",
		field: func(s *Settings) any { return &s.Tuning.GroupInFlight }},
	{Section: "tuning", Key: "peer_idle_timeout", Type: TypeDuration, Default: "1m", Min: "1s", Max: "1h",
		Doc:   "Connections between daemons that have been idle for this long are closed.",
		field: func(s *Settings) any { return &s.Tuning.PeerIdleTimeout }},
	{Section: "tuning", Key: "peer_dial_timeout", Type: TypeDuration, Default: "1s", Min: "10ms", Max: "1m",
		Doc:   "How long connecting to another daemon may take.",
		field: func(s *Settings) any { return &s.Tuning.PeerDialTimeout }},
	{Section: "tuning", Key: "drain_timeout", Type: TypeDuration, Default: "30s", Min: "100ms", Max: "1h",
		Doc:   "How long a planned stop waits for requests and transactions in flight.",
		field: func(s *Settings) any { return &s.Tuning.DrainTimeout }},
	{Section: "tuning", Key: "drain_grace_period", Type: TypeDuration, Default: "0s", Min: "0s", Max: "10m",
		Doc:   "How long a daemon that is stopping as planned continues to accept callers after it reports not ready, so that load balancers with a long health-check interval notice it.",
		field: func(s *Settings) any { return &s.Tuning.DrainGracePeriod }},

	{Section: "log", Key: "level", Type: TypeEnum, Default: "info",
		Values: []string{"trace", "debug", "info", "warn", "error", "off"},
		Doc:    "Minimum level of the log lines that are written (JSON, to standard error).",
		field:  func(s *Settings) any { return &s.Log.Level }},

	{Section: "trace", Key: "exporter", Type: TypeEnum, Default: ExporterNone,
		Values: []string{ExporterNone, ExporterStdout, ExporterOTLP},
		Doc:    "Destination of spans: none, standard output, or OTLP over HTTP.",
		field:  func(s *Settings) any { return &s.Trace.Exporter }},
	{Section: "trace", Key: "endpoint", Type: TypeText,
		Doc:   "URL of the OTLP receiver, such as http://127.0.0.1:4318.",
		field: func(s *Settings) any { return &s.Trace.Endpoint }},
	{Section: "trace", Key: "sample", Type: TypeRatio, Default: "0.01", Min: "0", Max: "1",
		Doc:   "Share of the requests without a traceparent that are traced; other requests follow the sampled flag of their traceparent.",
		field: func(s *Settings) any { return &s.Trace.Sample }},

	{Section: "record", Key: "target", Type: TypeRecord, Default: RecordNone,
		Doc:   "Destination to which the reducers' events are recorded: none, standard output, or a TCP address. Each line consists of a group, a tab and a line of the group's trace; `grep ^GROUP | cut -f2-` extracts the input of `limpetspan replay`.",
		field: func(s *Settings) any { return &s.Record.Target }},
}
