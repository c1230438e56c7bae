package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"limpetspan/pkg/record"
)

// ReportCommand sums up the record of a run with faults.
type ReportCommand struct {
	File   string        `arg:"positional,required" placeholder:"FILE" help:"record of a run, as the soak writes it"`
	Window time.Duration `arg:"--window" default:"1s" placeholder:"D" help:"length of a row"`
	Plot   string        `arg:"--plot" placeholder:"FILE" help:"draw latency and faults over time; .svg, .png or .pdf"`
}

// Examples shows how the subcommand is used.
func (*ReportCommand) Examples() string {
	return `limpetspan report soak/300-1/record.jsonl
limpetspan report --window 250ms --plot run.svg soak/300-1/record.jsonl`
}

// Run carries out the subcommand.
func (c *ReportCommand) Run(_ context.Context, env *Env) error {
	if c.Window <= 0 {
		return Usagef("--window is above zero")
	}
	file, err := os.Open(c.File)
	if err != nil {
		return Usagef("%w", err)
	}
	defer file.Close()
	events, err := record.Read(file)
	if err != nil {
		return Usagef("%s: %w", c.File, err)
	}
	s := record.Summarize(events, c.Window)
	if c.Plot != "" {
		if err := s.Plot(events, c.Plot); err != nil {
			return Failedf("%w", err)
		}
	}
	if env.JSON {
		return env.WriteJSON(s)
	}
	printSummary(env, &s)
	return nil
}

func printSummary(env *Env, s *record.Summary) {
	fmt.Fprintf(env.Stdout, "%8s %7s %7s %7s %9s %9s  %s\n", "from s", "served", "not run", "unknown", "p50 ms", "p99 ms", "faults")
	for _, r := range s.Rows {
		printRow(env, fmt.Sprintf("%.2f", r.From.Seconds()), r)
	}
	printRow(env, "all", s.Total)
	fmt.Fprintf(env.Stdout, "longest time without a served write: %v, up to %.2f s; reads by replicas: %.2f\n",
		s.Gap.Round(time.Millisecond), s.GapEnd.Seconds(), s.ReplicaReads)
}

func printRow(env *Env, name string, r record.Row) {
	faults := ""
	if name != "all" {
		faults = strings.Join(r.Faults, "; ")
	}
	fmt.Fprintf(env.Stdout, "%8s %7d %7d %7d %9.1f %9.1f  %s\n", name, r.Served, r.NotRun, r.Unknown,
		r.P50.Seconds()*1000, r.P99.Seconds()*1000, faults)
}
