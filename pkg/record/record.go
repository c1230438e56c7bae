// Package record keeps what callers saw during a run with faults, and turns it
// into a table and a plot.
//
// A record is a file of JSON lines, one for each statement and fault, with the
// time since the run began.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind says what an event is.
type Kind string

// The kinds of events.
const (
	// Statement: a caller's statement has ended.
	Statement Kind = "statement"
	// Fault: something was broken, or mended again.
	Fault Kind = "fault"
)

// Outcome is how a statement has ended for its caller.
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
	// AtUS is when it ended, in microseconds since the run began.
	AtUS int64 `json:"at_us"`
	// LatencyUS is how long the statement took, in microseconds.
	LatencyUS int64   `json:"took_us,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	// Read is set for reads, Replica if a replica answered one.
	Read    bool `json:"read,omitempty"`
	Replica bool `json:"replica,omitempty"`
	// Text names a fault.
	Text string `json:"text,omitempty"`
}

// Writer writes a record. It is safe for concurrent use.
type Writer struct {
	mu    sync.Mutex
	start time.Time
	out   *json.Encoder
	err   error
}

// NewWriter begins a record.
func NewWriter(w io.Writer) *Writer { return &Writer{start: time.Now(), out: json.NewEncoder(w)} }

// Statement records a statement that was sent at sent and has ended now.
func (w *Writer) Statement(sent time.Time, o Outcome, read, replica bool) {
	w.write(Event{Kind: Statement, LatencyUS: time.Since(sent).Microseconds(), Outcome: o, Read: read, Replica: replica})
}

// Fault records a fault.
func (w *Writer) Fault(text string) { w.write(Event{Kind: Fault, Text: text}) }

func (w *Writer) write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.AtUS = time.Since(w.start).Microseconds()
	if err := w.out.Encode(e); err != nil && w.err == nil {
		w.err = fmt.Errorf("record: %w", err)
	}
}

// Err returns the first failure to write.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Read returns a record's events. An error names the line.
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
