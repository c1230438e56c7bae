package cli

import (
	"encoding/json"
	"io"
	"os"
	"strings"
)

// plotter is a report that can be drawn.
type plotter interface{ Plot(file string) error }

// benchCommand is the command line as reports state it.
func benchCommand() string { return "limpetspan " + strings.Join(os.Args[1:], " ") }

// writeReport writes a report to the files that are named and prints it, as
// JSON or in the words of summary.
func writeReport(env *Env, report plotter, out, plot string, summary func(io.Writer)) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Failedf("report: %w", err)
	}
	text = append(text, '\n')
	if out != "" {
		if err := os.WriteFile(out, text, 0o644); err != nil {
			return Failedf("report: %w", err)
		}
	}
	if plot != "" {
		if err := report.Plot(plot); err != nil {
			return Failedf("report: %w", err)
		}
	}
	if env.JSON {
		_, err := env.Stdout.Write(text)
		return err
	}
	summary(env.Stdout)
	return nil
}
