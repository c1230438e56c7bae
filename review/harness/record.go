package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add writes a line with the time since the record began.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Announce writes a line to the record and to standard output.
func (r *Record) Announce(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}
