// Command days plays days of our own on the users' bench: each holds faults of a
// few kinds, alone and overlapping. It prints one line a day.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/alexflint/go-arg"
	"golang.org/x/sync/errgroup"
)

type arguments struct {
	Bench string `arg:"--bench,required" help:"the bench's program"`
	Site  string `arg:"--site,required" help:"site file; its first day gives the traffic"`
	Seed  int    `arg:"--seed" default:"1"`
	Only  string `arg:"--only" help:"play days whose name has this in it"`
	Jobs  int    `arg:"--jobs" default:"4" help:"days played at once"`
}

// Description opens the help.
func (arguments) Description() string {
	return "days plays days of our own on the users' bench and prints one line a day."
}

var (
	planPart   = regexp.MustCompile(`(?s)plan = \[.*?\n\]\n`)
	faultsPart = regexp.MustCompile(`(?s)faults = \[.*?\n\]\n`)
	namePart   = regexp.MustCompile(`(?m)^name = .*$`)
	slotPart   = regexp.MustCompile(`(?m)^slot = .*$`)
)

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := play(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

func play(ctx context.Context, args arguments) error {
	site, err := os.ReadFile(args.Site)
	if err != nil {
		return err
	}
	parts := strings.Split(string(site), "[[day]]")
	if len(parts) < 2 {
		return fmt.Errorf("%s: no day to take the traffic from", args.Site)
	}
	dir, err := os.MkdirTemp("", "days")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	names := dayNames(args.Only)
	lines := make([]string, len(names))
	work, ctx := errgroup.WithContext(ctx)
	work.SetLimit(args.Jobs)
	for i, name := range names {
		work.Go(func() error {
			file := filepath.Join(dir, name+".toml")
			if err := os.WriteFile(file, []byte("[[day]]"+compose(parts[1], name)), 0o600); err != nil {
				return err
			}
			lines[i] = run(ctx, args, file, name)
			return nil
		})
	}
	err = work.Wait()
	fmt.Println(strings.Join(lines, "\n"))
	return err
}

func dayNames(only string) []string {
	var names []string
	for name := range days {
		if strings.Contains(name, only) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// compose replaces name, planned work and faults of a day.
func compose(day, name string) string {
	d := days[name]
	day = planPart.ReplaceAllLiteralString(day, "plan = [\n"+entries(d.plan)+"]\n")
	day = faultsPart.ReplaceAllLiteralString(day, "faults = [\n"+entries(d.faults)+"]\n")
	day = namePart.ReplaceAllLiteralString(day, "name = "+strconv.Quote(name))
	return slotPart.ReplaceAllLiteralString(day, `slot = "trouble"`)
}

func entries(list []string) string {
	var b strings.Builder
	for _, e := range list {
		b.WriteString("  { " + e + " },\n")
	}
	return b.String()
}

// run plays a day and returns the bench's line on it, or the end of its output.
func run(ctx context.Context, args arguments, file, name string) string {
	cmd := exec.CommandContext(ctx, args.Bench, "run", args.Site, file, "--seed", strconv.Itoa(args.Seed), "--jobs", "1")
	out, err := cmd.CombinedOutput()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	for _, line := range lines {
		if strings.HasPrefix(line, name+" ") {
			return line
		}
	}
	return fmt.Sprintf("%s: %v: %s", name, err, lines[len(lines)-1])
}
