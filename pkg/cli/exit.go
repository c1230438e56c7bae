package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	if errors.Is(err, context.DeadlineExceeded) {
		return ExitTimeout
	}
	return ExitFailed
}

// report prints the error, if any, and returns its exit code.
func report(w io.Writer, err error) int {
	if err != nil {
		fmt.Fprintf(w, "limpetspan: %v\n", err)
	}
	return ExitCode(err)
}
