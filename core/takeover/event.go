package takeover

import (
	"time"

	"limpetspan/core"
)

// Event is one input of a Machine. Results of effects carry what they answer
// and, in Err, how they failed.
type Event interface{ event() }

// Failure says how an effect failed.
type Failure uint8

// The failures of effects.
const (
	FailureNone Failure = iota
	// FailureRetryable: it had no effect, or is safe to repeat as it is.
	FailureRetryable
	// FailureRefused: it had no effect and will have none if repeated, such as
	// the seal of a hold that has ended, or a flip that the operator's state
	// does not allow any more.
	FailureRefused
	// FailureUnknown: it may have taken effect.
	FailureUnknown
	// FailureClaimLost: another worker has the take-over.
	FailureClaimLost
	// FailureInvalid: the records or the declared statements are at fault.
	FailureInvalid
)

// Started is the first event: what is to move under a claim.
type Started struct {
	Now   core.Time `json:"now"`
	Claim string    `json:"claim"`
	// Buckets are those to move, in order.
	Buckets []int `json:"buckets"`
	// Clear is whether a bucket can be emptied for a new copy.
	Clear bool `json:"clear,omitempty"`
}

// Stopped ends the copying: a batch that is sealed is finished, everything
// else is left as it is.
type Stopped struct{}

// Latency is a sample of callers' latency; zero: no callers.
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
	// Latest is the time of the latest key, in milliseconds since 1970.
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
