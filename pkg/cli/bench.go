package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"limpetspan/pkg/bench/control"
)

// BenchCommand groups the measurements.
type BenchCommand struct {
	Control  *BenchControlCommand  `arg:"subcommand:control" help:"measure what the control work of a daemon costs, with many daemons in this process"`
	Config   *BenchConfigCommand   `arg:"subcommand:config" help:"measure how fast accepted changes of the configuration are in force"`
	Takeover *BenchTakeoverCommand `arg:"subcommand:takeover" help:"measure a take-over of many records while callers work, and check it"`
	Capacity *BenchCapacityCommand `arg:"subcommand:capacity" help:"write the capacity page from the measurement files"`
	Failover *BenchFailoverCommand `arg:"subcommand:failover" help:"measure the gap of writes when the primary or its home fails"`
	Reads    *BenchReadsCommand    `arg:"subcommand:reads" help:"measure the share of reads that replicas serve, beside baselines"`
	Overhead *BenchOverheadCommand `arg:"subcommand:overhead" help:"compare statements through a daemon with direct ones"`
	Idle     *BenchIdleCommand     `arg:"subcommand:idle" help:"measure the memory of idle caller connections"`
	Home     *BenchHomeCommand     `arg:"subcommand:home" help:"measure what a group at rest costs its candidates"`
	Reducer  *BenchReducerCommand  `arg:"subcommand:reducer" help:"measure the group reducer alone"`
	Report   *BenchReportCommand   `arg:"subcommand:report" help:"run all measurements in short form and compare with an earlier run"`
}

// Examples shows how the subcommand is used.
func (*BenchCommand) Examples() string {
	return `limpetspan bench control --json --daemons 100 --groups 165`
}

// Run says that a measurement has to be named.
func (*BenchCommand) Run(context.Context, *Env) error {
	return Usagef("name a measurement: see limpetspan bench --help")
}

// BenchControlCommand measures the control work.
type BenchControlCommand struct {
	Daemons    []int         `arg:"--daemons" placeholder:"N" help:"numbers of daemons [default: 100]"`
	Groups     []int         `arg:"--groups" placeholder:"M" help:"numbers of groups; the first runs with all numbers of daemons, the others with the smallest of these [default: 165]"`
	Seconds    int           `arg:"--seconds" default:"10" placeholder:"S" help:"length of the parts that have no end of their own"`
	Scenarios  []string      `arg:"--scenarios" placeholder:"NAME" help:"steady, config, restarts, zone, region [default: all]"`
	Regions    int           `arg:"--regions" default:"4" placeholder:"N" help:"regions of the fleet"`
	Zones      int           `arg:"--zones" default:"12" placeholder:"N" help:"availability zones of the fleet"`
	Fanout     int           `arg:"--fanout" default:"3" placeholder:"N" help:"daemons told in a round of news; 0: probes and digests only"`
	FetchDelay time.Duration `arg:"--fetch-delay" default:"20ms" placeholder:"D" help:"stands for the fetch of a configuration from a peer"`
	Memory     bool          `arg:"--memory" help:"use a network in memory in place of UDP on loopback"`
	Latency    time.Duration `arg:"--latency" default:"0s" placeholder:"D" help:"one-way latency of the network in memory"`
	Key        string        `arg:"--key" placeholder:"TEXT" help:"sign the datagrams with this key"`
	Out        string        `arg:"--out" placeholder:"FILE" help:"write the JSON report to this file, too"`
}

// Examples shows how the subcommand is used.
func (*BenchControlCommand) Examples() string {
	return `limpetspan bench control --json --daemons 100 --groups 165
limpetspan bench control --json --daemons 100 200 400 800 1700 --groups 2800 700 1400 --out control.json
limpetspan bench control --json --daemons 400 --groups 660 --memory --latency 20ms --scenarios config`
}

// benchSettle is the pause before the first measurement.
const benchSettle = 5 * time.Second

// Run carries out the subcommand.
func (c *BenchControlCommand) Run(ctx context.Context, env *Env) error {
	report, failure := control.Measure(ctx, control.Options{
		Daemons: c.Daemons, Groups: c.Groups, Seconds: c.Seconds, Settle: benchSettle, Scenarios: c.Scenarios,
		Regions: c.Regions, Zones: c.Zones, Fanout: c.Fanout, FetchDelay: c.FetchDelay,
		Memory: c.Memory, Latency: c.Latency, Key: []byte(c.Key),
		Command: "limpetspan " + strings.Join(os.Args[1:], " "), Progress: env.Stderr,
	})
	if failure != nil && (report == nil || len(report.Runs) == 0) {
		return Failedf("%w", failure)
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Failedf("report: %w", err)
	}
	text = append(text, '\n')
	if c.Out != "" {
		if err := os.WriteFile(c.Out, text, 0o644); err != nil {
			return Failedf("report: %w", err)
		}
	}
	if env.JSON {
		if _, err := env.Stdout.Write(text); err != nil {
			return err
		}
	} else {
		printRuns(env, report)
	}
	if failure != nil {
		return Failedf("%w", failure) // after the runs that were made
	}
	return nil
}

func printRuns(env *Env, report *control.Report) {
	for _, run := range report.Runs {
		if u := run.Steady; u != nil {
			fmt.Fprintf(env.Stdout, "%d daemons, %d groups: %.3f %% of a core, %.0f bytes/s, %.0f bytes of heap per daemon\n",
				run.Daemons, run.Groups, u.CPUPercentOfCore, u.BytesPerS, u.HeapBytes)
		}
	}
}
