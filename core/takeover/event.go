package takeover

import (
	"time"

	"limpetspan/core"
)

// Event is an input of a Machine. The results of effects identify what they answer
// and report failures in Err.
type Event interface{ event() }

// Failure classifies the failure of an effect.
type Failure uint8

// The failures of effects.
const (
	FailureNone Failure = iota
	// FailureRetryable means that nothing changed, or that repeating is safe.
	FailureRetryable
	// FailureRefused means that nothing changed and that repeating is useless, such
	// as a seal after its hold has expired, or a flip that the take-over's state no
	// longer allows.
	FailureRefused
	// FailureUnknown means that the effect may have been carried out.
	FailureUnknown
	// FailureClaimLost means that another worker has claimed the take-over.
	FailureClaimLost
	// FailureInvalid means that the records or the declared statements are wrong.
	FailureInvalid
)

// Started is the first event. It specifies what to move under which claim.
type Started struct {
	Now   core.Time `json:"now"`
	Claim string    `json:"claim"`
	// Buckets are the buckets to move, in order.
	Buckets []int `json:"buckets"`
	// Clear is set if a bucket can be emptied for a new copy.
	Clear bool `json:"clear,omitempty"`
}

// Stopped ends the copying. A batch is settled, after its flip if that was already
// requested; everything else is left as it is.
type Stopped struct{}

// Latency is a sample of callers' latency; zero means that there are no callers.
type Latency struct {
	Now     core.Time     `json:"now"`
	Latency time.Duration `json:"latency"`
}

// Prepared is the result of Prepare.
type Prepared struct {
	Now    core.Time `json:"now"`
	Bucket int       `json:"bucket"`
	Err    Failure   `json:"err,omitempty"`
}

// Copied is the result of CopyPage.
type Copied struct {
	Now    core.Time `json:"now"`
	Bucket int       `json:"bucket"`
	Rows   int       `json:"rows"`
	// LastKey is the key of the last row, Marker the latest marker of the page.
	LastKey string  `json:"last_key,omitempty"`
	Marker  string  `json:"marker,omitempty"`
	Err     Failure `json:"err,omitempty"`
}

// CaughtUp is the result of CatchUpPage.
type CaughtUp struct {
	Now    core.Time `json:"now"`
	Bucket int       `json:"bucket"`
	Rows   int       `json:"rows"`
	Marker string    `json:"marker,omitempty"`
	Err    Failure   `json:"err,omitempty"`
}

// KeysCopied is the result of CopyKeys.
type KeysCopied struct {
	Now    core.Time `json:"now"`
	Bucket int       `json:"bucket"`
	// Latest is the time of the latest idempotency key, in milliseconds since 1970.
	Latest int64   `json:"latest,omitempty"`
	Err    Failure `json:"err,omitempty"`
}

// BatchDone is the result of an effect on a batch.
type BatchDone struct {
	Now   core.Time `json:"now"`
	Fence string    `json:"fence"`
	Step  Step      `json:"step"`
	// Mismatched are the buckets whose verification failed, for StepVerify.
	Mismatched []int `json:"mismatched,omitempty"`
	// Revision is the revision of the flip, for StepFlip.
	Revision uint64  `json:"revision,omitempty"`
	Err      Failure `json:"err,omitempty"`
}

func (*Started) event()    {}
func (*Stopped) event()    {}
func (*Latency) event()    {}
func (*Prepared) event()   {}
func (*Copied) event()     {}
func (*CaughtUp) event()   {}
func (*KeysCopied) event() {}
func (*BatchDone) event()  {}
