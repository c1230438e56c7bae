package memberconn

import (
	"limpetspan/core/correlate"
	"limpetspan/platform"
)

// receive reads the next answer.
func (m *Conn) receive(e correlate.Expected) (platform.Answer, error) {
	a, err := m.readAnswer()
	if err == nil {
		got := classify(&a)
		if m.matcher.Judge(e, got) == correlate.Surplus {
			m.observer.SurplusAnswer(got.Kind, e.Kind)
		}
	}
	return a, err
}

// readAnswer reads the next answer. Its body is valid until the next call.
func (m *Conn) readAnswer() (platform.Answer, error) {
	a, err := platform.ReadAnswer(m.r, m.body)
	m.body = a.Body
	if err == nil && a.Empty {
		err = errEmptyAnswer
	}
	return a, err
}

// classify returns what an answer consists of.
func classify(a *platform.Answer) correlate.Answer {
	c := correlate.Answer{InTransaction: a.State == platform.StateInTransaction}
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
