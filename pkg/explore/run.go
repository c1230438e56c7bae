package explore

import (
	"context"
	"maps"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/core/trace"
)

// Options of an exploration.
type Options struct {
	// Seed is the first seed; each run takes the next one.
	Seed uint64
	// Runs is the number of runs.
	Runs int
	// Duration is the model's time with faults in one run.
	Duration time.Duration
	// FaultEvery is the mean time between faults.
	FaultEvery time.Duration
	// LossPerMille is the share of lost messages, in thousandths.
	LossPerMille int
	// Tuning is the reducers' tuning; Tuning.DisabledGuards breaks them.
	Tuning group.Tuning
	// Progress, if set, is called after each run.
	Progress func(done, total int)
}

// DefaultOptions are a short exploration.
func DefaultOptions() Options {
	return Options{Seed: 1, Runs: 50, Duration: 20 * time.Second, FaultEvery: 700 * time.Millisecond, LossPerMille: 10}
}

// Report is the result of an exploration.
type Report struct {
	Runs int `json:"runs"`
	// States counts the reducer steps, each checked.
	States int `json:"states"`
	// Violations with the seeds that reproduce them.
	Violations []SeedViolation `json:"violations"`
	// Counts of operations, acknowledgments and faults.
	Counts map[string]int `json:"counts"`
	// Told counts the sessions that were told of a lost write.
	Told int `json:"told_of_lost_writes"`
}

// SeedViolation is a violation and the seed of its run.
type SeedViolation struct {
	Seed uint64 `json:"seed"`
	Violation
}

// Run explores; it stops early when ctx ends.
func Run(ctx context.Context, o Options) Report {
	report := Report{Counts: map[string]int{}, Violations: []SeedViolation{}}
	for i := range o.Runs {
		if ctx.Err() != nil {
			break
		}
		seed := o.Seed + uint64(i)
		w := runSeed(seed, o, nil)
		report.Runs++
		report.States += w.events
		report.Told += w.told
		for _, v := range w.violations {
			report.Violations = append(report.Violations, SeedViolation{seed, v})
		}
		for name, n := range maps.All(w.counts) {
			report.Counts[name] += n
		}
		if o.Progress != nil {
			o.Progress(i+1, o.Runs)
		}
	}
	return report
}

func runSeed(seed uint64, o Options, r *recording) *world {
	w := newWorld(seed, o)
	if r != nil {
		w.recorder, w.sink = r.event, r.effects
	}
	w.start()
	w.scheduleFaults(o.FaultEvery)
	for w.step() {
	}
	if len(w.violations) == 0 {
		w.checkEnd()
	}
	return w
}

func (w *world) record(d *daemon, ev group.Event) {
	if w.recorder != nil {
		w.recorder(d, ev)
	}
}

func (w *world) recordEffects(d *daemon) {
	if w.sink != nil {
		w.sink(d)
	}
}

// recording keeps the trace of one daemon's first life.
type recording struct {
	daemon core.DaemonID
	lines  [][]byte
	// stated, if set, are the types of the effects that are kept.
	stated  []string
	at      core.Time
	current group.Event
	err     error
}

// Trace runs a seed again and returns the trace of one daemon up to its first
// restart or the violation, for replay.
func Trace(seed uint64, o Options, daemonID core.DaemonID) ([][]byte, error) {
	header, err := trace.EncodeHeader(trace.Header{Group: modelGroup, Self: daemonID, Tuning: o.Tuning})
	if err != nil {
		return nil, err
	}
	r := &recording{daemon: daemonID, lines: [][]byte{header}}
	runSeed(seed, o, r)
	return r.lines, r.err
}

func (r *recording) event(d *daemon, ev group.Event) {
	if d.id == r.daemon && d.life == 1 {
		r.at, r.current = d.clock(), ev
	}
}

func (r *recording) effects(d *daemon) {
	if d.id != r.daemon || d.life != 1 || r.err != nil {
		return
	}
	line, err := trace.EncodeStep(r.at, r.current, r.kept(d.effects.List))
	if err != nil {
		r.err = err
		return
	}
	r.lines = append(r.lines, line)
}

// kept are the effects that the trace states.
func (r *recording) kept(effects []group.Effect) []group.Effect {
	if len(r.stated) == 0 {
		return effects
	}
	return slices.DeleteFunc(slices.Clone(effects), func(e group.Effect) bool {
		return !slices.Contains(r.stated, trace.TypeName(e))
	})
}
