package control

// Report is the JSON result. Times are in seconds where the name does not say
// otherwise, rates per second; "per daemon" means the fleet's total divided by
// its daemons.
type Report struct {
	Command    string  `json:"command"`
	Date       string  `json:"date"`
	Go         string  `json:"go"`
	CPUs       int     `json:"cpus"`
	GOMAXPROCS int     `json:"gomaxprocs"`
	Network    string  `json:"network"`
	LatencyMS  float64 `json:"latency_ms"`
	Signed     bool    `json:"signed"`
	Fanout     int     `json:"fanout"`
	// FetchDelayMS stands for the fetch of a configuration from a peer.
	FetchDelayMS float64 `json:"fetch_delay_ms"`
	Runs         []Run   `json:"runs"`
	// Slopes are least-squares fits over the runs; absent below four runs.
	Slopes []Slope `json:"slopes,omitempty"`
}

// Run is one size.
type Run struct {
	Daemons  int       `json:"daemons"`
	Groups   int       `json:"groups"`
	Regions  int       `json:"regions"`
	Zones    int       `json:"zones"`
	SetupS   float64   `json:"setup_s"`
	Steady   *Usage    `json:"steady,omitempty"`
	Config   *Config   `json:"config,omitempty"`
	Restarts *Restarts `json:"restarts,omitempty"`
	Zone     *Zone     `json:"zone,omitempty"`
	Region   *Region   `json:"region,omitempty"`
}

// Usage is what one daemon used on average during a part of a run.
type Usage struct {
	Seconds float64 `json:"seconds"`
	// CPUPercentOfCore is user and system time of the process (getrusage).
	CPUPercentOfCore float64 `json:"cpu_percent_of_core"`
	// BytesPerS counts sent and received datagrams, each with 28 bytes of IP
	// and UDP header; SentBytesPerS the sent ones only.
	BytesPerS     float64 `json:"bytes_per_s"`
	SentBytesPerS float64 `json:"sent_bytes_per_s"`
	// MessagesPerS are datagrams sent.
	MessagesPerS float64 `json:"messages_per_s"`
	// MostBytesPerS is BytesPerS of the daemon that had the most.
	MostBytesPerS float64 `json:"most_bytes_per_s"`
	// HeapBytes is the live heap after a collection, at the end.
	HeapBytes float64 `json:"heap_bytes"`
	// StoreCallsPerS are calls of the whole fleet that were made; StoreWatches
	// are the waiting watches of the chosen watchers, which come on top.
	StoreCallsPerS float64 `json:"store_calls_per_s"`
	StoreWatches   int     `json:"store_watches"`
	// Refuted counts the daemons, over the fleet, that had to refute a
	// suspicion: detection was wrong that often.
	Refuted int `json:"refuted"`
}

// Quantiles of a duration in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Config is the part with configuration changes.
type Config struct {
	Usage
	Changes int `json:"changes"`
	// Scale is the rate of changes as a multiple of the plan's.
	Scale float64 `json:"scale"`
	// Reach is the time from the announcement at one daemon until each other
	// has the revision in force, the fetch delay included.
	Reach Quantiles `json:"reach"`
	// All is the time until the last daemon has it, for each change.
	All Quantiles `json:"all"`
	// Missed counts daemons that did not have the last revision at the end.
	Missed int `json:"missed"`
}

// Restarts is the part with planned restarts.
type Restarts struct {
	Usage
	Restarts int `json:"restarts"`
	// Scale is the rate of restarts as a multiple of the plan's.
	Scale float64 `json:"scale"`
	// Joined is the time from the start of the new process until its view
	// has all daemons; Homes until it has news of all homes.
	Joined Quantiles `json:"joined"`
	// AgreeS is the time after the last restart until all views were equal.
	AgreeS float64 `json:"agree_s"`
	Agreed bool    `json:"agreed"`
}

// Zone is the loss of a zone and its return at once.
type Zone struct {
	Lost int `json:"lost"`
	// LossUsage is from the loss until the views of all others are equal,
	// DetectS until all of them hold the whole zone for dead.
	LossUsage Usage   `json:"loss_usage"`
	DetectS   float64 `json:"detect_s"`
	Detected  bool    `json:"detected"`
	// EqualS is the time until the views of all others were equal as well.
	EqualS float64 `json:"equal_s"`
	Equal  bool    `json:"equal"`
	// MovedGroups had a candidate in the zone; MovedPercent is their share.
	MovedGroups  int     `json:"moved_groups"`
	MovedPercent float64 `json:"moved_percent"`
	// ReturnUsage is from the start of all lost daemons until all views are
	// equal; Returned is the part of it that the returning daemons used. BackS
	// is the time until all views hold all daemons for alive.
	ReturnUsage         Usage     `json:"return_usage"`
	ReturnedBytesPerS   float64   `json:"returned_bytes_per_s"`
	Joined              Quantiles `json:"joined"`
	BackS               float64   `json:"back_s"`
	Back                bool      `json:"back"`
	AgreeS              float64   `json:"agree_s"`
	Agreed              bool      `json:"agreed"`
	HostListCalls       int       `json:"host_list_calls"`
	HostListCallsPerS   float64   `json:"host_list_calls_per_s"`
	PeakHostListCallsPS int       `json:"peak_host_list_calls_per_s"`
}

// Region is a separation of one region from the others and its end.
type Region struct {
	Cut        int     `json:"cut"`
	SplitUsage Usage   `json:"split_usage"`
	DetectS    float64 `json:"detect_s"`
	Detected   bool    `json:"detected"`
	HealUsage  Usage   `json:"heal_usage"`
	HealS      float64 `json:"heal_s"`
	Healed     bool    `json:"healed"`
	// EqualS is the time until all views were equal as well.
	EqualS float64 `json:"equal_s"`
	Equal  bool    `json:"equal"`
	// Buried counts daemons that were called dead on their own side.
	Buried int `json:"buried"`
}

// Slope is a metric as Intercept + PerDaemon*daemons + PerGroup*groups.
type Slope struct {
	Metric    string  `json:"metric"`
	Intercept float64 `json:"intercept"`
	PerDaemon float64 `json:"per_daemon"`
	PerGroup  float64 `json:"per_group"`
	// RMSResidual and MaxResidual are in the metric's unit.
	RMSResidual float64 `json:"rms_residual"`
	MaxResidual float64 `json:"max_residual"`
	// AtPlan is the fit at the plan's size.
	AtPlan float64 `json:"at_plan"`
}
