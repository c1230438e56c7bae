package admission

import "time"

// outageWaitFactor is after how many times the wait that a statement has left an outage
// counts as longer than the statement can wait. Of outages that have lasted for some
// time, as many end within that time again as last longer; of those that have lasted
// three times as long as a caller would wait, three of four outlast it. Its caller is
// better off with an answer at once, to which it is told when to come back.
const outageWaitFactor = 3

// OutageExceedsWait says whether a statement that could wait for so long more is refused at
// once, when nobody has been able to serve it for the age of the outage.
func OutageExceedsWait(age, wait time.Duration) bool { return age > outageWaitFactor*wait }

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryAfterJitter is the part of that time by which callers are spread out, so that
	// those who were refused together do not return together.
	retryAfterJitter = 0.5
)

// RetryAfter is when a caller is told to come back that was refused in an outage of the
// age, or for load if that is 0. draw, from 0 to 1, spreads callers out. An outage is as
// likely to end within its age again as not; half of that is asked for.
func RetryAfter(age time.Duration, draw float64) time.Duration {
	base := min(maxRetryAfter, max(minRetryAfter, age/2))
	return base + time.Duration(retryAfterJitter*draw*float64(base))
}
