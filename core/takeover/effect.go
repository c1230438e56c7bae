package takeover

import "time"

// Effect is one thing the worker is to do, after waiting Wait where it has
// one. Each is answered by one event.
type Effect interface{ effect() }

// Prepare makes a bucket of the destination ready for writes of this claim;
// Clear empties it first. Answered by Prepared.
type Prepare struct {
	Bucket int           `json:"bucket"`
	Clear  bool          `json:"clear,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CopyPage copies the records after a key. Answered by Copied.
type CopyPage struct {
	Bucket int           `json:"bucket"`
	After  string        `json:"after,omitempty"`
	Size   int           `json:"size"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CatchUpPage copies the records changed after a marker. Answered by CaughtUp.
type CatchUpPage struct {
	Bucket int           `json:"bucket"`
	Marker string        `json:"marker,omitempty"`
	Size   int           `json:"size"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// CopyKeys copies a bucket's must-not-repeat keys. Answered by KeysCopied.
type CopyKeys struct {
	Bucket int           `json:"bucket"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// Step is a step of a batch, and of a bucket before it joins one.
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
	// StepBlocked: the bucket needs an operator; see Progress.Blocked.
	StepBlocked
)

var stepNames = [...]string{"queued", "prepare", "copy", "keys", "catch_up", "ready", "hold", "drain",
	"close", "verify", "seal", "flip", "settle", "done", "blocked"}

// String returns the step's name as status output shows it.
func (s Step) String() string {
	if int(s) < len(stepNames) {
		return stepNames[s]
	}
	return "unknown"
}

// Resume says from where a bucket's last changes are copied.
type Resume struct {
	Bucket int    `json:"bucket"`
	Marker string `json:"marker,omitempty"`
	// KeysAfter is the time of the latest must-not-repeat key copied, in
	// milliseconds since 1970.
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
	// For StepSettle: Flipped are the buckets of the batch that have flipped,
	// at Revision; the others are opened for the copy again.
	Flipped  []int         `json:"flipped,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
}

// Finished: all buckets are done or blocked, or the machine was stopped or
// lost the take-over, and nothing runs any more. No event follows.
type Finished struct {
	Lost bool `json:"lost,omitempty"`
}

// Blocked tells operators of a bucket that needs them.
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

// WaitOf returns how long the worker waits before it carries out an effect.
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
