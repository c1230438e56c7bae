package home

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/bench/result"
	"limpetspan/pkg/embedded"
)

const (
	startTimeout = time.Minute
	// settle is the pause before a measurement: connections that were warmed
	// up and news that still spreads are no rest.
	settle = 3 * time.Second
	// candidates of each group.
	candidates = 3
	// Defaults of Options.
	DefaultFew    = 2
	DefaultMany   = 12
	DefaultWindow = 8 * time.Second
)

// Options of a measurement.
type Options struct {
	// Few and Many are the numbers of groups between which the slope is taken.
	Few, Many int
	// Window is the length of each part.
	Window  time.Duration
	Command string
	// Progress takes a line for each part; nil: none.
	Progress io.Writer
}

// Report is the result of a measurement, per group and candidate.
type Report struct {
	result.Head
	Few              int     `json:"few_groups"`
	Many             int     `json:"many_groups"`
	CPUPercentOfCore float64 `json:"cpu_percent_of_core_per_group"`
	BytesPerS        float64 `json:"bytes_per_s_per_group"`
	MessagesPerS     float64 `json:"messages_per_s_per_group"`
	HeapBytes        float64 `json:"heap_bytes_per_group"`
	How              string  `json:"how"`
}

const how = "slope of the whole process between few and many groups before three daemons at rest, for each candidate, less the " +
	"stand-ins without daemons; the stand-ins' processor time and memory for the daemons is left in: upper bounds. Bytes are the " +
	"daemons' own, sent and received, messages the write calls of daemons and members"

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if o.Few <= 0 || o.Many <= o.Few {
		o.Few, o.Many = DefaultFew, DefaultMany
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	report := &Report{Head: result.Begin(o.Command), Few: o.Few, Many: o.Many, How: how}
	with, err := o.slope(ctx, true)
	if err != nil {
		return nil, fmt.Errorf("home: %w", err)
	}
	without, err := o.slope(ctx, false)
	if err != nil {
		return nil, fmt.Errorf("home: %w", err)
	}
	each := with.minus(without).per(candidates)
	report.CPUPercentOfCore, report.BytesPerS, report.MessagesPerS, report.HeapBytes = each.cpu, each.bytes, each.messages, each.heap
	report.End()
	return report, nil
}

// slope is what one more group takes.
func (o *Options) slope(ctx context.Context, daemons bool) (usage, error) {
	few, err := o.rest(ctx, o.Few, daemons)
	if err != nil {
		return usage{}, err
	}
	many, err := o.rest(ctx, o.Many, daemons)
	if err != nil {
		return usage{}, err
	}
	return many.minus(few).per(float64(o.Many - o.Few)), nil
}

// rest measures a fleet at rest.
func (o *Options) rest(ctx context.Context, groups int, daemons bool) (usage, error) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := embedded.Start(starting, fleetOf(groups, daemons))
	if err != nil {
		return usage{}, err
	}
	defer fleet.Close()
	if daemons && !allHome(starting, fleet, groups) {
		return usage{}, fmt.Errorf("%d groups: not every group has a home", groups)
	}
	time.Sleep(settle)
	u, err := observe(o.Window, func() int64 { return memberTraffic(fleet, groups) })
	if err != nil {
		return usage{}, err
	}
	fmt.Fprintf(o.Progress, "%d groups, daemons %t: %.2f %% of a core, %.0f bytes/s, %.0f writes/s, %.0f bytes of heap\n",
		groups, daemons, u.cpu, u.bytes, u.messages, u.heap)
	return u, ctx.Err()
}

// memberTraffic is the bytes that all members received and sent.
func memberTraffic(fleet *embedded.Fleet, groups int) int64 {
	var sum int64
	for _, o := range fleet.Options.Groups[:groups] {
		for _, m := range fleet.Group(o.ID).Members() {
			sum += m.Traffic()
		}
	}
	return sum
}

// fleetOf is the first users' fleet with so many groups.
func fleetOf(groups int, daemons bool) embedded.Options {
	o := embedded.Kitacycle(0)
	first := o.Groups[0]
	o.Groups = nil
	for i := range groups {
		g := first
		g.ID = core.GroupID(fmt.Sprintf("parkdb-%d", i+1))
		o.Groups = append(o.Groups, g)
	}
	if !daemons {
		o.Daemons = nil
	}
	return o
}

// homePoll is the pause between looks at the homes.
const homePoll = 100 * time.Millisecond

// allHome waits until each group has a home.
func allHome(ctx context.Context, fleet *embedded.Fleet, groups int) bool {
	for {
		var homes []core.GroupID
		for _, d := range fleet.Daemons() {
			for _, h := range d.Status(false).Homes {
				if !slices.Contains(homes, h.Group) {
					homes = append(homes, h.Group)
				}
			}
		}
		if len(homes) == groups {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(homePoll):
		}
	}
}

// Plot draws the bytes and the processor time.
func (r *Report) Plot(file string) error {
	return result.Bars(file, "A group at rest, for each candidate", "", []result.Bar{
		{Name: "bytes/s", Value: r.BytesPerS}, {Name: "writes/s", Value: r.MessagesPerS}, {Name: "KB of heap", Value: r.HeapBytes / 1024},
	})
}
