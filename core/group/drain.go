package group

import (
	"time"

	"limpetspan/core"
)

// drainer is the planned stop of this daemon as home.
type drainer struct {
	requested bool
	since     core.Time
	deadline  core.Time
	done      bool
	// moving: the daemon goes on, only this group moves to a candidate.
	moving bool
}

// onDrain begins the planned stop. This daemon never claims again.
func (g *Group) onDrain(ev *Drain) {
	d := &g.drain
	if d.requested && !d.moving {
		return
	}
	*d = drainer{requested: true, since: g.now, deadline: ev.Deadline}
	g.peers.claimAt = never
	if g.leadership.term == 0 {
		g.phase = phaseFollowing
		g.failQueue(ReasonNotHome)
	}
	g.runDrain()
}

// checkDisplaced moves the group to a candidate, as by a planned stop, when
// this daemon is home but no candidate any more.
func (g *Group) checkDisplaced() {
	d := &g.drain
	displaced := g.rank() < 0 && g.successor() != ""
	switch {
	case g.phase == phaseServing && displaced && !d.requested:
		*d = drainer{requested: true, moving: true, since: g.now, deadline: g.now.Add(moveTimeout)}
	case d.moving && !displaced:
		*d = drainer{}
	}
}

// moveTimeout bounds the wait for open transactions before a group moves.
const moveTimeout = 10 * time.Second

// draining reports whether new requests are refused. While transactions are
// open the home goes on serving for a bounded time: nobody else can take the
// group before they end, so refusing would only lengthen the gap.
func (g *Group) draining() bool {
	d := &g.drain
	if !d.requested {
		return false
	}
	return len(g.pins) == 0 || g.now >= g.drainWaitLimit()
}

func (g *Group) drainWaitLimit() core.Time {
	d := &g.drain
	waitLimit := d.since.Add(g.tuning.DrainWaitLimit)
	if d.deadline > d.since {
		waitLimit = min(waitLimit, d.since.Add(d.deadline.Sub(d.since)/2))
	}
	return waitLimit
}

// runDrain hands the group over once nothing runs here, or at the deadline.
func (g *Group) runDrain() {
	d := &g.drain
	if !d.requested || d.done {
		return
	}
	if g.leadership.term == 0 {
		g.drained()
		return
	}
	if !g.draining() {
		g.wakeBy(g.drainWaitLimit())
		return
	}
	g.failIdleQueue()
	if len(g.requests)+len(g.pins) > 0 && (d.deadline <= 0 || g.now < d.deadline) {
		if d.deadline > 0 {
			g.wakeBy(d.deadline)
		}
		return
	}
	if to := g.successor(); to != "" && g.phase == phaseServing {
		g.handOver(to, "planned stop")
	} else {
		g.releaseLeadership()
	}
	g.drained()
}

// failIdleQueue sends away what waits to run, but for open transactions.
func (g *Group) failIdleQueue() {
	for _, h := range []*requestHeap{&g.writes, &g.reads} {
		for i := 0; i < h.len(); {
			r := h.items[i]
			if r.conn != nil {
				i++
				continue
			}
			g.failRequest(r, ReasonNotHome, r.unrun(), stepQueue, 0)
		}
	}
	for len(g.delayed) > 0 {
		r := g.delayed[0]
		g.failRequest(r, ReasonNotHome, r.unrun(), stepQueue, 0)
	}
}

func (g *Group) drained() {
	if g.drain.moving {
		g.drain = drainer{}
		return
	}
	g.drain.done = true
	g.fx.add(&Drained{})
}

// handOver gives the leadership up in favour of another candidate, with the
// positions of all sessions. What runs is failed first, so nothing of the term
// is acknowledged after it.
func (g *Group) handOver(to core.DaemonID, why string) {
	g.counters.Handovers++
	term := g.leadership.term
	l := Log{Message: "handing the group over", Peer: to, Term: term, Detail: why}
	g.fx.log(l)
	sessions := g.sessions.list()
	primary := g.leadership.primary.ID
	g.peers.home, g.peers.term, g.peers.primary = to, term, primary
	g.endLeadership()
	g.fx.add(&SendHandover{To: to, Term: term, Sessions: sessions})
	g.fx.beat(Beat{Term: term, Primary: primary, Released: true, News: true})
	g.postponeClaim(2 * g.tuning.ClaimDelay)
}

// releaseLeadership gives the leadership up in favour of whoever claims next. Only a
// home that has waited out its predecessor's lease may say so: the next home
// will not wait.
func (g *Group) releaseLeadership() {
	term, primary := g.leadership.term, g.leadership.primary.ID
	serving := g.phase == phaseServing
	g.endLeadership()
	if serving {
		g.fx.beat(Beat{Term: term, Primary: primary, Released: true, News: true})
	}
}

// list copies all positions, those to be told of a loss included.
func (t *sessionTable) list() []SessionPosition {
	out := make([]SessionPosition, 0, len(t.byHash))
	for _, l := range []*sessionList{&t.live, &t.told} {
		for e := l.head; e != nil; e = e.next {
			out = append(out, SessionPosition{Session: core.SessionID(e.name), Position: e.position})
		}
	}
	return out
}

// onHandedOver: the old home released its term to this daemon, which claims
// at once and need not wait for the old lease.
func (g *Group) onHandedOver(ev *HandedOver) {
	if g.drain.requested || g.leadership.term != 0 || ev.Term < g.peers.released {
		return
	}
	g.sessions.clear()
	for i := range ev.Sessions {
		s := &ev.Sessions[i]
		g.sessions.raise(hashSession(s.Session), []byte(s.Session), s.Position, g.now)
	}
	g.peers.released = max(g.peers.released, ev.Term)
	g.ballot.seen = max(g.ballot.seen, ev.Term)
	if g.phase != phaseFollowing || !g.configured {
		return
	}
	g.counters.Claims++
	g.ballot.backoff = 0
	g.logEvent("claiming the group", nil, ev.Term, "handed over by "+string(ev.From))
	g.fence(ev.Term + 1)
}
