// Package telemetry creates a daemon's logger and span provider.
package telemetry

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns a logger that writes JSON lines to w. Level is one of
// trace, debug, info, warn, error and off.
func NewLogger(w io.Writer, level, daemonID string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "limpetspand",
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: true,
		TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
	}).With("daemon", daemonID)
}
