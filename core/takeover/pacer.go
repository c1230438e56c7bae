package takeover

import (
	"time"

	"limpetspan/core"
)

// PacerTuning holds the parameters of a Pacer. Zero fields take the defaults.
type PacerTuning struct {
	// MinRate and MaxRate bound the rate, in records per second.
	MinRate, MaxRate float64
	// Increase is added to the rate after each Interval in which callers were not
	// slowed down, in records per second. Otherwise the rate is multiplied by
	// Decrease.
	Increase, Decrease float64
	Interval           time.Duration
	// Tolerance is the accepted rise of callers' latency, as a share of the
	// baseline; Slack is accepted in addition.
	Tolerance float64
	Slack     time.Duration
}

// DefaultPacerTuning returns the default parameters.
func DefaultPacerTuning() PacerTuning {
	return PacerTuning{
		MinRate:   500,
		MaxRate:   20_000,
		Increase:  500,
		Decrease:  0.6,
		Interval:  250 * time.Millisecond,
		Tolerance: 0.2,
		Slack:     500 * time.Microsecond,
	}
}

func (t *PacerTuning) setDefaults() {
	d := DefaultPacerTuning()
	setDefault(&t.MinRate, d.MinRate)
	setDefault(&t.MaxRate, d.MaxRate)
	setDefault(&t.Increase, d.Increase)
	setDefault(&t.Decrease, d.Decrease)
	setDefault(&t.Interval, d.Interval)
	setDefault(&t.Tolerance, d.Tolerance)
	setDefault(&t.Slack, d.Slack)
}

// Weights of a new sample in the baseline. During a copy, even at MinRate, a rise
// may be caused by the copy itself, so it has less weight.
const (
	baselineWeight     = 0.1
	baselineRiseWeight = 0.01
)

// Pacer controls the copy rate by callers' latency: additive increase while they
// are not slowed down, multiplicative decrease while they are. The baseline to
// compare with is measured before the copy starts and while it runs at MinRate.
type Pacer struct {
	tuning   PacerTuning
	rate     float64
	baseline time.Duration
	// adjustedAt is when the rate was last set.
	adjustedAt core.Time
	copying    bool
	// nextFreeAt is when the next page may start.
	nextFreeAt core.Time
}

// NewPacer returns a pacer at the minimum rate.
func NewPacer(t PacerTuning) *Pacer {
	t.setDefaults()
	return &Pacer{tuning: t, rate: t.MinRate}
}

// Rate returns the current rate, in records per second.
func (p *Pacer) Rate() float64 { return p.rate }

// Baseline returns callers' latency without copying, or zero if it is unknown.
func (p *Pacer) Baseline() time.Duration { return p.baseline }

// Observe processes a sample of callers' latency, such as the 99th percentile of
// the last interval. A sample of zero means that there were no callers.
func (p *Pacer) Observe(now core.Time, latency time.Duration) {
	if latency > 0 && (!p.copying || p.rate <= p.tuning.MinRate) {
		p.updateBaseline(latency)
	}
	if !p.copying || now.Sub(p.adjustedAt) < p.tuning.Interval {
		return
	}
	p.adjustedAt = now
	if p.isSlowed(latency) {
		p.rate = max(p.rate*p.tuning.Decrease, p.tuning.MinRate)
		return
	}
	p.rate = min(p.rate+p.tuning.Increase, p.tuning.MaxRate)
}

func (p *Pacer) updateBaseline(latency time.Duration) {
	if p.baseline == 0 {
		p.baseline = latency
		return
	}
	weight := baselineWeight
	if p.copying && latency > p.baseline {
		weight = baselineRiseWeight
	}
	p.baseline += time.Duration(weight * float64(latency-p.baseline))
}

func (p *Pacer) isSlowed(latency time.Duration) bool {
	limit := time.Duration(float64(p.baseline)*(1+p.tuning.Tolerance)) + p.tuning.Slack
	return latency > 0 && p.baseline > 0 && latency > limit
}

// Reserve reserves the time that a page of records takes at the current rate. It
// returns the delay before the page, which spaces pages that are reserved together.
func (p *Pacer) Reserve(now core.Time, records int) time.Duration {
	if !p.copying {
		p.copying, p.adjustedAt = true, now
	}
	start := max(p.nextFreeAt, now)
	p.nextFreeAt = start.Add(p.timeFor(records))
	return start.Sub(now)
}

// Refund releases the time reserved for records that a page did not contain.
func (p *Pacer) Refund(records int) { p.nextFreeAt = p.nextFreeAt.Add(-p.timeFor(records)) }

func (p *Pacer) timeFor(records int) time.Duration {
	return time.Duration(float64(records) / p.rate * float64(time.Second))
}

// targetPageDuration is the time that one page takes at the current rate.
const targetPageDuration = 50 * time.Millisecond

// PageSize returns the number of records of the next page, at most limit. Pages
// are small while the rate is low, because callers wait behind each page.
func (p *Pacer) PageSize(limit int) int {
	return min(limit, max(minPageRecords, int(p.rate*targetPageDuration.Seconds())))
}

// minPageRecords is the minimum number of records in a page.
const minPageRecords = 10
