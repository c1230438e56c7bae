package control

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Options say what to measure.
type Options struct {
	// Daemons and Groups are the sizes. Each number of daemons runs with the
	// first number of groups, each further number of groups with the smallest
	// number of daemons.
	Daemons []int
	Groups  []int
	// Seconds is the length of each measured part that has no end of its own.
	Seconds int
	// Settle is the pause after the start, in which news of it dies down.
	Settle time.Duration
	// Scenarios to run; empty: all of them.
	Scenarios []string
	// Regions and Zones of the fleet; daemons are spread evenly over them.
	Regions int
	Zones   int
	// Fanout is the number of daemons told in a round of news; without any,
	// news rides on probes and is found by digests only.
	Fanout int
	// FetchDelay stands for the fetch of a changed configuration from the peer
	// that offers it.
	FetchDelay time.Duration
	// Memory replaces UDP by a network within the process, with Latency one way.
	Memory  bool
	Latency time.Duration
	// Key signs all datagrams.
	Key []byte
	// Command is the command line, for the report.
	Command string
	// Progress is told what goes on.
	Progress io.Writer
}

// The scenarios, in the order in which they run.
const (
	ScenarioSteady   = "steady"
	ScenarioConfig   = "config"
	ScenarioRestarts = "restarts"
	ScenarioZone     = "zone"
	ScenarioRegion   = "region"
)

// Scenarios are all scenarios.
var Scenarios = []string{ScenarioSteady, ScenarioConfig, ScenarioRestarts, ScenarioZone, ScenarioRegion}

// The plan's size and rates.
const (
	PlanDaemons        = 1700
	PlanGroups         = 2800
	planChangesPerDay  = 3300
	planRestartsPerDay = 570
	secondsPerDay      = 86400
)

const (
	minDaemons = 12
	maxDaemons = 4000
	maxGroups  = 20000
	maxSeconds = 600
	maxFanout  = 10
)

// Check fills in defaults and refuses what cannot be run.
func (o *Options) Check() error {
	if len(o.Daemons) == 0 {
		o.Daemons = []int{100}
	}
	if len(o.Groups) == 0 {
		o.Groups = []int{165}
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = Scenarios
	}
	for _, n := range o.Daemons {
		if n < minDaemons || n > maxDaemons {
			return fmt.Errorf("daemons must be %d to %d, not %d", minDaemons, maxDaemons, n)
		}
	}
	for _, m := range o.Groups {
		if m < 1 || m > maxGroups {
			return fmt.Errorf("groups must be 1 to %d, not %d", maxGroups, m)
		}
	}
	for _, s := range o.Scenarios {
		if !slices.Contains(Scenarios, s) {
			return fmt.Errorf("unknown scenario %q; there are %v", s, Scenarios)
		}
	}
	if o.Seconds < 1 || o.Seconds > maxSeconds {
		return fmt.Errorf("seconds must be 1 to %d, not %d", maxSeconds, o.Seconds)
	}
	if o.Regions < 2 || o.Zones < o.Regions || o.Zones > minDaemons {
		return fmt.Errorf("there must be 2 regions or more and at most %d zones, not fewer than regions", minDaemons)
	}
	if o.Fanout < 0 || o.Fanout > maxFanout {
		return fmt.Errorf("the fan-out must be 0 to %d, not %d", maxFanout, o.Fanout)
	}
	if !o.Memory && o.Latency != 0 {
		return fmt.Errorf("a latency needs the memory network")
	}
	return nil
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, time.Now().Format("15:04:05 ")+format+"\n", args...)
	}
}

// size is one pair of the sizes to run.
type size struct{ daemons, groups int }

func (o *Options) sizes() []size {
	var list []size
	for _, n := range o.Daemons {
		list = append(list, size{n, o.Groups[0]})
	}
	for _, m := range o.Groups[1:] {
		list = append(list, size{slices.Min(o.Daemons), m})
	}
	return list
}
