// Package record stores what callers observe during a run with faults and summarizes it as
// a table and a plot.
//
// A record is a file of JSON lines, one for each statement or fault, with the time since
// the start of the run.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// Statement is the end of a caller's statement.
	Statement Kind = "statement"
	// Fault is the start or the end of a fault.
	Fault Kind = "fault"
)

// Outcome is the outcome of a statement as its caller saw it.
type Outcome string

// The outcomes.
const (
	Served  Outcome = "served"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Event is one line of a record.
type Event struct {
	Kind Kind `json:"kind"`
	// AtUS is when the event occurred or the statement ended, in microseconds since the
	// start of the run.
	AtUS int64 `json:"at_us"`
	// LatencyUS is the duration of the statement in microseconds.
	LatencyUS int64   `json:"took_us,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	// Read is set for reads, Replica for reads that a replica answered.
	Read    bool `json:"read,omitempty"`
	Replica bool `json:"replica,omitempty"`
	// Text describes the fault.
	Text string `json:"text,omitempty"`
}

// Writer writes a record. It is safe for concurrent use.
type Writer struct {
	mu    sync.Mutex
	start time.Time
	out   *json.Encoder
	err   error
}

// NewWriter returns a writer of a new record; the run starts now.
func NewWriter(w io.Writer) *Writer { return &Writer{start: time.Now(), out: json.NewEncoder(w)} }

// Statement records a statement that was sent at sent and ends now.
func (w *Writer) Statement(sent time.Time, o Outcome, read, replica bool) {
	w.write(Event{Kind: Statement, LatencyUS: time.Since(sent).Microseconds(), Outcome: o, Read: read, Replica: replica})
}

// Fault records the start or the end of a fault.
func (w *Writer) Fault(text string) { w.write(Event{Kind: Fault, Text: text}) }

func (w *Writer) write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.AtUS = time.Since(w.start).Microseconds()
	if err := w.out.Encode(e); err != nil && w.err == nil {
		w.err = fmt.Errorf("record: %w", err)
	}
}

// Err returns the first write error.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Read returns the events of a record. Its errors name the line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if e.Kind != Statement && e.Kind != Fault {
			return nil, fmt.Errorf("line %d: unknown kind %q", n, e.Kind)
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("after line %d: %w", len(events), err)
	}
	return events, nil
}
