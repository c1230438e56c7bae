// Package result holds what the reports of the benches share: the head that
// says how a report came about, percentiles and plots.
package result

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// Head says how a report came about.
type Head struct {
	Command string `json:"command"`
	// Date is the start of the run, RFC 3339 in UTC.
	Date string `json:"date"`
	// CPUs of the machine; LoadBefore is its load average of the last minute
	// when the run began: other work makes times long and ratios noisy.
	CPUs       int     `json:"cpus"`
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
}

// Begin returns the head of a run that begins now.
func Begin(command string) Head {
	return Head{Command: command, Date: time.Now().UTC().Format(time.RFC3339), CPUs: runtime.NumCPU(), LoadBefore: load()}
}

// End notes the load at the end of the run.
func (h *Head) End() { h.LoadAfter = load() }

// load is the load average of the last minute, 0 where the system tells none.
func load() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return value
}
