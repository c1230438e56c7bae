package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/operator"
)

// TakeoverStatusCommand shows how far the take-overs are.
type TakeoverStatusCommand struct {
	Kind string `arg:"positional" placeholder:"KIND" help:"only this kind of record"`
}

// Examples are shown in the help.
func (*TakeoverStatusCommand) Examples() string {
	return "limpetspan takeover status\nlimpetspan takeover status listing --daemon 10.0.0.7:7434 --json"
}

// takeoverEntry is the JSON form of one take-over's progress.
type takeoverEntry struct {
	Kind    string               `json:"kind"`
	State   config.TakeoverState `json:"state"`
	Buckets int                  `json:"buckets"`
	Flipped int                  `json:"flipped"`
	Fenced  int                  `json:"fenced"`
	Worker  string               `json:"worker,omitempty"`
	// Share of the buckets that have moved, from 0 to 1.
	Share float64 `json:"share"`
	// The rest is known only when the working daemon was asked.
	Daemon        string  `json:"daemon,omitempty"`
	Records       int64   `json:"records,omitempty"`
	RecordsPerSec float64 `json:"records_per_s,omitempty"`
	// TimeLeft is extrapolated from what the daemon did since it took it up.
	TimeLeft time.Duration `json:"time_left_ns,omitempty"`
	PauseMax time.Duration `json:"pause_max_ns,omitempty"`
	Blocked  []int         `json:"blocked,omitempty"`
	// LastError is the working daemon's latest failure, in LastStep; it may have
	// been overcome since.
	LastError string    `json:"last_error,omitempty"`
	LastStep  string    `json:"last_error_step,omitempty"`
	LastAt    time.Time `json:"last_error_at,omitzero"`
}

// Run shows the declared state from the store and, when daemons are given,
// the rate from the one that works.
func (c *TakeoverStatusCommand) Run(ctx context.Context, env *Env) error {
	doc, err := env.document(ctx)
	if err != nil {
		return err
	}
	if c.Kind != "" && doc.Takeovers[c.Kind] == nil {
		return Usagef("no take-over of %s is declared", c.Kind)
	}
	var reports []daemonReport
	if len(env.Daemons) > 0 {
		if reports, err = env.liveDaemons(ctx); err != nil {
			return err
		}
		env.askStatus(ctx, reports)
	}
	var rows [][]any
	var failures []string
	for _, kind := range slices.Sorted(maps.Keys(doc.Takeovers)) {
		if c.Kind != "" && c.Kind != kind {
			continue
		}
		entry := newTakeoverEntry(kind, doc.Takeovers[kind], reports)
		if env.JSON {
			if err := env.WriteJSON(entry); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, entry.row())
		if entry.LastError != "" {
			failures = append(failures, entry.failure())
		}
	}
	if env.JSON {
		return nil
	}
	header := []any{"KIND", "STATE", "MOVED", "SHARE", "DAEMON", "RECORDS/S", "TIME LEFT", "LONGEST PAUSE", "BLOCKED"}
	if err := writeTable(env.Stdout, header, rows); err != nil {
		return err
	}
	for _, line := range failures {
		if _, err := fmt.Fprintln(env.Stdout, line); err != nil {
			return err
		}
	}
	return nil
}

func newTakeoverEntry(kind string, t *config.Takeover, reports []daemonReport) takeoverEntry {
	entry := takeoverEntry{Kind: kind, State: t.State, Buckets: t.Buckets, Flipped: t.FlippedCount(), Fenced: t.FencedCount(), Worker: t.Worker}
	entry.Share = float64(entry.Flipped) / float64(max(1, t.Buckets))
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for i := range r.Status.Takeovers {
			if r.Status.Takeovers[i].Kind == kind {
				entry.addWork(r.name(), &r.Status.Takeovers[i])
			}
		}
	}
	return entry
}

func (e *takeoverEntry) addWork(daemon string, work *operator.TakeoverWork) {
	p := work.Progress
	e.Daemon, e.Records, e.PauseMax, e.Blocked = daemon, p.Records, p.PauseMax, p.Blocked
	e.LastError, e.LastStep, e.LastAt = work.LastError, work.LastStep, work.LastAt
	if work.Elapsed <= 0 {
		return
	}
	e.RecordsPerSec = float64(p.Records) / work.Elapsed.Seconds()
	if p.Done > 0 {
		perBucket := work.Elapsed / time.Duration(p.Done)
		e.TimeLeft = perBucket * time.Duration(max(0, p.Buckets-p.Done))
	}
}

func (e *takeoverEntry) row() []any {
	if e.Daemon == "" {
		return []any{e.Kind, e.State, e.moved(), e.percent(), orDash(e.Worker), "-", "-", "-", "-"}
	}
	return []any{e.Kind, e.State, e.moved(), e.percent(), e.Daemon, fmt.Sprintf("%.0f", e.RecordsPerSec),
		e.TimeLeft.Round(time.Second), e.PauseMax.Round(time.Millisecond), orDash(blockedText(e.Blocked))}
}

// failure is the line below the table that tells of the last error.
func (e *takeoverEntry) failure() string {
	return fmt.Sprintf("%s: last error at %s in %s: %s", e.Kind, e.LastAt.UTC().Format(time.RFC3339), e.LastStep, e.LastError)
}

func (e *takeoverEntry) moved() string { return fmt.Sprintf("%d of %d", e.Flipped, e.Buckets) }

func (e *takeoverEntry) percent() string { return fmt.Sprintf("%.1f %%", 100*e.Share) }

func blockedText(buckets []int) string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(buckets)), ","), "[]")
}
