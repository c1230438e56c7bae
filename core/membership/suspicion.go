package membership

import (
	"slices"
	"time"
)

// handleProbeFailure suspects a member whose probe had no answer. One that said it was
// leaving is gone.
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

// confirmTick tries daemons whose suspicion nobody refuted in time a last
// time, and only a failure of that makes them dead. A spell of overload or of
// loss would otherwise bury daemons that are well: it makes probes fail, and
// it keeps the refutations from spreading as well.
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
