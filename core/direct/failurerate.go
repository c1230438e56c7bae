package direct

import (
	"math"
	"time"

	"limpetspan/core"
)

// Parameters of the failure rate.
const (
	// failureWeight is the weight of a new answer in the rate, 1/8, so that a single failure caused
	// by the statement itself moves few reads.
	failureWeight = 8
	// failureCost is the cost of a read that is certain to fail: its caller's latency goal is a few
	// hundred milliseconds, and another member must run it again.
	failureCost = 200 * time.Millisecond
	// failureHalfLife is the time in which the rate halves, so that a few reads try the member
	// again.
	failureHalfLife = 2 * time.Second
)

// failureRate is the share of a member's recent answers that were failures.
//
// A replica may answer every read with an error at once, or not at all, while its health checks
// succeed. A member that fails fast has the shortest latency and no queue, so that a choice by
// expected time sends it all reads of the group: in one run 580 callers of one group got nothing
// but errors for six seconds. What counts is how much more often a member fails than the best
// replica. Invalid statements fail on all replicas and must not move the reads to the primary.
type failureRate struct {
	rate float64
	at   core.Time
}

// record adds the outcome of a statement that the member has run.
func (f *failureRate) record(now core.Time, failed bool) {
	f.rate, f.at = f.current(now), now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.rate += (outcome - f.rate) / failureWeight
}

// current returns the rate after its decay up to now.
func (f *failureRate) current(now core.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// minFailureRate returns the failure rate of the replica on which least fails.
func (g *Group) minFailureRate(now core.Time) float64 {
	lowest := 1.0
	for id, m := range g.members {
		if id != g.primary {
			lowest = min(lowest, m.failures.current(now))
		}
	}
	return lowest
}

// expectedFailureCost returns the expected cost of a read on a member whose failure rate exceeds
// that of the best replica by excess.
func expectedFailureCost(excess float64) time.Duration {
	return time.Duration(max(0, excess) * float64(failureCost))
}
