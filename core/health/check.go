package health

import (
	"time"

	"limpetspan/core"
)

// Step is what a check does next.
type Step struct {
	// Echo is set if an echo is to be sent now. SelfEcho is set if one is to be sent to this daemon itself.
	Echo, SelfEcho bool
	// Wait is the time until Continue is to be called. It is 0 at the end of the check.
	Wait time.Duration
	// Lost is set if the check has ended with the verdict that the peer is lost. Silence is for how
	// long it answered no echo, Limit the silence after which it counts as lost.
	Lost           bool
	Silence, Limit time.Duration
	// AskConfiguration is set instead of Lost if it is unknown whether the peer answers echoes, as it may
	// run an earlier version, if not all echoes were sent, or if the peer has been silent for long, as
	// datagrams to it may be lost. It is to be asked for its configuration, and EndCheck to be called after
	// that.
	AskConfiguration bool
}

// BeginCheck begins a check of the peer. It returns false if one is running.
func (t *Table) BeginCheck(now core.Time, id core.DaemonID) (Step, bool) {
	p := t.peer(id)
	if p.check != nil {
		return Step{}, false
	}
	p.check = &check{began: now, deadline: now.Add(p.lostAfter())}
	return p.sendEcho(now), true
}

// ContinueCheck continues the check of the peer.
func (t *Table) ContinueCheck(now core.Time, id core.DaemonID) Step {
	p := t.peer(id)
	c := p.check
	if c == nil {
		return Step{}
	}
	if p.heardAt >= c.began {
		p.endCheck(now)
		return Step{}
	}
	if now.Sub(c.dueAt) > lateStep && c.postponements < maxPostponements {
		c.postponements++
		c.deadline, c.selfEchoAt = max(c.deadline, now.Add(PauseGrace)), 0
		return p.sendEcho(now)
	}
	if now < c.deadline {
		return p.sendEcho(now)
	}
	if c.selfEchoAt == 0 {
		c.selfEchoAt = now
	}
	if t.selfEchoed < c.selfEchoAt && now.Sub(c.selfEchoAt) < SelfEchoTimeout {
		c.dueAt = now.Add(selfEchoInterval)
		return Step{SelfEcho: true, Wait: selfEchoInterval}
	}
	step := Step{Silence: now.Sub(c.began), Limit: p.lostAfter()}
	if !p.answersEchoes || c.unsent || t.isSecondTrial(now, id) {
		step.AskConfiguration = true
		return step
	}
	p.endCheck(now)
	step.Lost = true
	return step
}

// IsSuspect reports whether a check of the peer runs that has had no answer for half of the time to
// the verdict.
func (t *Table) IsSuspect(now core.Time, id core.DaemonID) bool {
	p := t.peer(id)
	c := p.check
	return c != nil && p.heardAt < c.began && now.Sub(c.began) >= p.lostAfter()/2
}

// isSecondTrial reports whether the peer's backoff has ended and was not its first one. Its length doubles
// with each failed trial, so this is so at most once per backoff.
func (t *Table) isSecondTrial(now core.Time, id core.DaemonID) bool {
	b := t.down[id]
	return b != nil && b.length > MinBackoff && now >= b.until
}

// EndCheck ends the peer's check after the request for its configuration.
func (t *Table) EndCheck(now core.Time, id core.DaemonID) { t.peer(id).endCheck(now) }

// sendEcho returns the step that sends the next echo. The steps are at most an echo's share of the
// check apart, and none is after the deadline.
func (p *peer) sendEcho(now core.Time) Step {
	c := p.check
	wait := min(p.lostAfter()/echoesPerCheck, max(time.Millisecond, c.deadline.Sub(now)))
	c.dueAt = now.Add(wait)
	return Step{Echo: true, Wait: wait}
}

// SelfEchoed records that this daemon has read an echo that it sent to itself at the given time. It has
// then read all answers that had arrived before. A time in the future is not of this process.
func (t *Table) SelfEchoed(now, sent core.Time) {
	if sent <= now {
		t.selfEchoed = max(t.selfEchoed, sent)
	}
}

// EchoUnsent records that an echo of the running check could not be sent, so that its silence proves
// nothing.
func (t *Table) EchoUnsent(id core.DaemonID) {
	if c := t.peer(id).check; c != nil {
		c.unsent = true
	}
}

func (p *peer) endCheck(now core.Time) { p.check, p.checkedAt = nil, now }
