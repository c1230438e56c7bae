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
	"limpetspan/core/execution"
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

// answered records an answer if the read was served.
func (h *hedger) answered(database string, a *platform.Answer, took time.Duration) {
	if a.Code != "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.Answered(database, took)
}

// countRefusal records a home's answer if it shows that its members are overloaded: a refusal that is not
// a request to move, or a read that got no answer there in its whole time.
func (h *hedger) countRefusal(database string, l *link, a *platform.Answer) {
	if l.isRetriable(a) || a.Code != platform.CodeBusy && a.Code != platform.CodeTimeout {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.Refused(now(), database)
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

func (h *hedger) take(database string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decider.Take(now(), database)
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
		j.attempt = attempt
		l, err := s.connectHome(j.route.Group, j.deadline())
		if err != nil {
			s.refuse(j, refusal{reason: err.Error()})
			return
		}
		l, a, answered := r.run(l)
		if answered {
			if l.isRetriable(&a) && s.handleDecline(l, &a, attempt) && now() < j.deadline() {
				continue
			}
			s.relayHomeAnswer(j, l, &a, true)
			return
		}
		if now() >= j.deadline() {
			s.refuse(j, refusal{reason: "the home did not answer"})
			return
		}
		if attempt >= 2 {
			s.p.sleep(time.Duration(attempt) * retryPause)
		}
	}
}

// isRetriable reports whether the home has asked to move the session because it could not serve a read,
// which then runs at another home.
func (l *link) isRetriable(a *platform.Answer) bool { return l.isDecline(a) || l.isUnprovedDecline(a) }

// isFinal reports whether the home's answer to a read counts while another home may still answer it.
func (l *link) isFinal(a *platform.Answer) bool {
	return !homeOutcome(a).ProvesNotRun() && !l.isUnprovedDecline(a)
}

// hedgedRead is a read that may be sent to more than one home.
type hedgedRead struct {
	s *session
	j *job
}

// run runs the read at the home of the link, which is the session's, and at a second one if that is
// due. It returns the answer and its link, or false if neither home has answered. Only this goroutine
// uses the job's history. A second attempt that is not awaited has no outcome there, and so the history
// proves nothing.
func (r *hedgedRead) run(l *link) (from *link, a platform.Answer, answered bool) {
	s, j := r.s, r.j
	end := s.startSpan("home.link", j.id, string(l.home))
	var err error
	defer func() { end(outcomeText(a.Code, err)) }()
	deadline, began := j.forwardDeadline(), now()
	send := j.history.Begin(string(l.home))
	precedingCount, sent, err := l.send(s, j.id, []string{j.text}, deadline)
	if err != nil {
		j.history.End(send, sendOutcome(&a, sent, err))
		s.handleHomeLoss(j, l, sent, err)
		return l, a, false
	}
	second, a, err := r.receive(l, precedingCount, began, deadline)
	j.history.End(send, sendOutcome(&a, true, err))
	answered = err == nil
	if answered {
		s.p.homes.hedging.countRefusal(s.database, l, &a)
	}
	if answered && l.isFinal(&a) && second.claimFirst() {
		s.p.homes.hedging.answered(s.database, &a, now().Sub(began))
		return l, a, true
	}
	if second != nil && r.awaitSecond(second) {
		if answered && l.isRetriable(&a) {
			s.p.homes.teamDeclined(l.home, s.p.access.teamOf(s.key))
		}
		err = nil
		return second.link, r.useSecond(second, l, began), true
	}
	if !answered {
		s.handleHomeLoss(j, l, true, err)
	}
	return l, a, answered
}

// receive reads the answer of the first home, and starts a second attempt if that is due before.
func (r *hedgedRead) receive(l *link, precedingCount int, began core.Time, deadline time.Time) (second *secondAttempt, a platform.Answer, err error) {
	c, watched := l.c.(*watchedConn)
	hedgeAt := r.hedgeAt(deadline)
	a, err = l.receive(r.s, precedingCount, began, func() {
		if watched && second == nil && c.awaitHedge(l, hedgeAt) {
			second = r.startSecond(l, c, began, deadline)
			// If there is none, another attempt to hedge this read would fail as well.
			watched = second != nil
		}
	})
	return second, a, err
}

// awaitSecond waits for the end of the second attempt, and reports whether its answer counts.
func (r *hedgedRead) awaitSecond(second *secondAttempt) bool {
	<-second.done
	r.j.history.End(second.send, sendOutcome(&second.answer, second.sent, second.err))
	if second.won.Load() == secondWon {
		return true
	}
	r.s.p.stats.hedges.Add("failed", 1)
	if second.err == nil {
		r.s.p.homes.hedging.countRefusal(r.s.database, second.link, &second.answer)
	}
	return false
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
	if !s.p.homes.hedging.take(s.database) {
		s.p.stats.hedges.Add("over budget", 1)
		return nil
	}
	s.p.stats.hedges.Add(reason.String(), 1)
	s.logDecision("hedge", "id", r.j.id, "reason", reason.String(), "home", l.home, "second", home, "ms", now().Sub(began).Milliseconds())
	second := &secondAttempt{home: home, id: r.j.id, text: r.j.text, first: c, send: r.j.history.Begin(string(home)), done: make(chan struct{})}
	// The second attempt may outlast the statement, and reads nothing that the session changes.
	shadow := &session{p: s.p, database: s.database, key: s.key, commits: slices.Clone(s.commits), sessionState: s.sessionState}
	shadow.values, shadow.prepared = maps.Clone(s.values), maps.Clone(s.prepared)
	go second.run(shadow, health.Scope{Group: r.j.route.Group, Team: s.p.access.teamOf(s.key)}, r.j.deadline(), deadline)
	return second
}

// useSecond returns the answer of the second home. The first link is closed, as its answer may still
// come. The session stays at the second home only if the first one is not to be used.
func (r *hedgedRead) useSecond(second *secondAttempt, first *link, began core.Time) platform.Answer {
	s := r.s
	took := now().Sub(began)
	s.p.homes.hedging.countRefusal(s.database, second.link, &second.answer)
	s.p.homes.hedging.answered(s.database, &second.answer, took)
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
	home core.DaemonID
	// id and text are those of the statement, and send is the attempt in its history.
	id, text string
	send     execution.Send
	first    *watchedConn
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
func (a *secondAttempt) run(shadow *session, scope health.Scope, dialDeadline core.Time, deadline time.Time) {
	defer close(a.done)
	a.link, a.err = shadow.tryHome(a.home, scope, dialDeadline, false, false)
	if a.err != nil {
		return
	}
	a.mu.Lock()
	a.conn = a.link.c
	a.mu.Unlock()
	if a.won.Load() != noneWon {
		a.err = errSuperseded
	} else {
		a.answer, a.sent, a.err = a.link.run(shadow, a.id, []string{a.text}, deadline, true)
	}
	if a.err == nil && a.link.isFinal(&a.answer) && a.won.CompareAndSwap(noneWon, secondWon) {
		a.first.supersede()
		return
	}
	_ = a.link.c.Close()
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
