package failover

import (
	"sync"
)

// ledger takes down what callers were told.
type ledger struct {
	mu                            sync.Mutex
	writes                        int
	refused, unknown, unconfirmed int
	acks                          []acknowledgment
	// errors counts the errors by name.
	errors map[string]int
}

func (l *ledger) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
}

func (l *ledger) refuse(o outcome, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.errors == nil {
		l.errors = map[string]int{}
	}
	l.errors[name]++
	switch o {
	case notRun:
		l.refused++
	case ran:
		l.unconfirmed++
	default:
		l.unknown++
	}
}

func (l *ledger) acknowledge(ack acknowledgment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks = append(l.acks, ack)
}

// place is where the next acknowledgment will stand.
func (l *ledger) place() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.acks)
}

// since returns the acknowledgments from the given place on.
func (l *ledger) since(place int) []acknowledgment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]acknowledgment(nil), l.acks[place:]...)
}

// fill puts the counts into a report.
func (l *ledger) fill(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Writes, r.Acknowledged = l.writes, len(l.acks)
	r.Errors = l.errors
	r.Refused, r.Unknown, r.Unconfirmed = l.refused, l.unknown, l.unconfirmed
}
