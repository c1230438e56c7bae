package group

import "limpetspan/core"

// finishWrite handles a write that has run at the member. The write is
// acknowledged now or held until it is releasable.
func (g *Group) finishWrite(r *request, ev *Finished) {
	r.position = ev.Position
	if r.term != g.leadership.term || ev.Position.Term > g.leadership.term {
		// Guard: the answer of a replaced primary must not reach the caller as
		// a success. The write would be acknowledged and then lost.
		g.probeNow(g.memberToProbe(r))
		g.failReplaced(r)
		return
	}
	if ev.TxStatus != 'I' {
		r.position = core.Position{} // The transaction is not committed yet.
		g.acknowledge(r)
		return
	}
	g.recordWrite(r)
	r.state = stateHeld
	r.dispatchedAt = g.now // For a held request: when it finished.
	if g.releasable(r) {
		g.acknowledge(r)
		return
	}
	g.held = append(g.held, r)
	g.counters.Held++
	g.scheduleProbes()
}

// memberToProbe returns the current primary, or the member that ran the request
// if this daemon is no longer home.
func (g *Group) memberToProbe(r *request) *member {
	if g.leadership.primary != nil {
		return g.leadership.primary
	}
	return r.conn.member
}

// failReplaced fails a write whose leadership has ended.
func (g *Group) failReplaced(r *request) {
	r.state = stateHeld
	g.failRequest(r, ReasonReplaced, core.OutcomeUnknown, stepAcknowledge, 0)
}

// releasable reports whether a finished write may be acknowledged: its
// leadership has not ended, the lease holds and, for a durable write, a majority
// has reached its position.
//
// Guard: without the lease another home may have promoted a member that lacks
// the write. Without the majority a later fence might miss every member that
// has the write. In both cases an acknowledged write would be lost.
func (g *Group) releasable(r *request) bool {
	if r.term != g.leadership.term || !g.mayAcknowledge() {
		return false
	}
	if !r.durable || !g.guardEnabled(GuardDurableConfirm) {
		return true
	}
	if r.position.IsZero() {
		p := g.leadership.primary
		if p.reportedAt < r.dispatchedAt || p.term != g.leadership.term {
			return false
		}
		r.position = p.position
	}
	return g.confirmed(r.position)
}

// confirmed reports whether a majority, including the primary, has applied p in
// this leadership. Member positions come only from reports of this term.
func (g *Group) confirmed(p core.Position) bool {
	others := 0
	for _, m := range g.members {
		if !m.removed && m != g.leadership.primary && m.positionKnown && !m.position.Less(p) {
			others++
		}
	}
	return others+1 >= g.majority()
}

// releaseHeld acknowledges the held writes that have become releasable.
func (g *Group) releaseHeld() {
	if len(g.held) == 0 {
		return
	}
	kept := g.held[:0]
	for _, r := range g.held {
		if g.releasable(r) {
			g.acknowledge(r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(g.held[len(kept):])
	g.held = kept
}

func (g *Group) acknowledge(r *request) {
	g.counters.Acknowledged++
	g.recordAcknowledged(r)
	g.effects.acknowledge(Acknowledge{Request: r.id, Position: r.position})
	g.release(r)
}

// failHeld fails the held writes when their leadership ends.
func (g *Group) failHeld(reason Reason) {
	for len(g.held) > 0 {
		g.failRequest(g.held[len(g.held)-1], reason, core.OutcomeUnknown, stepAcknowledge, 0)
	}
}

// expireHeld fails a held write whose deadline has passed. The statement ran at
// the primary, but it is not known whether the group will keep it: either the
// lease has expired or no second member has confirmed the write. The outcome is
// therefore unknown, not "ran".
func (g *Group) expireHeld(r *request) {
	g.failRequest(r, ReasonNotConfirmed, core.OutcomeUnknown, stepAcknowledge, 0)
}
