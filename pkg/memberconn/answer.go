package memberconn

import (
	"bytes"
	"slices"

	"limpetspan/core"
	"limpetspan/core/correlate"
	"limpetspan/platform"
)

// maxSurplus bounds the answers that are read while one is awaited.
const maxSurplus = 64

// receive reads answers up to the first one that is not surplus.
func (m *Conn) receive(e correlate.Expected) (platform.Answer, correlate.Verdict, error) {
	for range maxSurplus {
		a, err := m.readAnswer()
		if err != nil {
			return a, correlate.Unproved, err
		}
		got := classify(&a)
		verdict := m.matcher.Judge(e, got)
		if verdict != correlate.Surplus {
			return a, verdict, nil
		}
		m.observer.SurplusAnswer(got.Kind, e.Kind)
	}
	return platform.Answer{}, correlate.Unproved, ErrOutOfStep
}

// readAnswer reads the next answer. Its body is valid until the next call.
func (m *Conn) readAnswer() (platform.Answer, error) {
	a, err := platform.ReadAnswer(m.r, m.body)
	m.body = a.Body
	return a, err
}

// classify returns what an answer consists of.
func classify(a *platform.Answer) correlate.Answer {
	c := correlate.Answer{InTransaction: a.State == platform.StateInTransaction, Position: a.PositionText}
	switch {
	case a.Empty:
		c.Kind = correlate.Greeting
	case a.Code != "":
		c.Kind, c.Content = correlate.Refusal, a.Code
	case a.Receipt != platform.NoReceipt:
		c.Kind, c.Content = correlate.Receipt, a.Receipt
	case a.Rows > 0:
		c.Kind, c.Content = correlate.Report, a.FirstRow
	default:
		c.Kind = correlate.Acknowledgement
	}
	return c
}

// confirmRefusal has a marker confirm that the refusal answers the statement, and returns the answer to the
// statement. It ends the transaction that the refusal leaves open. outstanding are the answers to statements that
// were sent behind the refused one.
func (m *Conn) confirmRefusal(refusal platform.Answer, e correlate.Expected, outstanding []correlate.Expected) (platform.Answer, error) {
	// The answers that are read next overwrite the body.
	refusal.Body = bytes.Clone(refusal.Body)
	m.out = m.out[:0]
	expected := slices.Clone(outstanding)
	if refusal.State != platform.StateIdle {
		m.out = platform.AppendProxyStatement(m.out, platform.TextRollback)
		expected = append(expected, correlate.Rollback.Expected())
		refusal.State = platform.StateIdle
	}
	expected = m.appendMarker(expected)
	if _, err := m.c.Write(m.out); err != nil {
		return refusal, err
	}
	return m.confirm(refusal, e, expected)
}

// confirmBegin reads the answers to the statements behind a BEGIN, which run in its transaction.
func (m *Conn) confirmBegin() error {
	for range beginSteps {
		_, verdict, err := m.receive(correlate.Expected{Kind: correlate.Acknowledgement, InTransaction: true})
		if err == nil && verdict != correlate.Own {
			err = ErrOutOfStep
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// confirm reads the answers to the marker that follows an unproved answer, and returns the answer to the
// statement.
func (m *Conn) confirm(unproved platform.Answer, e correlate.Expected, expected []correlate.Expected) (platform.Answer, error) {
	content := classify(&unproved)
	confirmation := m.matcher.Confirm(e, content, expected)
	answer, proved := unproved, false
	for range maxSurplus {
		a, err := m.readAnswer()
		if err != nil {
			return answer, m.unconfirmed(proved, err)
		}
		got := classify(&a)
		switch confirmation.Judge(got) {
		case correlate.Confirmed:
			m.observer.Confirmed(content.Kind)
			return answer, nil
		case correlate.Superseded:
			m.observer.SurplusAnswer(content.Kind, e.Kind)
			a.Body = bytes.Clone(a.Body)
			answer, proved = a, true
		case correlate.Refuted:
			m.observer.Refuted(content, got)
			return answer, m.unconfirmed(proved, ErrOutOfStep)
		case correlate.Dropped:
			m.observer.SurplusAnswer(got.Kind, e.Kind)
			if !proved {
				// Either of the two answers may be the older one.
				answer.Position = core.Position{}
			}
		case correlate.Pending:
		}
	}
	return answer, m.unconfirmed(proved, ErrOutOfStep)
}

// unconfirmed returns the error of a confirmation that failed, nil if the answer is proved without it. The
// connection ends in either case.
func (m *Conn) unconfirmed(proved bool, err error) error {
	m.ended = true
	if proved {
		return nil
	}
	return err
}
