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
	Error   string `json:"error"`
}

// stepLog is the log of all daemons; it keeps the lines on take-overs.
type stepLog struct {
	mu sync.Mutex
	// waiting gets the next beginning of each step.
	waiting  map[string]chan logLine
	failures []string
}

func newStepLog() *stepLog { return &stepLog{waiting: make(map[string]chan logLine)} }

// next returns where the daemon that next begins the step will be told of.
func (l *stepLog) next(step string) <-chan logLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(chan logLine, 1)
	l.waiting[step] = c
	return c
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.Message != "take-over step" {
		if line.Error != "" {
			l.failures = append(l.failures, line.Daemon+" "+line.Step+": "+line.Error)
		}
		return
	}
	if c := l.waiting[line.Step]; c != nil {
		delete(l.waiting, line.Step)
		c <- line
	}
}

// String returns the last failures.
func (l *stepLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.failures[max(0, len(l.failures)-20):], "\n")
}
