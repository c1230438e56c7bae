package cli

import (
	"context"
	"errors"
	"fmt"

	"limpetspan/core/config"
	"limpetspan/pkg/cli/configfile"
	"limpetspan/pkg/confstore"
)

// Exit codes of the operator program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitTimeout: timed out, or done only in part.
	ExitTimeout = 4
)

// ExitError is an error with the exit code it leads to.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Failedf returns an error that ends the program with ExitFailed.
func Failedf(format string, args ...any) error {
	return &ExitError{Code: ExitFailed, Err: fmt.Errorf(format, args...)}
}

// Usagef returns an error that ends the program with ExitUsage.
func Usagef(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// Conflictf returns an error that ends the program with ExitConflict.
func Conflictf(format string, args ...any) error {
	return &ExitError{Code: ExitConflict, Err: fmt.Errorf(format, args...)}
}

// Timeoutf returns an error that ends the program with ExitTimeout.
func Timeoutf(format string, args ...any) error {
	return &ExitError{Code: ExitTimeout, Err: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for an error of a subcommand.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if exit, ok := errors.AsType[*ExitError](err); ok {
		return exit.Code
	}
	if _, ok := errors.AsType[*confstore.Conflict](err); ok {
		return ExitConflict
	}
	if _, ok := errors.AsType[*confstore.UnsettledError](err); ok {
		return ExitTimeout
	}
	if isBadInput(err) {
		return ExitUsage
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return ExitTimeout
	}
	return ExitFailed
}

func isBadInput(err error) bool {
	_, inDocument := errors.AsType[config.Problems](err)
	_, inFile := errors.AsType[configfile.Problems](err)
	return inDocument || inFile
}

// failure is the JSON form of an error.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Problems are config.Problems or configfile.Problems.
	Problems any `json:"problems,omitempty"`
	// Revision and Difference are set for a conflict: the revision now in the
	// store and what the winners changed.
	Revision   config.Revision `json:"revision,omitempty"`
	Difference *config.Change  `json:"difference,omitempty"`
}

// report prints the error, if any, and returns its exit code.
func (e *Env) report(err error) int {
	code := ExitCode(err)
	if err == nil {
		return code
	}
	fmt.Fprintf(e.Stderr, "limpetspan: %v\n", err)
	if e.JSON {
		_ = e.WriteJSON(describe(err, code))
	}
	return code
}

func describe(err error, code int) failure {
	f := failure{Error: err.Error(), ExitCode: code}
	if problems, ok := errors.AsType[config.Problems](err); ok {
		f.Problems = problems
	}
	if problems, ok := errors.AsType[configfile.Problems](err); ok {
		f.Problems = problems
	}
	if conflict, ok := errors.AsType[*confstore.Conflict](err); ok {
		f.Revision = conflict.Current.Revision
		f.Difference = new(conflict.Difference())
	}
	return f
}
