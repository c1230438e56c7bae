package group

import (
	"time"

	"limpetspan/core"
)

// drainState is the state of a planned stop of this daemon, or of a planned move
// of the group to another daemon.
type drainState struct {
	requested bool
	since     core.Time
	deadline  core.Time
	done      bool
	// relocating: this daemon keeps running; only the group moves to a candidate.
	relocating bool
}

// onDrain begins the planned stop. This daemon does not claim the group again.
func (g *Group) onDrain(ev *Drain) {
	d := &g.drain
	if d.requested && !d.relocating {
		return
	}
	*d = drainState{requested: true, since: g.now, deadline: ev.Deadline}
	g.knownHome.claimAt = never
	if g.leadership.term == 0 {
		g.phase = phaseFollowing
		g.failQueued(ReasonNotHome)
	}
	g.runDrain()
}

// checkDisplaced moves the group to a candidate, in the same way as a planned
// stop, when this daemon is home but no longer a candidate.
func (g *Group) checkDisplaced() {
	d := &g.drain
	displaced := g.rank() < 0 && g.successor() != ""
	switch {
	case g.phase == phaseServing && displaced && !d.requested:
		*d = drainState{requested: true, relocating: true, since: g.now, deadline: g.now.Add(relocateTimeout)}
	case d.relocating && !displaced:
		*d = drainState{}
	}
}

// relocateTimeout bounds the wait for open transactions before a group moves.
const relocateTimeout = 10 * time.Second

// draining reports whether new requests are refused. While transactions are open
// the home continues to serve for a bounded time. No other daemon can take the
// group before they end, so refusing requests would only prolong the
// interruption.
func (g *Group) draining() bool {
	d := &g.drain
	if !d.requested {
		return false
	}
	return len(g.pins) == 0 || g.now >= g.drainWaitLimit()
}

// drainWaitLimit returns until when open transactions keep the home serving:
// DrainWaitLimit after the start of the drain, but at most half the time to its
// deadline.
func (g *Group) drainWaitLimit() core.Time {
	d := &g.drain
	waitLimit := d.since.Add(g.tuning.DrainWaitLimit)
	if d.deadline > d.since {
		waitLimit = min(waitLimit, d.since.Add(d.deadline.Sub(d.since)/2))
	}
	return waitLimit
}

// runDrain hands the group over once no request or transaction is left, or at
// the deadline.
func (g *Group) runDrain() {
	d := &g.drain
	if !d.requested || d.done {
		return
	}
	if g.leadership.term == 0 {
		g.finishDrain()
		return
	}
	if !g.draining() {
		g.scheduleAt(g.drainWaitLimit())
		return
	}
	g.failWaiting()
	if len(g.requests)+len(g.pins) > 0 && (d.deadline <= 0 || g.now < d.deadline) {
		if d.deadline > 0 {
			g.scheduleAt(d.deadline)
		}
		return
	}
	if to := g.successor(); to != "" && g.phase == phaseServing {
		g.handOver(to, "planned stop")
	} else {
		g.releaseLeadership()
	}
	g.finishDrain()
}

// failWaiting fails the requests that wait to run, except those of open
// transactions.
func (g *Group) failWaiting() {
	for _, h := range []*requestHeap{&g.writes, &g.reads} {
		for i := 0; i < h.len(); {
			r := h.items[i]
			if r.conn != nil {
				i++
				continue
			}
			g.failRequest(r, ReasonNotHome, r.queuedOutcome(), stepQueue, 0)
		}
	}
	for len(g.delayed) > 0 {
		r := g.delayed[0]
		g.failRequest(r, ReasonNotHome, r.queuedOutcome(), stepQueue, 0)
	}
}

func (g *Group) finishDrain() {
	if g.drain.relocating {
		g.drain = drainState{}
		return
	}
	g.drain.done = true
	g.effects.add(&Drained{})
}

// handOver releases the leadership to another candidate and sends it the
// positions of all sessions. endLeadership fails the running writes before, so
// no write of the term is acknowledged afterwards.
func (g *Group) handOver(to core.DaemonID, reason string) {
	g.counters.Handovers++
	term := g.leadership.term
	l := Log{Message: "handing the group over", Peer: to, Term: term, Detail: reason}
	g.effects.log(l)
	sessions := g.sessions.positions()
	primary := g.leadership.primary.ID
	g.knownHome.daemon, g.knownHome.term, g.knownHome.primary = to, term, primary
	g.endLeadership()
	g.effects.add(&SendHandover{To: to, Term: term, Sessions: sessions})
	g.effects.beat(Beat{Term: term, Primary: primary, Released: true, Announce: true})
	g.delayClaim(2 * g.tuning.ClaimDelay)
}

// releaseLeadership ends the leadership so that any candidate can claim the
// group. The release is announced only if this home has waited for the lease of
// its predecessor to expire, because the next home will not wait.
func (g *Group) releaseLeadership() {
	term, primary := g.leadership.term, g.leadership.primary.ID
	serving := g.phase == phaseServing
	g.endLeadership()
	if serving {
		g.effects.beat(Beat{Term: term, Primary: primary, Released: true, Announce: true})
	}
}

// positions returns a copy of all session positions, including those of lost
// entries.
func (t *sessionTable) positions() []SessionPosition {
	out := make([]SessionPosition, 0, len(t.byHash))
	for _, l := range []*sessionList{&t.live, &t.lost} {
		for e := l.head; e != nil; e = e.next {
			out = append(out, SessionPosition{Session: core.SessionID(e.sessionID), Position: e.position})
		}
	}
	return out
}

// onHandedOver handles the release of a term to this daemon. The daemon claims
// the group at once and does not wait for the old lease.
func (g *Group) onHandedOver(ev *HandedOver) {
	if g.drain.requested || g.leadership.term != 0 || ev.Term < g.knownHome.releasedTerm {
		return
	}
	g.sessions.clear()
	for i := range ev.Sessions {
		s := &ev.Sessions[i]
		g.sessions.raise(hashSession(s.Session), []byte(s.Session), s.Position, g.now)
	}
	g.knownHome.releasedTerm = max(g.knownHome.releasedTerm, ev.Term)
	g.ballot.highestTerm = max(g.ballot.highestTerm, ev.Term)
	if g.phase != phaseFollowing || !g.configured {
		return
	}
	g.counters.Claims++
	g.ballot.backoff = 0
	g.logEvent("claiming the group", nil, ev.Term, "handed over by "+string(ev.From))
	g.fence(ev.Term + 1)
}
