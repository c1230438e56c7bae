package hedge

import (
	"time"

	"limpetspan/core"
)

// Bounds of hedging.
const (
	// BudgetShare is the number of hedges per answered read, in the long run. MaxBudget bounds the
	// hedges at once, as when a home is lost for which many sessions wait.
	BudgetShare = 0.05
	MaxBudget   = 10
	// RefusalCost is what a refusal because of load takes from the budget.
	RefusalCost = 0.5
	// OverloadMemory is the time after such a refusal in which no read of the same database is hedged. At
	// an entry that forwards ten reads a second, one refused read in ten is enough to prevent hedges.
	OverloadMemory = time.Second
	// MinDelay is the least time until a hedge. It exceeds the time of a hop between zones several
	// times, which a hedge costs.
	MinDelay = 30 * time.Millisecond
	// usualShare is the share of a database's reads that are answered within the usual time.
	usualShare = 0.95
	// minObservations is the number of answers from which the usual time is known. With fewer than
	// 20, one in twenty cannot be told.
	minObservations = 40
	// adaptation is the share by which the estimate of the usual time moves with an answer that took
	// longer.
	adaptation = 0.1
	// maxDelayShare is the share of a read's remaining time after which a hedge comes too late.
	maxDelayShare = 0.7
)

// Reason is why a read is hedged.
type Reason uint8

// The reasons for a hedge.
const (
	// AtPercentile: the read takes longer than usual.
	AtPercentile Reason = iota
	// OnSuspicion: its home has not answered some echoes.
	OnSuspicion
)

// String returns the reason as it is logged.
func (r Reason) String() string { return [...]string{"slower than usual", "home suspected"}[r] }

// Decider decides for one daemon. It is not safe for concurrent use.
type Decider struct {
	budget float64
	// usual and refusedAt are by database. refusedAt is when a read was last refused because of load.
	usual     map[string]*usualTime
	refusedAt map[string]core.Time
}

// NewDecider returns a decider without observations and with a full budget.
func NewDecider() *Decider {
	return &Decider{budget: MaxBudget, usual: make(map[string]*usualTime), refusedAt: make(map[string]core.Time)}
}

// usualTime estimates the time within which usualShare of the answers arrive. A longer one moves the
// estimate up by adaptation, a shorter one moves it down so much less that both balance at that share.
type usualTime struct {
	estimate time.Duration
	count    int
}

func (u *usualTime) observe(took time.Duration) {
	u.count++
	step := float64(u.estimate) * adaptation
	switch {
	case u.count == 1:
		u.estimate = took
	case took > u.estimate:
		u.estimate += time.Duration(step) + 1
	default:
		u.estimate -= time.Duration(step * (1 - usualShare) / usualShare)
	}
}

// Answered records that a read of the database was answered after the given time.
func (d *Decider) Answered(database string, took time.Duration) {
	u := d.usual[database]
	if u == nil {
		u = &usualTime{}
		d.usual[database] = u
	}
	u.observe(took)
	d.budget = min(MaxBudget, d.budget+BudgetShare)
}

// Refused records that a read of the database was refused because of load.
func (d *Decider) Refused(now core.Time, database string) {
	d.budget = max(0, d.budget-RefusalCost)
	d.refusedAt[database] = now
}

// Delay returns after how long a read of the database is hedged that has so much time left. It
// returns false if it is not hedged for being slow, as the usual time is unknown or too long.
func (d *Decider) Delay(database string, left time.Duration) (time.Duration, bool) {
	u := d.usual[database]
	if u == nil || u.count < minObservations {
		return 0, false
	}
	delay := max(MinDelay, u.estimate)
	return delay, float64(delay) <= maxDelayShare*float64(left)
}

// Take takes a hedge of a read of the database from the budget. It returns false if there is none, or if
// the database's reads are being refused because of load.
func (d *Decider) Take(now core.Time, database string) bool {
	refusedAt, refused := d.refusedAt[database]
	if d.budget < 1 || refused && now.Sub(refusedAt) < OverloadMemory {
		return false
	}
	d.budget--
	return true
}

// Retain forgets the databases that keep does not accept.
func (d *Decider) Retain(keep func(database string) bool) {
	for database := range d.usual {
		if !keep(database) {
			delete(d.usual, database)
		}
	}
	for database := range d.refusedAt {
		if !keep(database) {
			delete(d.refusedAt, database)
		}
	}
}
