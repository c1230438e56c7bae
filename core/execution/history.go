package execution

import (
	"strings"

	"limpetspan/core/direct"
)

// NotRun is the proof that a statement did not run. Only this package can construct a valid one; the
// zero value proves nothing.
type NotRun struct{ proved bool }

// Proved reports whether the proof is valid.
func (n NotRun) Proved() bool { return n.proved }

// NeverSent returns the proof for a request that is answered before a statement exists, such as a
// session's startup.
func NeverSent() NotRun { return NotRun{proved: true} }

// Send identifies one send of a History.
type Send int

type send struct {
	target  string
	outcome direct.Outcome
	ended   bool
}

// inlineSends is the number of sends that a History holds without an allocation. Nearly all
// statements are sent once or twice.
const inlineSends = 2

// History holds the sends of one statement. The zero value is the history of a statement that has
// not been sent. It must not be used by several goroutines at once.
type History struct {
	inline [inlineSends]send
	more   []send
	count  int
	// open is the number of sends without an outcome. mayHaveRun is set if one that has ended may
	// have run.
	open       int
	mayHaveRun bool
}

// Begin records that the statement is about to be sent to a member or a daemon.
func (h *History) Begin(target string) Send {
	h.count++
	h.open++
	if h.count > inlineSends {
		h.more = append(h.more, send{target: target})
	} else {
		h.inline[h.count-1] = send{target: target}
	}
	return Send(h.count - 1)
}

// End records the outcome of a send. Only its first outcome counts, unless a later one shows that
// the statement may have run.
func (h *History) End(id Send, o direct.Outcome) {
	s := h.at(int(id))
	if !s.ended {
		s.ended = true
		h.open--
		s.outcome = o
	}
	if !o.ProvesNotRun() {
		s.outcome = o
		h.mayHaveRun = true
	}
}

func (h *History) at(i int) *send {
	if i < inlineSends {
		return &h.inline[i]
	}
	return &h.more[i-inlineSends]
}

// NotRun returns the proof that the statement did not run. It is not valid if a send may have run.
func (h *History) NotRun() NotRun { return NotRun{proved: h.open == 0 && !h.mayHaveRun} }

// String returns the sends and their outcomes, for the log.
func (h *History) String() string {
	var b strings.Builder
	for i := range h.count {
		if i > 0 {
			b.WriteString(", ")
		}
		s := h.at(i)
		b.WriteString(s.target + ": ")
		if s.ended {
			b.WriteString(outcomeText(s.outcome))
		} else {
			b.WriteString("no outcome")
		}
	}
	return b.String()
}

func outcomeText(o direct.Outcome) string {
	switch o {
	case direct.Succeeded:
		return "succeeded"
	case direct.Failed:
		return "failed"
	case direct.ConnLost:
		return "no complete answer"
	case direct.NotSent:
		return "not sent"
	}
	return "refused"
}
