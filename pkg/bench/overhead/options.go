package overhead

import (
	"io"
	"time"
)

// Defaults of Options.
const (
	DefaultSlice  = time.Second
	DefaultRounds = 5
)

// DefaultCallers are the numbers of callers that are measured.
var DefaultCallers = []int{1, 16, 64}

// Options of a measurement.
type Options struct {
	Callers []int
	// Slice is how long one way runs before the other does.
	Slice time.Duration
	// Rounds is the number of pairs of slices for each number of callers.
	Rounds int
	// Profile takes a CPU profile of the slices through the daemon; empty: none.
	Profile string
	Command string
	// Progress takes a line for each number of callers; nil: none.
	Progress io.Writer
}

func (o *Options) complete() {
	if len(o.Callers) == 0 {
		o.Callers = DefaultCallers
	}
	if o.Slice <= 0 {
		o.Slice = DefaultSlice
	}
	if o.Rounds <= 0 {
		o.Rounds = DefaultRounds
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
}
