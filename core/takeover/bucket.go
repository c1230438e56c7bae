package takeover

import (
	"time"
)

// bucket is the machine's state of one bucket.
type bucket struct {
	id   int
	step Step
	// failures counts consecutive failed steps, aborts the aborted batches and
	// attempts the copies that failed verification.
	failures, aborts, attempts int
	// lastKey is the key up to which pages have been copied.
	lastKey string
	// firstPage is set until the first page has been copied.
	firstPage bool
	// marker is the marker up to which changes have been copied. roundStart is
	// where the current round started and previousStart where the one before did.
	// A transaction that took its marker early and committed late appears behind
	// the marker, so each round also covers the range of the previous one.
	marker, roundStart, previousStart string
	// pageSize is the size of the outstanding page.
	pageSize int
	// rounds counts the catch-up rounds.
	rounds int
	// latestKey is the value of Resume.KeysAfter.
	latestKey int64
}

// The reasons for blocking a bucket.
const (
	reasonInvalid  = "the records or the declared statements are at fault, see the log"
	reasonMismatch = "count or checksum of the two sides differ"
)

// minCatchUpRounds is the minimum number of catch-up rounds of a bucket. The
// second one is short, as it covers only the duration of the first.
const minCatchUpRounds = 2

func (m *Machine) prepare(b *bucket) {
	*b = bucket{id: b.id, step: StepPrepare, attempts: b.attempts, aborts: b.aborts, failures: b.failures, firstPage: true}
	m.emit(&Prepare{Bucket: b.id, Clear: b.attempts > 0 && m.canClear, Wait: m.retryWait(b)})
}

// retryWait returns the delay before a failed step is retried.
func (m *Machine) retryWait(b *bucket) time.Duration {
	if b.failures == 0 {
		return 0
	}
	return m.tuning.backoff(b.failures)
}

// pageWait sets the size of the next page and returns the delay before it, the
// longer of the pacer's delay and the retry's.
func (m *Machine) pageWait(b *bucket) time.Duration {
	b.pageSize = m.pacer.PageSize(m.tuning.PageSize)
	return max(m.retryWait(b), m.pacer.Reserve(m.now, b.pageSize))
}

// checkResult handles the failure of a step and reports whether it succeeded.
func (m *Machine) checkResult(b *bucket, f Failure, retry func(*bucket)) bool {
	if !m.canContinue(f) {
		return false
	}
	switch f {
	case FailureNone:
		b.failures = 0
		return true
	case FailureInvalid:
		m.block(b, reasonInvalid)
	default:
		b.failures++
		retry(b)
	}
	return false
}

func (m *Machine) handlePrepared(b *bucket, e *Prepared) {
	if m.checkResult(b, e.Err, m.prepare) {
		m.copyPage(b)
	}
}

func (m *Machine) copyPage(b *bucket) {
	b.step = StepCopy
	wait := m.pageWait(b)
	m.emit(&CopyPage{Bucket: b.id, After: b.lastKey, Size: b.pageSize, Wait: wait})
}

// handleCopied continues with the next page. Changes are caught up from the latest
// marker of the first page: a record that changes after it was copied gets a
// marker later than any that existed then.
func (m *Machine) handleCopied(b *bucket, e *Copied) {
	if !m.checkResult(b, e.Err, m.copyPage) {
		return
	}
	m.progress.Records += int64(e.Rows)
	m.pacer.Refund(b.pageSize - e.Rows)
	if b.firstPage {
		b.firstPage, b.marker = false, e.Marker
		b.previousStart = e.Marker
	}
	if e.Rows == b.pageSize {
		b.lastKey = e.LastKey
		m.copyPage(b)
		return
	}
	m.copyKeys(b)
}

func (m *Machine) copyKeys(b *bucket) {
	b.step = StepKeys
	m.emit(&CopyKeys{Bucket: b.id, Wait: m.retryWait(b)})
}

func (m *Machine) handleKeysCopied(b *bucket, e *KeysCopied) {
	if m.checkResult(b, e.Err, m.copyKeys) {
		b.latestKey = e.Latest
		m.startRound(b)
	}
}

func (m *Machine) startRound(b *bucket) {
	b.roundStart = b.marker
	b.marker = b.previousStart
	m.catchUp(b)
}

func (m *Machine) catchUp(b *bucket) {
	b.step = StepCatchUp
	wait := m.pageWait(b)
	if b.rounds == 0 && b.aborts > 0 {
		wait = max(wait, m.tuning.backoff(b.aborts))
	}
	m.emit(&CatchUpPage{Bucket: b.id, Marker: b.marker, Size: b.pageSize, Wait: wait})
}

func (m *Machine) handleCaughtUp(b *bucket, e *CaughtUp) {
	if !m.checkResult(b, e.Err, m.catchUp) {
		return
	}
	m.progress.Changes += int64(e.Rows)
	m.pacer.Refund(b.pageSize - e.Rows)
	if e.Rows > 0 {
		b.marker = LatestMarker(b.marker, e.Marker)
	}
	if e.Rows == b.pageSize {
		m.catchUp(b)
		return
	}
	b.marker = LatestMarker(b.marker, b.roundStart)
	b.previousStart = b.roundStart
	b.rounds++
	if b.rounds < minCatchUpRounds {
		m.startRound(b)
		return
	}
	b.step = StepReady
	m.ready = append(m.ready, b.id)
}

// retryBucket retries a bucket of a batch that did not flip: with another catch-up
// round, or with a new copy if its verification failed.
func (m *Machine) retryBucket(b *bucket, recopy bool) {
	if m.stopping || m.claimLost {
		b.step = StepQueued
		return
	}
	if !recopy {
		b.aborts++
		b.rounds = 0
		m.startRound(b)
		return
	}
	b.attempts++
	if b.attempts >= m.tuning.MaxAttempts {
		m.block(b, reasonMismatch)
		return
	}
	m.prepare(b)
}

func (m *Machine) block(b *bucket, reason string) {
	b.step = StepBlocked
	m.effects = append(m.effects, &Blocked{Bucket: b.id, Reason: reason})
}
