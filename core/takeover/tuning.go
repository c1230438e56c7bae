package takeover

import "time"

// Tuning are the parameters of a Machine. Zero fields take the defaults.
type Tuning struct {
	// PageSize is how many records one page holds at most.
	PageSize int
	// Parallel is how many buckets are copied at a time.
	Parallel int
	// Batch is how many buckets are flipped together, at most.
	Batch int
	// HoldLimit is how long the source's home holds writes before the seal.
	HoldLimit time.Duration
	// MaxAttempts is how often a bucket is copied before it is blocked.
	MaxAttempts int
	// RetryMin and RetryMax bound the pause after a failed step.
	RetryMin, RetryMax time.Duration
	// Pacer are the parameters of the copy rate.
	Pacer PacerTuning
}

// DefaultTuning returns the parameters used where nothing else is said.
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

// backoff is the pause before the given attempt; the first has number 1.
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
