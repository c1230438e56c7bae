package proxy

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/health"
	"limpetspan/core/hedge"
	"limpetspan/core/policy"
	"limpetspan/platform"
)

// Ends of a wait for the first home.
var (
	errHedgeDue   = errors.New("the read is to be sent to another home as well")
	errSuperseded = errors.New("another home has answered the read")
)

// hedging is the part of a watchedConn by which the wait for an answer ends when a hedge is due, or
// when the hedge has won.
type hedging struct {
	// hedgeable is set while a hedge may be due. It is due at hedgeAt, never if that is zero, or once
	// the home is suspected.
	hedgeable, suspected atomic.Bool
	hedgeAt              time.Time
	superseded           atomic.Bool
}

func (h *hedging) isHedgeDue() bool {
	return h.hedgeable.Load() && (h.suspected.Load() || !h.hedgeAt.IsZero() && !time.Now().Before(h.hedgeAt))
}

// suspect makes a hedge due.
func (c *watchedConn) suspect() {
	if c.hedgeable.Load() {
		c.suspected.Store(true)
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// supersede ends the wait for an answer, as another home has answered.
func (c *watchedConn) supersede() {
	c.superseded.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// awaitHedge waits for data on the link, and returns true if a hedge is due before any has come.
func (c *watchedConn) awaitHedge(l *link, at time.Time) bool {
	c.hedgeAt = at
	c.suspected.Store(false)
	c.hedgeable.Store(true)
	_, err := l.r.Peek(1)
	c.hedgeable.Store(false)
	return errors.Is(err, errHedgeDue)
}

// hedger guards the daemon's hedge.Decider.
type hedger struct {
	mu      sync.Mutex
	decider *hedge.Decider
}

func newHedger() *hedger { return &hedger{decider: hedge.NewDecider()} }

func (h *hedger) answered(database string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.Answered(database, took)
}

func (h *hedger) refused() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.Refused()
}

// retain forgets the databases that are not configured.
func (h *hedger) retain(routes map[string]direct.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.Retain(func(database string) bool {
		_, ok := routes[database]
		return ok
	})
}

func (h *hedger) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decider.Take()
}

// dueAt returns when a read of the database that is sent now is hedged for being slow, the zero time
// if it is not.
func (h *hedger) dueAt(database string, left time.Duration) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delay, due := h.decider.Delay(database, left); due {
		return time.Now().Add(delay)
	}
	return time.Time{}
}

// mayHedge reports whether the statement may run at two homes: it is a read, and its operation is not
// counted at one home.
func (s *session) mayHedge(j *job) bool {
	return !j.writes && s.p.policy.Has(policy.HedgedReads) && s.p.homes.health.enabled() && !s.p.homes.teamAffinity(s.p.access.teamOf(s.key))
}

// retryPause is the pause before the third and later attempts of a read, times the attempts made. It
// bounds the attempts at homes that close their links at once.
const retryPause = 5 * time.Millisecond

// forwardHedged forwards a read outside a transaction to a home, and to a second one if the first one
// does not answer in time. Attempts are made while there is time left.
func (s *session) forwardHedged(j *job) {
	r := hedgedRead{s: s, j: j}
	for attempt := 1; ; attempt++ {
		l, err := s.connectHome(j.route.Group, j.deadline())
		if err != nil {
			r.finishUnanswered(err.Error(), attempt)
			return
		}
		a, answered := r.run(l)
		switch {
		case !answered && now() >= j.deadline():
			r.finishUnanswered("the home did not answer", attempt)
			return
		case !answered:
			if attempt >= 2 {
				s.p.sleep(time.Duration(attempt) * retryPause)
			}
			continue
		case a.Code == platform.CodeBusy:
			s.p.homes.hedging.refused()
			if l.isDecline(&a) && s.handleDecline(l, &a, attempt) {
				continue
			}
			if r.mayHaveRun {
				r.finishUnanswered("refused after an attempt without an answer", attempt)
				return
			}
		}
		s.relayHomeAnswer(j, &a, true)
		return
	}
}

// hedgedRead is a read that may be sent to more than one home.
type hedgedRead struct {
	s *session
	j *job
	// mayHaveRun is set once the read was sent to a home that did not answer it.
	mayHaveRun bool
}

// finishUnanswered answers a read that no home has answered. If it may have run, it is not refused as
// not run.
func (r *hedgedRead) finishUnanswered(why string, attempt int) {
	if !r.mayHaveRun {
		r.s.refuse(r.j, why, attempt)
		return
	}
	r.s.logDecision("unanswered", "id", r.j.id, "reason", why, "attempt", attempt, "ms", now().Sub(r.j.arrived).Milliseconds())
	r.s.answerError(platform.CodeTimeout, why+"; the read may have run, and has changed nothing")
}

// run runs the read at the home of the link, which is the session's, and at a second one if that is
// due. It returns false if neither has answered it.
func (r *hedgedRead) run(l *link) (a platform.Answer, answered bool) {
	s, j := r.s, r.j
	end := s.startSpan("home.link", j.id, string(l.home))
	var err error
	defer func() { end(outcomeText(a.Code, err)) }()
	deadline, began := j.forwardDeadline(), now()
	precedingCount, sent, err := l.send(s, j.id, []string{j.text}, deadline)
	if err != nil {
		r.lost(l, sent, err)
		return a, false
	}
	var second *secondAttempt
	c, watched := l.c.(*watchedConn)
	hedgeAt := r.hedgeAt(deadline)
	ready := func() {
		if watched && second == nil && c.awaitHedge(l, hedgeAt) {
			second = r.startSecond(l, c, began, deadline)
			if second == nil {
				// Another attempt to hedge this read would fail as well.
				watched = false
			}
		}
	}
	a, err = l.receive(s, precedingCount, began, ready)
	answered = err == nil
	if answered && a.Code != platform.CodeBusy && second.claimFirst() {
		s.p.homes.hedging.answered(s.database, now().Sub(began))
		return a, true
	}
	if second != nil {
		<-second.done
		if second.won.Load() == secondWon {
			err = nil
			return r.useSecond(second, l, began), true
		}
		r.mayHaveRun = r.mayHaveRun || second.mayHaveRun()
		s.p.stats.hedges.Add("failed", 1)
	}
	if !answered {
		r.lost(l, true, err)
	}
	return a, answered
}

