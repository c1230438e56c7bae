package takeover

import "time"

// Tuning holds the parameters of a Machine. Zero fields take the defaults.
type Tuning struct {
	// PageSize is the maximum number of records in a page.
	PageSize int
	// Parallel is the number of buckets copied concurrently.
	Parallel int
	// Batch is the maximum number of buckets that are flipped together.
	Batch int
	// HoldLimit is how long the source's home holds writes before the seal.
	HoldLimit time.Duration
	// MaxAttempts is how often a bucket is copied before it is blocked.
	MaxAttempts int
	// RetryMin and RetryMax bound the delay after a failed step.
	RetryMin, RetryMax time.Duration
	// Pacer holds the parameters of the copy rate.
	Pacer PacerTuning
}

// DefaultTuning returns the default parameters.
func DefaultTuning() Tuning {
	return Tuning{
		PageSize:    200,
		Parallel:    4,
		Batch:       4,
		HoldLimit:   250 * time.Millisecond,
		MaxAttempts: 3,
		RetryMin:    50 * time.Millisecond,
		RetryMax:    5 * time.Second,
		Pacer:       DefaultPacerTuning(),
	}
}

func (t *Tuning) setDefaults() {
	d := DefaultTuning()
	setDefault(&t.PageSize, d.PageSize)
	setDefault(&t.Parallel, d.Parallel)
	setDefault(&t.Batch, d.Batch)
	setDefault(&t.HoldLimit, d.HoldLimit)
	setDefault(&t.MaxAttempts, d.MaxAttempts)
	setDefault(&t.RetryMin, d.RetryMin)
	setDefault(&t.RetryMax, d.RetryMax)
	t.Pacer.setDefaults()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// backoff returns the delay before the given attempt; the first has number 1.
func (t *Tuning) backoff(attempt int) time.Duration {
	d := t.RetryMin
	for range attempt - 1 {
		d *= 2
		if d >= t.RetryMax {
			return t.RetryMax
		}
	}
	return d
}
