package admission

import "time"

// outageWaitFactor is the multiple of a statement's remaining wait beyond which an outage counts as
// longer than the statement can wait. Of outages that have lasted for some time, half end within
// the same time again. Of those that have lasted three times as long as a caller would wait, three
// of four last longer than that wait. Such a caller is better served by an immediate rejection with
// a time to retry after.
const outageWaitFactor = 3

// OutageExceedsWait reports whether a statement that can wait this much longer is rejected at once,
// when no statement could be served for the age of the outage.
func OutageExceedsWait(age, wait time.Duration) bool { return age > outageWaitFactor*wait }

// Bounds of the time after which a rejected caller should retry.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryAfterJitter is the largest random share that is added to that time, so that callers
	// rejected together do not retry together.
	retryAfterJitter = 0.5
)

// RetryAfter returns the time after which a caller should retry that was rejected in an outage of
// the given age, or because of load if the age is 0. draw is a random number from 0 to 1 that
// spreads callers out. An outage is as likely as not to end within its age again; the result is
// half of that age.
func RetryAfter(age time.Duration, draw float64) time.Duration {
	base := min(maxRetryAfter, max(minRetryAfter, age/2))
	return base + time.Duration(retryAfterJitter*draw*float64(base))
}
