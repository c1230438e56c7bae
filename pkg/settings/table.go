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
		Doc:   "Where callers connect with the PostgreSQL protocol. Port 0 takes a free port.",
		field: func(s *Settings) any { return &s.Callers.Listen }},
	{Section: "callers", Key: "tls_certificate", Type: TypeFile,
		Doc:   "Certificate chain (PEM) shown to callers; read again when the file changes. Empty: no TLS.",
		field: func(s *Settings) any { return &s.Callers.TLSCertificate }},
	{Section: "callers", Key: "tls_key", Type: TypeFile,
		Doc:   "Private key (PEM) of tls_certificate.",
		field: func(s *Settings) any { return &s.Callers.TLSKey }},
	{Section: "callers", Key: "tls", Type: TypeEnum, Default: TLSAllow, Values: []string{TLSAllow, TLSRequire},
		Doc:   "Whether callers may or must use TLS once tls_certificate is set.",
		field: func(s *Settings) any { return &s.Callers.TLS }},
	{Section: "callers", Key: "users_file", Type: TypeFile, Required: true,
		Doc:   "Users who may connect, one per line as name:verifier (SCRAM-SHA-256, as PostgreSQL stores it) or name:password; read again when the file changes.",
		field: func(s *Settings) any { return &s.Callers.UsersFile }},
	{Section: "callers", Key: "databases", Type: TypeList,
		Doc:   "Database names that callers may give at startup; others are refused with 3D000. Empty: any name.",
		field: func(s *Settings) any { return &s.Callers.Databases }},
	{Section: "callers", Key: "startup_timeout", Type: TypeDuration, Default: "10s", Min: "100ms", Max: "5m",
		Doc:   "How long a new connection may take until it has authenticated.",
		field: func(s *Settings) any { return &s.Callers.StartupTimeout }},
	{Section: "callers", Key: "max_connections", Type: TypeInt, Default: "20000", Min: "1", Max: "1000000",
		Doc:   "Open caller connections beyond which new ones are refused with 53300.",
		field: func(s *Settings) any { return &s.Callers.MaxConnections }},
	{Section: "callers", Key: "max_connections_per_user", Type: TypeInt, Default: "0", Min: "0", Max: "1000000",
		Doc:   "The same for each user; 0: no bound.",
		field: func(s *Settings) any { return &s.Callers.MaxConnectionsPerUser }},
	{Section: "callers", Key: "max_connections_per_address", Type: TypeInt, Default: "0", Min: "0", Max: "1000000",
		Doc:   "The same for each client IP address; 0: no bound.",
		field: func(s *Settings) any { return &s.Callers.MaxConnectionsPerAddress }},
	{Section: "callers", Key: "idle_timeout", Type: TypeDuration, Default: "0s", Min: "0s", Max: "24h",
		Doc:   "Callers without a request for so long, outside a transaction, are disconnected; 0s: never.",
		field: func(s *Settings) any { return &s.Callers.IdleTimeout }},
	{Section: "callers", Key: "default_timeout", Type: TypeDuration, Default: "30s", Min: "10ms", Max: "24h",
		Doc:   "Deadline of a statement that states none.",
		field: func(s *Settings) any { return &s.Callers.DefaultTimeout }},
	{Section: "callers", Key: "max_message", Type: TypeSize, Default: "16MiB", Min: "8KiB", Max: "1GiB",
		Doc:   "Largest message accepted from a caller.",
		field: func(s *Settings) any { return &s.Callers.MaxMessage }},

	{Section: "peers", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:7432",
		Doc:   "Where other daemons connect.",
		field: func(s *Settings) any { return &s.Peers.Listen }},
	{Section: "peers", Key: "advertise", Type: TypeAddress,
		Doc:   "Address under which other daemons reach listen; needed when listen is 0.0.0.0 or [::].",
		field: func(s *Settings) any { return &s.Peers.Advertise }},
	{Section: "peers", Key: "tls_certificate", Type: TypeFile,
		Doc:   "Certificate (PEM) of this daemon towards others. Empty: no TLS between daemons.",
		field: func(s *Settings) any { return &s.Peers.TLSCertificate }},
	{Section: "peers", Key: "tls_key", Type: TypeFile,
		Doc:   "Private key (PEM) of tls_certificate.",
		field: func(s *Settings) any { return &s.Peers.TLSKey }},
	{Section: "peers", Key: "tls_ca", Type: TypeFile,
		Doc:   "Authorities (PEM) that sign the certificates of daemons, in both directions.",
		field: func(s *Settings) any { return &s.Peers.TLSCA }},

	{Section: "gossip", Key: "listen", Type: TypeAddress, Default: "127.0.0.1:7433",
		Doc:   "UDP address for news between daemons.",
		field: func(s *Settings) any { return &s.Gossip.Listen }},
	{Section: "gossip", Key: "advertise", Type: TypeAddress,
		Doc:   "Address under which other daemons reach listen; needed when listen is 0.0.0.0 or [::].",
		field: func(s *Settings) any { return &s.Gossip.Advertise }},
	{Section: "gossip", Key: "seeds", Type: TypeList,
		Doc:   "Gossip addresses of daemons to join through, besides those that the platform's host list gives.",
		field: func(s *Settings) any { return &s.Gossip.Seeds }},
	{Section: "gossip", Key: "interval", Type: TypeDuration, Default: "1s", Min: "10ms", Max: "30s",
		Doc:   "How often a daemon probes another.",
		field: func(s *Settings) any { return &s.Gossip.Interval }},
	{Section: "gossip", Key: "key_file", Type: TypeFile,
		Doc:   "File with the key that authenticates datagrams. Empty, with key_env empty: not authenticated.",
		field: func(s *Settings) any { return &s.Gossip.Key.File }},
	{Section: "gossip", Key: "key_env", Type: TypeEnv,
		Doc:   "Environment variable with that key.",
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
		Doc:   "User name at the targets.",
		field: func(s *Settings) any { return &s.Targets.User }},
	{Section: "targets", Key: "password_file", Type: TypeFile,
		Doc:   "File with the password at the targets.",
		field: func(s *Settings) any { return &s.Targets.Password.File }},
	{Section: "targets", Key: "password_env", Type: TypeEnv,
		Doc:   "Environment variable with the password at the targets.",
		field: func(s *Settings) any { return &s.Targets.Password.Env }},
	{Section: "targets", Key: "tls", Type: TypeEnum, Default: TLSDisable,
		Values: []string{TLSDisable, TLSRequire, TLSVerifyFull},
		Doc:    "TLS towards targets: off, on without checking the certificate, or on with checking it.",
		field:  func(s *Settings) any { return &s.Targets.TLS }},
	{Section: "targets", Key: "tls_ca", Type: TypeFile,
		Doc:   "Authorities (PEM) for verify-full. Empty: those of the system.",
		field: func(s *Settings) any { return &s.Targets.TLSCA }},
	{Section: "targets", Key: "connect_timeout", Type: TypeDuration, Default: "2s", Min: "10ms", Max: "1m",
		Doc:   "How long opening a connection to a target may take.",
		field: func(s *Settings) any { return &s.Targets.ConnectTimeout }},

	{Section: "tuning", Key: "lease", Type: TypeDuration, Default: "600ms", Min: "50ms", Max: "30s",
		Doc:   "How long a home may serve after its last majority of probes. The same on all daemons.",
		field: func(s *Settings) any { return &s.Tuning.Lease }},
	{Section: "tuning", Key: "probe_interval", Type: TypeDuration, Default: "200ms", Min: "5ms", Max: "10s",
		Doc:   "How often a home asks each member for its state; at most a third of lease.",
		field: func(s *Settings) any { return &s.Tuning.ProbeInterval }},
	{Section: "tuning", Key: "probe_timeout", Type: TypeDuration, Default: "150ms", Min: "5ms", Max: "10s",
		Doc:   "How long a probe may take; with probe_interval less than lease.",
		field: func(s *Settings) any { return &s.Tuning.ProbeTimeout }},
	{Section: "tuning", Key: "retry_ratio", Type: TypeRatio, Default: "0.1", Min: "0", Max: "1",
		Doc:   "Repeated reads allowed per request, as the refill of the retry budget.",
		field: func(s *Settings) any { return &s.Tuning.RetryRatio }},
	{Section: "tuning", Key: "retry_backoff", Type: TypeDuration, Default: "10ms", Min: "1ms", Max: "10s",
		Doc:   "First pause before an attempt at another home; doubles, with jitter.",
		field: func(s *Settings) any { return &s.Tuning.RetryBackoff }},
	{Section: "tuning", Key: "session_in_flight", Type: TypeInt, Default: "1000", Min: "1", Max: "1000000",
		Doc:   "Requests of one session in flight at this daemon, beyond which its requests are shed.",
		field: func(s *Settings) any { return &s.Tuning.SessionInFlight }},
	{Section: "tuning", Key: "group_in_flight", Type: TypeInt, Default: "4000", Min: "1", Max: "1000000",
		Doc:   "Requests for one database group in flight at this daemon, beyond which they are shed.",
		field: func(s *Settings) any { return &s.Tuning.GroupInFlight }},
	{Section: "tuning", Key: "peer_idle_timeout", Type: TypeDuration, Default: "1m", Min: "1s", Max: "1h",
		Doc:   "Connections between daemons that carried nothing for so long are closed.",
		field: func(s *Settings) any { return &s.Tuning.PeerIdleTimeout }},
	{Section: "tuning", Key: "peer_dial_timeout", Type: TypeDuration, Default: "1s", Min: "10ms", Max: "1m",
		Doc:   "How long connecting to another daemon may take.",
		field: func(s *Settings) any { return &s.Tuning.PeerDialTimeout }},
	{Section: "tuning", Key: "drain_timeout", Type: TypeDuration, Default: "30s", Min: "100ms", Max: "1h",
		Doc:   "How long a planned stop waits for requests and transactions in flight.",
		field: func(s *Settings) any { return &s.Tuning.DrainTimeout }},
	{Section: "tuning", Key: "drain_grace_period", Type: TypeDuration, Default: "0s", Min: "0s", Max: "10m",
		Doc:   "How long a planned stop goes on accepting callers after it shows not ready, for balancers that look seldom.",
		field: func(s *Settings) any { return &s.Tuning.DrainGracePeriod }},

	{Section: "log", Key: "level", Type: TypeEnum, Default: "info",
		Values: []string{"trace", "debug", "info", "warn", "error", "off"},
		Doc:    "Least level of log lines (JSON, to standard error).",
		field:  func(s *Settings) any { return &s.Log.Level }},

	{Section: "trace", Key: "exporter", Type: TypeEnum, Default: ExporterNone,
		Values: []string{ExporterNone, ExporterStdout, ExporterOTLP},
		Doc:    "Where spans go: nowhere, standard output, or OTLP over HTTP.",
		field:  func(s *Settings) any { return &s.Trace.Exporter }},
	{Section: "trace", Key: "endpoint", Type: TypeText,
		Doc:   "URL of the OTLP receiver, such as http://127.0.0.1:4318.",
		field: func(s *Settings) any { return &s.Trace.Endpoint }},
	{Section: "trace", Key: "sample", Type: TypeRatio, Default: "0.01", Min: "0", Max: "1",
		Doc:   "Share of requests without a sampled traceparent that are traced.",
		field: func(s *Settings) any { return &s.Trace.Sample }},

	{Section: "record", Key: "target", Type: TypeRecord, Default: RecordNone,
		Doc:   "Where the reducers' events are recorded: nowhere, standard output, or a TCP address. Each line is a group, a tab and a line of its trace: `grep ^GROUP | cut -f2-` gives what `limpetspan replay` reads.",
		field: func(s *Settings) any { return &s.Record.Target }},
}
