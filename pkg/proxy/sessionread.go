package proxy

import (
	"errors"
	"os"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/platform"
)

// readMessage reads the next message. A planned stop ends the session here if no
// transaction is open, unless an entry forwards the session. A transaction that holds a
// connection to a member or a link to a home is rolled back if its caller sends nothing
// for too long.
func (s *session) readMessage() (platform.CallerMessage, error) {
	if s.tx == nil {
		if s.p.closing() && s.r.Buffered() == 0 && !s.fromEntry {
			return platform.CallerMessage{}, errSessionEnded
		}
		s.idleSince.Store(int64(now()))
	} else if s.tx.conn != nil || s.tx.homeLink != nil {
		_ = s.c.SetReadDeadline(time.Now().Add(s.p.idleTransactionTimeout()))
	}
	line, err := s.readLine()
	s.endIdle()
	for errors.Is(err, os.ErrDeadlineExceeded) && (s.tx != nil || s.fromEntry) {
		line, err = s.readAfterTimeout(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		line, err = s.readLast(err)
	}
	if err != nil {
		return platform.CallerMessage{}, err
	}
	if s.tx != nil {
		_ = s.c.SetReadDeadline(time.Time{})
	}
	return platform.ParseCaller(line)
}

// readLine reads the next message, or the rest of one that was incomplete at a deadline.
func (s *session) readLine() (string, error) {
	line, err := s.r.ReadMessage()
	if err == nil && containsLineBreak(line) {
		s.p.stats.withLineBreak.Add(1)
	}
	return line, err
}

func containsLineBreak(line string) bool {
	return strings.IndexByte(line, '\n') >= 0 || strings.IndexByte(line, '\r') >= 0
}

// What becomes of a message that is incomplete at a deadline. One that is kept may be dropped at a later
// deadline, which ends its session.
const (
	messageKept    = "kept"
	messageDropped = "dropped"
)

// countIfIncomplete counts and logs a message of which a part was read when a deadline passed.
func (s *session) countIfIncomplete(err error, outcome string) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !s.r.Partial() {
		return
	}
	s.p.stats.incomplete.Add(outcome, 1)
	s.logDecision("message incomplete at a deadline", "outcome", outcome, "read", s.r.Buffered(), "in_transaction", s.tx != nil, "from_entry", s.fromEntry)
}

// readAfterTimeout handles a read that has timed out without ending the session, and continues it. In a
// transaction the caller was idle for too long: the transaction is rolled back. Outside a transaction a
// planned stop has interrupted the read: the entry is asked to move its session to another home, and its
// statements are served until it has done so.
func (s *session) readAfterTimeout(err error) (string, error) {
	s.countIfIncomplete(err, messageKept)
	if s.tx != nil {
		s.logDecision("transaction ended", "reason", "idle")
		s.abort(s.tx)
		_ = s.c.SetReadDeadline(time.Time{})
		return s.readLine()
	}
	if !s.entryNotified.Swap(true) {
		s.out = platform.AppendTerminate(s.out[:0])
		if err := s.flush(); err != nil {
			return "", err
		}
	}
	_ = s.c.SetReadDeadline(time.Time{})
	s.idleSince.Store(int64(now()))
	defer s.idleSince.Store(0)
	return s.readLine()
}

const (
	// finalReadTimeout bounds the last read of a session that is being ended.
	finalReadTimeout = 2 * time.Millisecond
	// incompleteShare is the share of the grace period for which the rest of a message is waited for. Its
	// statement can then run before the period ends.
	incompleteShare = 0.3
)

// readLast makes the last read of a session that a planned stop ends. It starts with a short one, as a
// read whose deadline has passed misses a message that has already arrived. If a part of a message is
// there, it waits for the rest.
func (s *session) readLast(err error) (string, error) {
	defer func() { _ = s.c.SetReadDeadline(time.Time{}) }()
	if !s.r.Partial() {
		_ = s.c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		var line string
		if line, err = s.readLine(); !errors.Is(err, os.ErrDeadlineExceeded) || !s.r.Partial() {
			return line, err
		}
	}
	_ = s.c.SetReadDeadline(time.Now().Add(fractionOf(s.p.settings.GracePeriod, incompleteShare)))
	s.countIfIncomplete(err, messageKept)
	line, err := s.readLine()
	s.countIfIncomplete(err, messageDropped)
	return line, err
}

// endIdle notes that the session has ceased to wait for a message outside a transaction, and removes the
// deadline of a planned stop: it would pass in a transaction that the message opens.
func (s *session) endIdle() {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.idleSince.Store(0)
	if s.interrupted {
		s.interrupted = false
		_ = s.c.SetReadDeadline(time.Time{})
	}
}

// endIfIdle ends the session if it has waited for a message outside a transaction
// for at least the time idle. A positive time spares sessions that have just been
// opened, whose callers are about to send the first statement. endIfIdle only
// makes the session's read time out; readMessage handles the time-out.
func (s *session) endIfIdle(at core.Time, idle time.Duration) {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	since := core.Time(s.idleSince.Load())
	if s.entryNotified.Load() {
		return
	}
	if since != 0 && at.Sub(since) >= idle {
		s.interrupted = true
		_ = s.c.SetReadDeadline(time.Now())
	}
}
