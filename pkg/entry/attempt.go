package entry

import (
	"context"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/fleet"
)

const (
	stepForward = "entry.forward"
	stepWait    = "entry.wait"
	// maxPause bounds the pause between two rounds through the candidates.
	maxPause = 250 * time.Millisecond
	// waitRetryAfter is when to come back after a deadline without a home.
	waitRetryAfter = 500 * time.Millisecond
)

// trackedWriter notes whether the caller has seen anything of the answer.
type trackedWriter struct {
	w     exchange.Writer
	wrote bool
}

func (t *trackedWriter) Write(b []byte) (int, error) {
	t.wrote = true
	return t.w.Write(b)
}

// attempt is the way of one request through the candidates.
type attempt struct {
	entry *Entry
	ctx   context.Context
	req   *exchange.Request
	out   trackedWriter
	// state is the group's, in whose count the request stands.
	state *groupState
	// at is where the request was last sent.
	at place
	// hint is the home that the last refusal named.
	hint core.DaemonID
	// tried are the daemons asked in this round, triedMemory their usual place.
	tried       []core.DaemonID
	triedMemory [8]core.DaemonID
	// news is closed at news of homes since this round began, documents when
	// another document came since the route was taken.
	news, documents <-chan struct{}
	// fixed is the group of a request that is not routed.
	fixed core.GroupID
	pause time.Duration
	// last is the failure of the latest try.
	last *errs.Error
}

// run tries until the request is served, fails for good or its deadline passes.
func (a *attempt) run() (exchange.Result, error) {
	for {
		if err := a.route(); err != nil {
			return exchange.Result{}, err
		}
		at, ok := a.next()
		if !ok {
			if err := a.awaitHome(); err != nil {
				return exchange.Result{}, err
			}
			continue
		}
		result, err := a.entry.serve(a.ctx, at, a.req, &a.out)
		a.at = at
		if err == nil {
			a.found()
			return result, nil
		}
		if !a.again(errs.As(err)) {
			return result, err
		}
		if moving(a.last.Kind) {
			if err := a.awaitMove(); err != nil {
				return exchange.Result{}, err
			}
		}
	}
}

// route takes a route under the present document and waits while it is fenced.
// It is taken anew for each try, as nothing has run by then.
func (a *attempt) route() error {
	if a.fixed != "" {
		a.req.Group = a.fixed
		return a.enter(a.fixed)
	}
	for {
		a.documents = a.entry.documentNews.next()
		r, fenced, err := route(a.entry.document.Load(), a.req)
		if err == nil {
			apply(&r, a.req)
			return a.enter(r.Group)
		}
		if !fenced {
			return err
		}
		a.entry.metrics.fenced.Add(1)
		a.last = errs.As(err)
		if err := a.entry.wait(a.ctx, a.req, a.documents, a.req.Deadline, a.last); err != nil {
			return err
		}
	}
}

// enter counts the request in the group's share.
func (a *attempt) enter(id core.GroupID) error {
	state := a.entry.groups.get(id)
	if state == a.state {
		return nil
	}
	a.leave()
	limit := a.entry.options.GroupInFlight
	if state.inflight.Add(1) > int64(limit) {
		state.inflight.Add(-1)
		return shed("group", string(id), limit)
	}
	a.state = state
	a.newRound()
	return nil
}

// leave takes the request out of the group's share.
func (a *attempt) leave() {
	if a.state != nil {
		a.state.inflight.Add(-1)
		a.state = nil
	}
}

func (a *attempt) newRound() { a.tried, a.hint, a.news = a.triedMemory[:0], "", nil }

