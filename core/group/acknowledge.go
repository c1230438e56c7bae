package group

import "limpetspan/core"

// finishWrite ends a write at the member: it is acknowledged now, or held.
func (g *Group) finishWrite(r *request, ev *Finished) {
	r.position = ev.Position
	if r.term != g.leadership.term || ev.Position.Term > g.leadership.term {
		// Guard: a replaced primary's answer must not reach the caller as a
		// success. It would show as a write that was confirmed and is gone.
		g.probeNow(g.memberToProbe(r))
		g.failReplaced(r)
		return
	}
	if ev.TxStatus != 'I' {
		r.position = core.Position{} // Nothing is committed yet.
		g.acknowledge(r)
		return
	}
	g.recordWrite(r)
	r.state = stateHeld
	r.dispatchedAt = g.now // From here on: when it finished.
	if g.releasable(r) {
		g.acknowledge(r)
		return
	}
	g.held = append(g.held, r)
	g.counters.Held++
	g.scheduleProbes()
}

func (g *Group) memberToProbe(r *request) *member {
	if g.leadership.primary != nil {
		return g.leadership.primary
	}
	return r.conn.member
}

func (g *Group) failReplaced(r *request) {
	r.state = stateHeld
	g.failRequest(r, ReasonReplaced, core.OutcomeUnknown, stepAcknowledge, 0)
}

// releasable reports whether a finished write may be acknowledged: in its own
// leadership, under the lease and, if durable, with its position at a majority.
//
// Guard: without the lease another home may have promoted a member that lacks
// the write. Without the majority a later fence might miss every member that
// has it. Both would show as a write that was confirmed and is gone.
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

// confirmed reports whether a majority, the primary included, has applied p in
// this leadership. Positions of members are kept only from reports of this term.
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

// acknowledge gives a request its answer.
func (g *Group) acknowledge(r *request) {
	g.counters.Acknowledged++
	g.recordAcknowledged(r)
	g.effects.acknowledge(Acknowledge{Request: r.id, Position: r.position})
	g.release(r)
}

// failHeld fails the writes whose leadership ends before they were acknowledged.
func (g *Group) failHeld(reason Reason) {
	for len(g.held) > 0 {
		g.failRequest(g.held[len(g.held)-1], reason, core.OutcomeUnknown, stepAcknowledge, 0)
	}
}

// expireHeld ends the wait for a confirmation. The statement ran at a member,
// but whether the group will keep it is not known, with the lease lapsed or a
// second member missing alike; so the outcome is unknown, not "ran".
func (g *Group) expireHeld(r *request) {
	g.failRequest(r, ReasonNotConfirmed, core.OutcomeUnknown, stepAcknowledge, 0)
}
