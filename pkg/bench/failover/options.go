package failover

import (
	"fmt"
	"io"
	"slices"

	"limpetspan/pkg/bench/profile"
)

// Fault names what happens in a run.
type Fault string

// The faults.
const (
	// Crash ends the primary's process.
	Crash Fault = "crash"
	// Partition cuts the primary off from clients and members.
	Partition Fault = "partition"
	// Isolated cuts the primary off from the members only: it takes writes
	// that no other member ever gets.
	Isolated Fault = "isolated"
	// Pause stops the primary's process, which wakes up after the gap with
	// everything it had.
	Pause Fault = "pause"
	// StoreDown crashes the primary while the store answers nothing.
	StoreDown Fault = "store-down"
	// HomeKilled ends the process of the daemon that is home.
	HomeKilled Fault = "home-killed"
)

// Faults are all faults.
var Faults = []Fault{Crash, Partition, Isolated, Pause, StoreDown, HomeKilled}

// Defaults of Options.
const (
	DefaultRuns    = 20
	DefaultCallers = 8
)

// Options of a measurement.
type Options struct {
	Profile profile.Profile
	// Runs is the number of runs; they take the faults in turn.
	Runs   int
	Faults []Fault
	// Callers is the number of callers that write; zero: DefaultCallers.
	Callers int
	// Command is noted in the report.
	Command string
	// Progress takes a line for each run, Log the daemons' log; nil: none.
	Progress, Log io.Writer
	// LogLevel of the daemons; empty: "info".
	LogLevel string
}

func (o *Options) complete() error {
	if o.Runs <= 0 {
		o.Runs = DefaultRuns
	}
	if o.Callers <= 0 {
		o.Callers = DefaultCallers
	}
	if len(o.Faults) == 0 {
		o.Faults = Faults
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("unknown fault %q: one of %v", f, Faults)
		}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return nil
}
