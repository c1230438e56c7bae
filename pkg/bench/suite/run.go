package suite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// TableFile is the name of the table in the directory.
const TableFile = "REPORT.md"

// Options of a run.
type Options struct {
	// Out is the directory of the results, Compare that of an earlier run; empty: none.
	Out, Compare string
	Command      string
	// Progress takes what the benches tell; nil: nothing.
	Progress io.Writer
}

// Run carries the benches out one after the other. A bench that fails is named
// in the table and in the error; the others still run.
func Run(ctx context.Context, o Options) error {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	earlier := documents{}
	if o.Compare != "" {
		var err error
		if earlier, err = load(o.Compare); err != nil {
			return fmt.Errorf("earlier run: %w", err)
		}
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	failed := map[string]error{}
	var errs []error
	for _, b := range benches {
		fmt.Fprintf(o.Progress, "bench %s\n", b.name)
		if err := o.runOne(ctx, b); err != nil {
			failed[b.name] = err
			errs = append(errs, fmt.Errorf("%s: %w", b.name, err))
		}
	}
	now, err := load(o.Out)
	if err != nil {
		return err
	}
	for name := range failed {
		// A file of an earlier run in the same directory is no result of this one.
		delete(now, name)
	}
	text := table(now, earlier, failed)
	errs = append(errs, os.WriteFile(filepath.Join(o.Out, TableFile), []byte(text), 0o644))
	return errors.Join(errs...)
}

// runOne runs a bench and writes its report and plot.
func (o *Options) runOne(ctx context.Context, b bench) error {
	r, err := b.run(ctx, o.Progress, o.Command)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.Out, b.name+".json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return r.Plot(filepath.Join(o.Out, b.name+".png"))
}
