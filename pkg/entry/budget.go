package entry

import "sync/atomic"

const (
	// budgetUnit is one repetition; fractions of it are saved up.
	budgetUnit = 1 << 16
	// budgetBurst is how many repetitions may be saved up.
	budgetBurst = 20
)

// budget is a token bucket that every request fills by a fraction of a token
// and every repetition empties by one. Without it, repeated reads would double
// the load on homes that fail because of their load.
type budget struct {
	ratio  int64
	tokens atomic.Int64
}

func newBudget(ratio float64) *budget {
	b := &budget{ratio: int64(ratio * budgetUnit)}
	b.tokens.Store(budgetBurst * budgetUnit)
	return b
}

func (b *budget) request() {
	if b.tokens.Load() < budgetBurst*budgetUnit {
		b.tokens.Add(b.ratio)
	}
}

// take reports whether a repetition is allowed.
func (b *budget) take() bool {
	if b.tokens.Add(-budgetUnit) < 0 {
		b.tokens.Add(budgetUnit)
		return false
	}
	return true
}