// lost handles a link that has failed.
func (r *hedgedRead) lost(l *link, sent bool, err error) {
	r.mayHaveRun = r.mayHaveRun || sent
	r.s.handleHomeLoss(r.j, l, sent, err)
}

// hedgeAt returns when the read is hedged for being slow, the zero time if it is not.
func (r *hedgedRead) hedgeAt(deadline time.Time) time.Time {
	if !r.s.p.policy.Has(policy.HedgeAtPercentile) {
		return time.Time{}
	}
	return r.s.p.homes.hedging.dueAt(r.s.database, time.Until(deadline))
}

// otherHome returns the home that is asked for a hedge of a read at the given home, "" if there is
// none. Daemons that are no homes are not asked, as they would connect to the members for it.
func (h *homes) otherHome(id core.GroupID, team core.TeamID, first core.DaemonID) core.DaemonID {
	order := h.order(id, team)
	h.mu.Lock()
	list := h.homesOf(id)
	h.mu.Unlock()
	for _, home := range order {
		if home != first && slices.Contains(list, home) && h.health.isUnsuspected(home, health.Scope{Group: id, Team: team}) {
			return home
		}
	}
	return ""
}

// startSecond sends the read to a second home, nil if there is none or the budget is used up.
func (r *hedgedRead) startSecond(l *link, c *watchedConn, began core.Time, deadline time.Time) *secondAttempt {
	s := r.s
	reason := hedge.AtPercentile
	if c.suspected.Load() {
		reason = hedge.OnSuspicion
	}
	home := s.p.homes.otherHome(r.j.route.Group, s.p.access.teamOf(s.key), l.home)
	if home == "" {
		return nil
	}
	if !s.p.homes.hedging.take() {
		s.p.stats.hedges.Add("over budget", 1)
		return nil
	}
	s.p.stats.hedges.Add(reason.String(), 1)
	s.logDecision("hedge", "id", r.j.id, "reason", reason.String(), "home", l.home, "second", home, "ms", now().Sub(began).Milliseconds())
	second := &secondAttempt{home: home, first: c, done: make(chan struct{})}
	// The second attempt may outlast the statement, and reads nothing that the session changes.
	shadow := &session{p: s.p, database: s.database, key: s.key, lastCommit: s.lastCommit, lastCommitAt: s.lastCommitAt, sessionState: s.sessionState}
	shadow.values, shadow.prepared = maps.Clone(s.values), maps.Clone(s.prepared)
	go second.run(shadow, *r.j, deadline)
	return second
}

// useSecond returns the answer of the second home. The first link is closed, as its answer may still
// come. The session stays at the second home only if the first one is not to be used.
func (r *hedgedRead) useSecond(second *secondAttempt, first *link, began core.Time) platform.Answer {
	s := r.s
	took := now().Sub(began)
	s.p.homes.hedging.answered(s.database, took)
	s.p.stats.hedges.Add("won", 1)
	s.logDecision("hedge won", "id", r.j.id, "home", first.home, "second", second.home, "ms", took.Milliseconds())
	s.closeLink()
	if s.p.homes.mayKeepLink(r.j.route.Group, s.p.access.teamOf(s.key), first.home) {
		_ = second.link.c.Close()
	} else {
		s.link = &groupLink{group: r.j.route.Group, link: second.link}
	}
	return second.answer
}

// Winners of a hedge.
const (
	noneWon int32 = iota
	firstWon
	secondWon
)

// secondAttempt is the second attempt of a hedged read.
type secondAttempt struct {
	home  core.DaemonID
	first *watchedConn
	// won is set by whoever has an answer first.
	won atomic.Int32
	// done is closed at the end of the attempt, after the fields below were set.
	done   chan struct{}
	link   *link
	answer platform.Answer
	sent   bool
	err    error

	mu sync.Mutex
	// conn is the attempt's connection.
	conn net.Conn
}

// run runs the read at the second home.
func (a *secondAttempt) run(shadow *session, j job, deadline time.Time) {
	defer close(a.done)
	scope := health.Scope{Group: j.route.Group, Team: shadow.p.access.teamOf(shadow.key)}
	a.link, a.err = shadow.tryHome(a.home, scope, j.deadline())
	if a.err != nil {
		return
	}
	a.mu.Lock()
	a.conn = a.link.c
	a.mu.Unlock()
	if a.won.Load() == noneWon {
		a.answer, a.sent, a.err = a.link.run(shadow, j.id, []string{j.text}, deadline, true)
		if a.err == nil && a.answer.Code != platform.CodeBusy && a.won.CompareAndSwap(noneWon, secondWon) {
			a.first.supersede()
			return
		}
	}
	_ = a.link.c.Close()
}

// mayHaveRun reports whether the second home may have run the read, after the attempt has ended.
func (a *secondAttempt) mayHaveRun() bool {
	return a.sent && (a.err != nil || a.answer.Code != platform.CodeBusy)
}

// claimFirst records that the first home has answered, and cancels the second attempt. It returns
// false if the second home has answered before.
func (a *secondAttempt) claimFirst() bool {
	if a == nil {
		return true
	}
	if !a.won.CompareAndSwap(noneWon, firstWon) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
	}
	return true
}
