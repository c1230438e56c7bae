package membership

import (
	"slices"
	"time"
)

// handleProbeFailure suspects a member that did not answer a probe. A member that
// announced its shutdown is declared dead at once.
func (r *Reducer) handleProbeFailure(m *member, confirm bool) {
	switch m.State {
	case Suspect:
		if !confirm {
			return
		}
		r.setState(m, Dead, m.Incarnation)
		r.enqueue(m)
		r.log(LogDead, m)
	case Alive:
		r.setState(m, Suspect, m.Incarnation)
		r.enqueue(m)
		r.log(LogSuspected, m)
	case Leaving:
		r.setState(m, Dead, m.Incarnation)
		r.enqueue(m)
		r.log(LogLeft, m)
	}
}

// confirmTick probes suspects a last time after the suspicion timeout. Only if
// this probe fails are they declared dead: a period of overload or packet loss
// makes probes of healthy daemons fail and also delays their refutations.
func (r *Reducer) confirmTick() {
	suspects := r.suspects.list
	if len(suspects) == 0 {
		return
	}
	wait := time.Duration(float64(r.settings.SuspicionMultiplier) * r.logSize() * float64(r.settings.ProbeInterval))
	first := r.random.IntN(len(suspects))
	tried := 0
	for i := 0; i < len(suspects) && tried < confirmPerProbe; i++ {
		m := suspects[(first+i)%len(suspects)]
		if r.now.Sub(m.stateSince) < wait || r.isConfirming(m) {
			continue
		}
		r.ping(m, true)
		tried++
	}
}

func (r *Reducer) isConfirming(m *member) bool {
	return slices.ContainsFunc(r.probe.pending, func(p pendingProbe) bool { return p.target == m && p.confirm })
}
