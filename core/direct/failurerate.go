package direct

import (
	"math"
	"time"

	"limpetspan/core"
)

// Figures of a member that fails what it is asked while it says that it is well.
const (
	// faultWeight is the weight of a new answer in the share that fails, 1/8: one failure
	// that is the statement's own fault moves few reads.
	failureWeight = 8
	// faultCost is what a read costs that fails for certain: its caller's aim is a few
	// hundred milliseconds, and another member has to run it again.
	failureCost = 200 * time.Millisecond
	// faultHalfLife is after how long half of it is forgotten, so that the member is tried
	// again with few reads.
	failureHalfLife = 2 * time.Second
)

// faults is the share of a member's answers that have failed lately.
//
// Load pattern: a replica answers errors at once, or not at all, and its health is good. A
// member that fails fast has the shortest times and no queue, so that the choice by
// expected time sends it all reads of the group: 580 callers of one group had nothing but
// errors for six seconds. What counts is by how much it fails more often than the best
// replica: statements that are wrong fail on all of them, and must not drive the reads to
// the primary.
type failureRate struct {
	rate float64
	at   core.Time
}

// note takes the outcome of a statement that the member has run.
func (f *failureRate) record(now core.Time, failed bool) {
	f.rate, f.at = f.current(now), now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.rate += (outcome - f.rate) / failureWeight
}

// now is the share with what has been forgotten since.
func (f *failureRate) current(now core.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// leastFaults is the share that fails on the replica on which least does.
func (g *Group) minFailureRate(now core.Time) float64 {
	least := 1.0
	for id, m := range g.members {
		if id != g.primary {
			least = min(least, m.failures.current(now))
		}
	}
	return least
}

// faultCostOf is what it is expected to cost a read that so much more fails on a member.
func expectedFailureCost(excess float64) time.Duration {
	return time.Duration(max(0, excess) * float64(failureCost))
}
