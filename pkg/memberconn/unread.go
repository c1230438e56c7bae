package memberconn

import (
	"time"

	"limpetspan/core/correlate"
	"limpetspan/pkg/resetconn"
)

// send drops what has arrived unasked, and sends what is in out. sent is false if nothing can have reached the
// member.
func (m *Conn) send(deadline time.Time) (sent bool, err error) {
	_ = m.c.SetDeadline(deadline)
	if err := m.dropUnread(deadline); err != nil {
		return false, err
	}
	n, err := m.c.Write(m.out)
	return n > 0, err
}

// surplusTimeout bounds the wait for the rest of an answer that nothing awaits.
const surplusTimeout = 20 * time.Millisecond

// dropUnread drops the answers that have arrived while nothing was expected.
func (m *Conn) dropUnread(deadline time.Time) error {
	nothing := correlate.Expected{Kind: correlate.Nothing}
	for range maxSurplus {
		unread, err := m.HasUnread()
		if err != nil || !unread {
			return err
		}
		if limit := time.Now().Add(surplusTimeout); limit.Before(deadline) {
			_ = m.c.SetReadDeadline(limit)
		}
		a, err := m.readAnswer()
		_ = m.c.SetReadDeadline(deadline)
		if err != nil {
			return err
		}
		got := classify(&a)
		m.matcher.Judge(nothing, got)
		m.observer.SurplusAnswer(got.Kind, nothing.Kind)
	}
	return ErrOutOfStep
}

// HasUnread reports whether data has arrived that was not read. It returns io.EOF if the member has closed the
// connection.
func (m *Conn) HasUnread() (unread bool, err error) {
	if m.r.Buffered() > 0 {
		return true, nil
	}
	var b [1]byte
	n, err := resetconn.PeekUnread(m.raw, b[:])
	return n > 0, err
}
