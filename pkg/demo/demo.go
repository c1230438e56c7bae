package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"limpetspan/pkg/embedded"
)

// Options of a demo.
type Options struct {
	// Progress takes a line for each step.
	Progress io.Writer
	// Log takes the daemons' log lines; nil: dropped.
	Log io.Writer
	// Phase is how long callers run in each part. Zero: DefaultPhase.
	Phase time.Duration
	// Callers is the number of sessions. Zero: DefaultCallers.
	Callers int
}

// Defaults of Options.
const (
	DefaultPhase   = 3 * time.Second
	DefaultCallers = 12
)

// startTimeout bounds the start of the fleet.
const startTimeout = 30 * time.Second

// Result is the demo's last line.
type Result struct {
	Demo string `json:"demo"`
	// Failed names the promises that did not hold.
	Failed []string `json:"failed,omitempty"`
	Writes int      `json:"writes_acknowledged"`
	Reads  int      `json:"reads_checked"`
	// Roamed counts the reads that went through another daemon than the write.
	Roamed int `json:"reads_through_another_daemon"`
	// Refused and Unknown count the writes that ended with that outcome.
	Refused int `json:"writes_not_run"`
	Unknown int `json:"writes_unknown"`
	// Stale, Lost and Doubled must be zero.
	Stale   int `json:"stale_reads"`
	Lost    int `json:"lost_writes"`
	Doubled int `json:"doubled_writes"`
	// FailoverGapMS is the time from the crash of the primary to the first
	// write acknowledged after it.
	FailoverGapMS float64 `json:"failover_gap_ms"`
	// ConfigurationMS is the time from an accepted change to its being in
	// force on every daemon.
	ConfigurationMS float64 `json:"configuration_in_force_ms"`
	Seconds         float64 `json:"seconds"`
}

// Run carries out the demo. The error is for what kept it from running; broken
// promises are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Phase <= 0 {
		o.Phase = DefaultPhase
	}
	if o.Callers <= 0 {
		o.Callers = DefaultCallers
	}
	began := time.Now()
	fleetOptions := embedded.Kitacycle(embedded.KitacycleLatency)
	fleetOptions.Log = o.Log
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := embedded.Start(starting, fleetOptions)
	if err != nil {
		return Result{}, fmt.Errorf("start the fleet: %w", err)
	}
	defer fleet.Close()
	d := &run{options: o, fleet: fleet, began: began}
	d.say("a store, group %s of three members and three daemons are up", fleetOptions.Groups[0].ID)
	if err := d.steps(ctx); err != nil {
		return d.result, err
	}
	d.result.Seconds = time.Since(began).Seconds()
	d.result.Demo = "ok"
	if len(d.result.Failed) > 0 {
		d.result.Demo = "failed"
	}
	return d.result, nil
}

// run is one demo in progress.
type run struct {
	options Options
	fleet   *embedded.Fleet
	began   time.Time
	ledger  ledger
	result  Result
}

func (d *run) say(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// check notes a promise that does not hold.
func (d *run) check(promise string, holds bool) {
	if holds {
		d.say("holds: %s", promise)
		return
	}
	d.say("BROKEN: %s", promise)
	d.result.Failed = append(d.result.Failed, promise)
}

func (d *run) steps(ctx context.Context) error {
	if err := d.createTable(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{d.roam, d.failOver, d.configure, d.audit} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}
