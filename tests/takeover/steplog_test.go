package takeover_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// logLine is what a daemon's log says of a take-over's step.
type logLine struct {
	Message string `json:"@message"`
	Daemon  string `json:"daemon"`
	Step    string `json:"step"`
	Buckets []int  `json:"buckets"`
	Error   string `json:"error"`
}

// stepLog is the log of all daemons; it keeps the lines on take-overs.
type stepLog struct {
	mu sync.Mutex
	// waiting is called at the next beginning of each step.
	waiting  map[string]func(logLine)
	failures []string
}

func newStepLog() *stepLog { return &stepLog{waiting: make(map[string]func(logLine))} }

// next returns where the daemon that next begins the step will be told of.
func (l *stepLog) next(step string) <-chan logLine {
	c := make(chan logLine, 1)
	l.at(step, func(line logLine) { c <- line })
	return c
}

// at has f called when the step begins the next time. The daemon that begins it
// waits for f before it does anything of the step.
func (l *stepLog) at(step string, f func(logLine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[step] = f
}

// Write takes one line of the log.
func (l *stepLog) Write(p []byte) (int, error) {
	for raw := range bytes.Lines(p) {
		var line logLine
		if !bytes.Contains(raw, []byte("take-over")) || json.Unmarshal(raw, &line) != nil {
			continue
		}
		l.note(line)
	}
	return len(p), nil
}

func (l *stepLog) note(line logLine) {
	if f := l.take(line); f != nil {
		f(line)
	}
}

// take returns what is to be called for the line.
func (l *stepLog) take(line logLine) func(logLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.Message != "take-over step" {
		if line.Error != "" {
			l.failures = append(l.failures, line.Daemon+" "+line.Step+": "+line.Error)
		}
		return nil
	}
	f := l.waiting[line.Step]
	delete(l.waiting, line.Step)
	return f
}

// hasFailed reports whether a step has failed.
func (l *stepLog) hasFailed(step string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.failures {
		if strings.Contains(f, " "+step+": ") {
			return true
		}
	}
	return false
}

// String returns the last failures.
func (l *stepLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.failures[max(0, len(l.failures)-20):], "\n")
}