// next returns the daemon to ask: the hinted one, the home by the news, then
// the candidates by rank, each once in a round.
func (a *attempt) next() (place, bool) {
	view := a.entry.options.Fleet
	if len(a.tried) == 0 {
		a.news = a.entry.homeNews.next()
		if !a.state.maySearch(a.entry.options.Now()) {
			return place{}, false
		}
	}
	if hint := a.hint; hint != "" {
		a.hint = ""
		if at, ok := a.untried(hint); ok {
			return at, true
		}
	}
	if home, ok := view.Home(a.req.Group); ok && !home.Released {
		if at, ok := a.untried(home.Daemon); ok {
			return at, true
		}
	}
	for _, d := range view.Candidates(a.req.Group) {
		if at, ok := a.untried(d.ID); ok {
			return at, true
		}
	}
	return place{}, false
}

// untried returns where a daemon is, unless it was asked in this round, is
// known to be dead or has no known address.
func (a *attempt) untried(id core.DaemonID) (place, bool) {
	if slices.Contains(a.tried, id) {
		return place{}, false
	}
	at := place{daemon: id}
	if id != a.entry.self {
		d, ok := a.entry.options.Fleet.Daemon(id)
		if !ok || d.PeerAddr == "" || d.State == fleet.StateDead {
			return place{}, false
		}
		at.addr = d.PeerAddr
	}
	a.tried = append(a.tried, id)
	return at, true
}

// found notes that the group has a home, and lets the others go on.
func (a *attempt) found() {
	if a.state.noteHome() {
		a.entry.homeNews.announce()
	}
}

// again reports whether the request may be tried once more.
func (a *attempt) again(err *errs.Error) bool {
	a.last = err
	if a.ctx.Err() != nil {
		return false
	}
	if err.Outcome == core.OutcomeNotRun {
		if !homeless(err.Kind) {
			a.found()
			return moving(err.Kind)
		}
		a.hint = err.Hint
		a.entry.metrics.retries.Add(1)
		return true
	}
	return a.repeatRead(err)
}

// homeless reports whether a failure means that the daemon asked cannot serve
// the group now, while another one, or the same one later, can.
func homeless(kind *errs.Kind) bool {
	switch kind {
	case errs.NotHome, errs.Unavailable, errs.ConnectionLost, errs.ShuttingDown:
		return true
	}
	return false
}

// moving reports whether a failure means that the record is changing its group:
// the home holds it, or knows a later document than this entry does.
func moving(kind *errs.Kind) bool { return kind == errs.Held || kind == errs.NotOwner }

// awaitMove waits for another document, at most as long as the home said.
func (a *attempt) awaitMove() error {
	e := a.entry
	e.metrics.fenced.Add(1)
	pause := max(a.last.RetryAfter, a.pause)
	until := e.options.Now().Add(time.Duration((0.5 + e.options.Random()) * float64(pause)))
	err := e.wait(a.ctx, a.req, a.documents, min(until, a.req.Deadline), a.last)
	a.newRound()
	return err
}

// repeatRead decides on a request that may have run. A declared read may be
// repeated, unless the caller has rows of the first answer already.
func (a *attempt) repeatRead(err *errs.Error) bool {
	if err.Outcome != core.OutcomeUnknown || err.Kind != errs.ConnectionLost || !a.req.Read || a.req.Once != "" || a.out.wrote {
		return false
	}
	if !a.entry.budget.take() {
		a.entry.metrics.repeatsRefused.Add(1)
		return false
	}
	a.entry.metrics.repeatedReads.Add(1)
	return true
}

// awaitHome waits for news of a home or for the pause to pass.
func (a *attempt) awaitHome() error {
	e := a.entry
	e.metrics.waits.Add(1)
	now := e.options.Now()
	a.state.noteHomeless(now)
	if a.last == nil {
		a.last = errs.New(errs.Unavailable, core.OutcomeNotRun, stepWait, "", "group %s has no home now", a.req.Group)
	}
	// Between half and one and a half of the pause, so that those who wait
	// do not all come back at once.
	pause := time.Duration((0.5 + e.options.Random()) * float64(a.pause))
	a.pause = min(2*a.pause, maxPause)
	err := e.wait(a.ctx, a.req, a.news, min(now.Add(pause), a.req.Deadline), a.last)
	a.newRound()
	return err
}
