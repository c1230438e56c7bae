package health

import (
	"time"

	"limpetspan/core"
)

// Scope is what a peer is asked for.
type Scope struct {
	Group core.GroupID
	// Team is empty if the session has none.
	Team core.TeamID
}

// Choice says which peers a session may ask.
type Choice struct {
	// Ask are the peers to ask, best first. The session reports the outcome of each.
	Ask []core.DaemonID
	// Trial is the peer in Ask that is asked although it failed before, "" if there is none.
	Trial core.DaemonID
	// Busy are the peers that are up again and to which other sessions open links, if Ask is empty. A
	// session whose time to wait has ended asks them nevertheless.
	Busy []core.DaemonID
	// Wait is set if Ask is empty: after that time, or as soon as a backoff ends, the session is to
	// choose again. It is 0 if there are no candidates at all.
	Wait time.Duration
}

// Phase returns the phase of the peer's backoffs, the most restrictive one of those that apply.
func (t *Table) Phase(now core.Time, id core.DaemonID, s Scope) Phase {
	phase := Closed
	for _, b := range t.applicable(id, s) {
		switch b.phase(now) {
		case Open:
			return Open
		case Trying:
			phase = Trying
		case HalfOpen:
			if phase == Closed {
				phase = HalfOpen
			}
		}
	}
	return phase
}

// applicable returns the backoffs that apply to the peer, nil for those that do not exist.
func (t *Table) applicable(id core.DaemonID, s Scope) [3]*backoff {
	return [3]*backoff{t.down[id], t.groups[groupAt{s.Group, id}], t.teams[teamAt{s.Team, id}]}
}

// IsReachable reports whether the peer itself is not in backoff, whatever it has refused or declined.
func (t *Table) IsReachable(now core.Time, id core.DaemonID) bool {
	phase := t.down[id].phase(now)
	return phase == Closed || phase == HalfOpen && !t.AwaitsEcho(now, id)
}

// AwaitsEcho reports whether the peer's backoff has ended and an answered echo would end its trial,
// which costs no statement the time of asking a lost peer.
func (t *Table) AwaitsEcho(now core.Time, id core.DaemonID) bool {
	b := t.down[id]
	return b != nil && b.phase(now) == HalfOpen && t.peer(id).cause.endsWithEcho()
}

// IsUsable reports whether a session would be given the peer now, and not only as the last candidate.
func (t *Table) IsUsable(now core.Time, id core.DaemonID, s Scope) bool {
	switch t.Phase(now, id, s) {
	case Closed:
		return true
	case HalfOpen:
		return !t.AwaitsEcho(now, id)
	}
	return false
}

// IsSlowToConnect reports whether the peer is in backoff only because links to it opened slowly. That
// makes sessions prefer others, and neither leave the links that they have nor wait for a trial.
func (t *Table) IsSlowToConnect(now core.Time, id core.DaemonID, s Scope) bool {
	list := t.applicable(id, s)
	return list[0] != nil && t.peer(id).cause == DialSlow && list[1].phase(now) == Closed && list[2].phase(now) == Closed
}

// Choose returns the peers that a session asks, of those in order. A peer whose backoff has ended is
// tried by one session at a time, if there is no better one. Peers that are slow to connect are asked
// without a limit if there is no better one: while all are slow, each session must go on opening links.
// Without any other peer, the one whose last failure is the oldest is tried even before the end of its
// backoff. The session calls TrialEnded for a trial, whatever its outcome.
func (t *Table) Choose(now core.Time, order []core.DaemonID, s Scope) Choice {
	var c Choice
	closed := false
	for _, id := range order {
		switch {
		case t.Phase(now, id, s) == Closed && t.isFull(now, id):
			c.Busy = append(c.Busy, id)
		case t.Phase(now, id, s) == Closed:
			closed = true
			c.Ask = append(c.Ask, id)
		case len(c.Ask) == 0 && c.Trial == "" && t.IsUsable(now, id, s):
			c.Trial = id
			c.Ask = append(c.Ask, id)
		}
	}
	for _, id := range order {
		if !closed && id != c.Trial && t.IsSlowToConnect(now, id, s) {
			c.Ask = append(c.Ask, id)
		}
	}
	switch {
	case len(c.Ask) > 0:
		c.Busy = nil
	case len(c.Busy) > 0:
		c.Wait = LastTrialInterval
	default:
		c.Trial, c.Wait = t.lastCandidate(now, order, s)
		if c.Trial != "" {
			c.Ask = append(c.Ask, c.Trial)
		}
	}
	if c.Trial != "" {
		t.claim(now, c.Trial, s)
	}
	return c
}

// lastCandidate returns the peer whose last failure is the oldest, of those that nobody is trying. If
// that is too recent, or a trial is running, it returns how long to wait. Only one trial of last
// candidates runs at a time, so that sessions do not wait for several lost peers in turn.
func (t *Table) lastCandidate(now core.Time, order []core.DaemonID, s Scope) (last core.DaemonID, wait time.Duration) {
	var oldest core.Time
	for _, id := range order {
		failedAt, tryingUntil := t.lastFailure(id, s)
		if now < tryingUntil {
			return "", LastTrialInterval
		}
		if last == "" || failedAt < oldest {
			last, oldest = id, failedAt
		}
	}
	if wait = oldest.Add(LastTrialInterval).Sub(now); last != "" && wait > 0 {
		return "", wait
	}
	return last, 0
}

// lastFailure returns when the peer last failed, and until when a trial of it excludes others.
func (t *Table) lastFailure(id core.DaemonID, s Scope) (failedAt, tryingUntil core.Time) {
	for _, b := range t.applicable(id, s) {
		if b != nil {
			failedAt, tryingUntil = max(failedAt, b.failedAt), max(tryingUntil, b.tryingUntil)
		}
	}
	return failedAt, tryingUntil
}

// TrialEnded releases the claim on a trial that Choose gave to a session. The failures that the trial
// showed are recorded before.
func (t *Table) TrialEnded(id core.DaemonID, s Scope) {
	for _, b := range t.applicable(id, s) {
		if b != nil {
			b.tryingUntil = 0
		}
	}
}

// claim records that a session tries the peer.
func (t *Table) claim(now core.Time, id core.DaemonID, s Scope) {
	t.down.claim(now, id)
	t.groups.claim(now, groupAt{s.Group, id})
	t.teams.claim(now, teamAt{s.Team, id})
}
