// Command limpetspand is the daemon of limpetspan: it serves PostgreSQL callers
// and is home of database groups.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"limpetspan/core/policy"
	"limpetspan/pkg/daemon"
	"limpetspan/pkg/proxy"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/telemetry"
	"limpetspan/platform"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Config   string   `arg:"--config" placeholder:"FILE.ini" help:"settings of the daemon"`
	Platform bool     `arg:"--platform" help:"serve the platform's callers; its settings file is named by LIMPETSPAN_CONFIG"`
	Trace    string   `arg:"--trace" default:"none" placeholder:"none|stdout|otlp" help:"with --platform: where spans go"`
	TraceURL string   `arg:"--trace-endpoint" placeholder:"URL" help:"with --trace otlp: the collector"`
	Sample   float64  `arg:"--trace-sample" default:"0.01" placeholder:"SHARE" help:"with --trace: share of statements that are traced"`
	Off      []string `arg:"--switch-off,separate" placeholder:"NAME" help:"with --platform: do without a mechanism, to measure what it is worth; may be given several times"`
	Split    bool     `arg:"--split-limits" help:"with --platform: split team limits between two daemons; set it for all daemons of a fleet with one restart of the whole fleet, never in a rolling restart"`
	Names    int      `arg:"--session-names" default:"512" placeholder:"N" help:"with --platform: values and prepared statements that a session may have"`
	Bytes    int      `arg:"--session-bytes" default:"262144" placeholder:"N" help:"with --platform: bytes that these may take"`
	Check    bool     `arg:"--check" help:"check the settings and exit"`
	Settings bool     `arg:"--settings" help:"print all settings as Markdown and exit"`
}

// Version is the build's version, for --version.
func (arguments) Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return "limpetspand " + info.Main.Version
	}
	return "limpetspand"
}

// Description opens the help.
func (arguments) Description() string {
	return "limpetspand serves PostgreSQL callers with session consistency in front of replicated database groups."
}

// Epilogue closes the help.
func (arguments) Epilogue() string {
	return `Examples:
  limpetspand --config /etc/limpetspan/daemon.ini
  limpetspand --config daemon.ini --check
  limpetspand --settings > CONFIGURATION.md

Signals: SIGTERM and SIGINT begin a planned stop that cuts off no request; a
second one ends the daemon at once.

Exit codes: 0 ended as asked, 1 failed while running, 2 bad settings or arguments.`
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "limpetspand", Exit: os.Exit}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parser.MustParse(os.Args[1:])
	// The signals are handled before the settings are read: their default action
	// would end a process that is starting as if it had crashed.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if args.Settings {
		fmt.Print(settings.Markdown())
		return exitOK
	}
	if args.Platform {
		return servePlatform(ctx, &args)
	}
	if args.Config == "" {
		fmt.Fprintln(os.Stderr, "limpetspand: --config is required; see --help")
		return exitSettings
	}
	s, err := settings.Load(args.Config)
	if err == nil {
		err = daemon.Check(args.Config, s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		fmt.Println(args.Config + ": settings are valid")
		return exitOK
	}
	// After the first signal the default action is back, so that a second one
	// ends the process.
	context.AfterFunc(ctx, stop)
	return serve(ctx, s)
}

// servePlatform runs the daemon that reaches the platform's members itself.
func servePlatform(ctx context.Context, args *arguments) int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand:", err)
		return exitSettings
	}
	// The exporter outlives a planned stop that has already begun.
	provider, err := args.provider(context.WithoutCancel(ctx), &s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand:", err)
		return exitSettings
	}
	s.SplitLimits = args.Split
	p := proxy.New(s, os.Stdout)
	set, err := policy.All.Without(args.Off...)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand: --switch-off:", err)
		return exitSettings
	}
	p.SetPolicy(set)
	if err := p.SetSessionLimits(proxy.SessionLimits{Names: args.Names, Bytes: args.Bytes}); err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand: --session-names, --session-bytes:", err)
		return exitSettings
	}
	if provider.Enabled() {
		p.SetTracer(provider.Tracer("limpetspan/proxy"))
	}
	go func() {
		for range reload {
			p.Reload(platform.LoadSettings(os.Getenv(platform.SettingsVariable)))
		}
	}()
	err = p.Run(ctx)
	if shutdown := provider.Shutdown(context.Background()); shutdown != nil {
		fmt.Fprintln(os.Stderr, "limpetspand: spans not sent:", shutdown)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand:", err)
		return exitFailed
	}
	return exitOK
}

// provider returns where spans go, as the arguments say.
func (a *arguments) provider(ctx context.Context, s *platform.Settings) (*telemetry.Provider, error) {
	switch {
	case a.Trace != settings.ExporterNone && a.Trace != settings.ExporterStdout && a.Trace != settings.ExporterOTLP:
		return nil, fmt.Errorf("--trace %q: allowed are none, stdout and otlp", a.Trace)
	case a.Trace == settings.ExporterOTLP && a.TraceURL == "":
		return nil, errors.New("--trace otlp needs --trace-endpoint")
	case a.Sample < 0 || a.Sample > 1:
		return nil, fmt.Errorf("--trace-sample %v: not between 0 and 1", a.Sample)
	}
	return telemetry.NewProvider(ctx, settings.Trace{Exporter: a.Trace, Endpoint: a.TraceURL, Sample: a.Sample},
		settings.Daemon{ID: string(s.Daemon), Zone: string(s.Zone)}, os.Stdout)
}

func serve(ctx context.Context, s *settings.Settings) int {
	d, err := daemon.New(s, daemon.Options{})
	if err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand:", err)
		return exitFailed
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "limpetspand:", err)
		return exitFailed
	}
	return exitOK
}
