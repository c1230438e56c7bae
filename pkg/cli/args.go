package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/alexflint/go-arg"
)

// Args is the whole command line. The options stand before or after the
// subcommand.
type Args struct {
	Store  []string `arg:"--store,env:LIMPETSPAN_STORE,separate" placeholder:"URL" help:"store endpoints, separated by commas or given several times"`
	Prefix string   `arg:"--prefix,env:LIMPETSPAN_PREFIX" default:"/limpetspan/" placeholder:"PREFIX" help:"prefix of the fleet's keys in the store"`
	Daemon []string `arg:"--daemon,env:LIMPETSPAN_DAEMON,separate" placeholder:"ADDR" help:"operator address (host:port) of a daemon; may be given several times; the others are learned from its status"`
	JSON   bool     `arg:"--json" help:"print JSON"`

	Config     *ConfigCommand     `arg:"subcommand:config" help:"read and change the declared configuration"`
	Group      *GroupCommand      `arg:"subcommand:group" help:"create, list and remove database groups"`
	Schema     *SchemaCommand     `arg:"subcommand:schema" help:"declare, list and retire schema versions of a kind of record"`
	Status     *StatusCommand     `arg:"subcommand:status" help:"show the daemons of the fleet"`
	Drain      *DrainCommand      `arg:"subcommand:drain" help:"take a daemon or a target out of service in a planned way"`
	Takeover   *TakeoverCommand   `arg:"subcommand:takeover" help:"move a kind of record from one group and version to another"`
	Replay     *ReplayCommand     `arg:"subcommand:replay" help:"run recorded traces through the reducer and compare"`
	Explore    *ExploreCommand    `arg:"subcommand:explore" help:"check the decisions against a model under faults"`
	Promotions *PromotionsCommand `arg:"subcommand:promotions" help:"check the changes of primaries on the platform against a model under faults"`
	Trial      *ExperimentCommand `arg:"subcommand:experiment" help:"run the platform daemon's decisions under a load pattern in a model"`
	Report     *ReportCommand     `arg:"subcommand:report" help:"sum up the record of a run with faults as a table and a plot"`
	Demo       *DemoCommand       `arg:"subcommand:demo" help:"run a whole fleet on stand-ins and check the promises"`
	Standin    *StandinCommand    `arg:"subcommand:standin" help:"run a substitute of the platform for trials and tests"`
	Bench      *BenchCommand      `arg:"subcommand:bench" help:"measure what limpetspan costs"`
}

// Command is a subcommand that can be run.
type Command interface {
	Run(ctx context.Context, env *Env) error
}

// Exampler is a subcommand that shows examples in its help.
type Exampler interface {
	// Examples are command lines, one a line.
	Examples() string
}

const exitCodeHelp = `Exit codes:
  0  done
  1  failed
  2  wrong usage or bad input
  3  conflict: somebody else changed the configuration first
  4  timed out, or done only in part`

// Description is the first line of every help text.
func (*Args) Description() string {
	return "limpetspan operates a fleet of limpetspan database proxies."
}

// renamed leads from a subcommand's old name to its present one.
var renamed = map[string]string{"reigns": "promotions"}

// Main parses the arguments, runs the subcommand and returns the exit code.
func Main(ctx context.Context, argv []string, env *Env) int {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: "limpetspan", Out: env.Stderr}, &args)
	if err != nil {
		return env.report(err)
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(env.Stdout, parser)
		return ExitOK
	case err != nil && len(argv) > 0 && renamed[argv[0]] != "":
		return env.report(Usagef("subcommand %q is called %q now", argv[0], renamed[argv[0]]))
	case err != nil:
		_ = parser.WriteUsageForSubcommand(env.Stderr, parser.SubcommandNames()...)
		return env.report(Usagef("%w", err))
	}
	command, ok := parser.Subcommand().(Command)
	if !ok {
		writeHelp(env.Stderr, parser)
		return env.report(Usagef("a subcommand is missing"))
	}
	env.apply(&args)
	return env.report(command.Run(ctx, env))
}

func writeHelp(w io.Writer, parser *arg.Parser) {
	_ = parser.WriteHelpForSubcommand(w, parser.SubcommandNames()...)
	if e, ok := parser.Subcommand().(Exampler); ok {
		fmt.Fprintf(w, "\nExamples:\n%s\n", indent(e.Examples()))
	}
	fmt.Fprintf(w, "\n%s\n", exitCodeHelp)
}

// apply copies the global options into the environment of the subcommand.
func (e *Env) apply(args *Args) {
	e.JSON = args.JSON
	e.Prefix = args.Prefix
	e.Endpoints = slices.Concat(e.Endpoints, splitLists(args.Store))
	e.Daemons = slices.Concat(e.Daemons, splitLists(args.Daemon))
}
