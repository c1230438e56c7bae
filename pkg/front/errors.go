package front

import (
	"limpetspan/core"
	"limpetspan/pkg/errs"
)

// The steps at which the front's own errors arise.
const (
	stepStartup   = "front.startup"
	stepMessage   = "front.message"
	stepDirective = "front.directive"
	stepStatement = "front.statement"
	stepShutdown  = "front.shutdown"
	stepIdle      = "front.idle"
	stepAnswer    = "front.answer"
)

// Classes of failure that only the front reports.
var (
	kindNoStatement        = frontKind("no_statement", "26000")
	kindDuplicateStatement = frontKind("duplicate_statement", "42P05")
	kindFailedTransaction  = frontKind("failed_transaction", "25P02")
	kindLimit              = frontKind("limit", "54000")
	kindInvalidStartup     = frontKind("invalid_startup", "28000")
	kindNoDatabase         = frontKind("no_database", "3D000")
	kindInvalidValue       = frontKind("invalid_value", "22023")
	kindUnknownSetting     = frontKind("unknown_setting", "42704")
	kindIdleTimeout        = frontKind("idle_timeout", "57P05")
	kindNoPortal           = frontKind("no_portal", "34000")
	kindActiveTransaction  = frontKind("active_transaction", "25001")
)

func frontKind(name, state string) *errs.Kind {
	return &errs.Kind{SQLState: state, Type: errs.BadRequest.Type.NewSubtype(name)}
}

// notRun returns an error of a request that was not passed on.
func notRun(kind *errs.Kind, step, format string, args ...any) *errs.Error {
	return errs.New(kind, core.OutcomeNotRun, step, "", format, args...)
}

// foreignSetting refuses a setting of the target itself.
func foreignSetting(name, value string) *errs.Error {
	instead := "use SET LOCAL in a transaction"
	switch name {
	case "statement_timeout", "lock_timeout":
		instead = "use limpetspan.deadline"
	case "search_path":
		instead = "write schema names in the statements, or use SET LOCAL in a transaction"
	}
	return notRun(errs.Unsupported, stepStatement,
		"setting %s to %q is not carried, because connections to targets are shared; %s", name, value, instead)
}
