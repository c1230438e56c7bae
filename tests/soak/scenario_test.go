package soak

import (
	"fmt"
	"time"

	"limpetspan/platform/standin"
)

// scenario is how a run is played.
type scenario struct {
	// fragments are what the callers' texts are made of, nil for all bytes.
	fragments []string
	// faults injects the faults. The run ends once all callers are served after it.
	faults func(w *world)
	// mostServed requires that more than half of the statements succeed.
	mostServed bool
}

// throughout plays a fault of all members for the time given, with no other fault. Callers send no line breaks.
func throughout(length time.Duration, fault func(w *world, m *standin.Member)) scenario {
	return scenario{fragments: wordFragments, mostServed: true, faults: func(w *world) {
		for _, m := range w.group.Members() {
			fault(w, m)
		}
		time.Sleep(length)
	}}
}

// summary counts what a run has played.
type summary struct {
	// statements are those that members run; succeeded and inDoubt are their answers.
	statements, succeeded, inDoubt, acknowledged int
	startups                                     int
	// errors counts the other answers by code; "none" is a connection that ended.
	errors map[string]int
}

func (s summary) String() string {
	return fmt.Sprintf("%d statements, %d succeeded, %d in doubt, %d writes acknowledged, %d connections at members, errors %v",
		s.statements, s.succeeded, s.inDoubt, s.acknowledged, s.startups, s.errors)
}

func summarize(h *history, g *standin.Group) (s summary) {
	s.errors = make(map[string]int)
	for i := range h.exchanges {
		e := &h.exchanges[i]
		if !e.runsAtMember() {
			continue
		}
		s.statements++
		if e.succeeded() {
			s.succeeded++
		} else {
			s.errors[e.code()]++
		}
		if e.inDoubt() {
			s.inDoubt++
		}
	}
	for _, w := range h.writes {
		if w.verdict == acknowledged {
			s.acknowledged++
		}
	}
	for _, m := range g.Members() {
		s.startups += m.Startups()
	}
	return s
}
