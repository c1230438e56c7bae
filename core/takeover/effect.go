package takeover

import "time"

// Effect is one action of the worker, after a delay of Wait where it has one. Each
// is answered by one event, except Finished and Blocked.
type Effect interface{ effect() }

// Prepare makes a bucket of the destination accept writes under this claim. Clear
// empties it first. Answered by Prepared.
type Prepare struct {
	Bucket int           `json:"bucket"`
	Clear  bool          `json:"clear,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CopyPage copies a page of the records after a key. Answered by Copied.
type CopyPage struct {
	Bucket int           `json:"bucket"`
	After  string        `json:"after,omitempty"`
	Size   int           `json:"size"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CatchUpPage copies a page of the records changed after a marker. Answered by
// CaughtUp.
type CatchUpPage struct {
	Bucket int           `json:"bucket"`
	Marker string        `json:"marker,omitempty"`
	Size   int           `json:"size"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CopyKeys copies a bucket's idempotency keys. Answered by KeysCopied.
type CopyKeys struct {
	Bucket int           `json:"bucket"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// Step is a step of a batch, or of a bucket before it joins one.
type Step uint8

// The steps.
const (
	StepQueued Step = iota
	StepPrepare
	StepCopy
	StepKeys
	StepCatchUp
	StepReady
	StepHold
	StepDrain
	StepClose
	StepVerify
	StepSeal
	StepFlip
	StepSettle
	StepDone
	// StepBlocked marks a bucket that needs an operator; see Progress.Blocked.
	StepBlocked
)

var stepNames = [...]string{"queued", "prepare", "copy", "keys", "catch_up", "ready", "hold", "drain",
	"close", "verify", "seal", "flip", "settle", "done", "blocked"}

// String returns the step's name as shown in status output.
func (s Step) String() string {
	if int(s) < len(stepNames) {
		return stepNames[s]
	}
	return "unknown"
}

// Resume specifies from where a bucket's last changes are copied.
type Resume struct {
	Bucket int    `json:"bucket"`
	Marker string `json:"marker,omitempty"`
	// KeysAfter is the time of the latest idempotency key copied, in milliseconds
	// since 1970.
	KeysAfter int64 `json:"keys_after,omitempty"`
}

// RunBatch carries out one step of a batch. Answered by BatchDone.
type RunBatch struct {
	Fence   string `json:"fence"`
	Step    Step   `json:"step"`
	Buckets []int  `json:"buckets"`
	// Limit bounds the hold, for StepHold.
	Limit time.Duration `json:"limit,omitempty"`
	// Resume is set for StepDrain.
	Resume []Resume `json:"resume,omitempty"`
	// Flipped and Revision are set for StepSettle: the buckets of the batch that
	// have flipped, and the revision of the flip. The others are reopened for the
	// copy.
	Flipped  []int         `json:"flipped,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
}

// Finished is the last effect: all buckets are done or blocked, or the machine was
// stopped or lost its claim, and no effect is outstanding. No event follows.
type Finished struct {
	Lost bool `json:"lost,omitempty"`
}

// Blocked reports a bucket that needs an operator.
type Blocked struct {
	Bucket int    `json:"bucket"`
	Reason string `json:"reason"`
}

func (*Prepare) effect()     {}
func (*CopyPage) effect()    {}
func (*CatchUpPage) effect() {}
func (*CopyKeys) effect()    {}
func (*RunBatch) effect()    {}
func (*Finished) effect()    {}
func (*Blocked) effect()     {}

// WaitOf returns the delay before the worker carries out an effect.
func WaitOf(e Effect) time.Duration {
	switch e := e.(type) {
	case *Prepare:
		return e.Wait
	case *CopyPage:
		return e.Wait
	case *CopyKeys:
		return e.Wait
	case *CatchUpPage:
		return e.Wait
	case *RunBatch:
		return e.Wait
	}
	return 0
}
