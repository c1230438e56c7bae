package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/health"
	"limpetspan/pkg/resetconn"
)

// watchedConn is the connection of a link whose reads start a check of the home when its answer is
// overdue, and end at once when the home is found lost.
type watchedConn struct {
	*net.TCPConn
	health *peerHealth
	home   core.DaemonID
	// deadline is the time until which a read waits. sent is when it was set, which is before
	// anything is sent whose answer is read then.
	deadline time.Time
	sent     core.Time
	down     atomic.Bool
	closed   atomic.Bool
	hedging
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	if !c.closed.Swap(true) {
		c.health.linkClosed(c.home)
	}
	return c.TCPConn.Close()
}

func (c *watchedConn) SetDeadline(t time.Time) error {
	c.deadline, c.sent = t, now()
	c.superseded.Store(false)
	return c.TCPConn.SetDeadline(t)
}

// interrupt ends the read in progress.
func (c *watchedConn) interrupt() {
	c.down.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	c.down.Store(false)
	if !c.health.await(c.home, c, c.sent) {
		return c.readArrived(b)
	}
	defer c.health.endAwait(c.home, c)
	for {
		next := time.Now().Add(max(time.Millisecond, c.health.checkIfOverdue(c.home, c.sent)))
		if c.deadline.Before(next) {
			next = c.deadline
		}
		if c.hedgeable.Load() && !c.hedgeAt.IsZero() && c.hedgeAt.Before(next) {
			next = c.hedgeAt
		}
		_ = c.TCPConn.SetReadDeadline(next)
		if c.down.Load() || c.superseded.Load() || c.isHedgeDue() {
			// The interruption may have come before the deadline was set.
			_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		}
		n, err := c.TCPConn.Read(b)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case c.down.Load():
			return c.readArrived(b)
		case c.superseded.Load():
			return 0, errSuperseded
		case c.isHedgeDue():
			return 0, errHedgeDue
		case !time.Now().Before(c.deadline):
			return 0, err
		}
	}
}

// readArrived reads what has arrived from a home that was found lost. A read whose deadline has passed
// misses it.
func (c *watchedConn) readArrived(b []byte) (int, error) {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(finalReadTimeout))
	n, err := c.TCPConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return 0, errHomeDown
}

// errNoTimeLeft ends an attempt to open a link after the statement's deadline.
var errNoTimeLeft = errors.New("no time is left to ask a home")

// errHomeBusy ends an attempt to open a link to a home that is up again, and to which other sessions
// open links.
var errHomeBusy = errors.New("other sessions are connecting to the home")

// dialWait is the wait for a connection to a peer.
type dialWait struct {
	cancel context.CancelFunc
	down   atomic.Bool
}

func (w *dialWait) suspect() {}

func (w *dialWait) interrupt() {
	w.down.Store(true)
	w.cancel()
}

// dial opens a connection to the peer. It starts a check of the peer if that takes long, and gives up
// when the peer is found lost.
func (h *peerHealth) dial(id core.DaemonID, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	w, sent := &dialWait{cancel: cancel}, now()
	if !h.await(id, w, sent) {
		return nil, errHomeDown
	}
	defer h.endAwait(id, w)
	timer := time.AfterFunc(health.OverdueFloor, func() { h.checkUnlessHeard(id, sent) })
	defer timer.Stop()
	c, err := resetconn.Dial(ctx, addr, resetconn.Options{})
	if err != nil {
		if w.down.Load() {
			return nil, errHomeDown
		}
		return nil, err
	}
	if ip, _, err := net.SplitHostPort(addr); err == nil {
		h.linkOpened(id, ip)
	}
	return &watchedConn{TCPConn: c, health: h, home: id}, nil
}

// checkUnlessHeard starts a check of a peer that has answered nothing since the given time.
func (h *peerHealth) checkUnlessHeard(id core.DaemonID, sent core.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now()
	if !h.table.HeardSince(id, sent) {
		h.startCheck(at, id)
	}
}

// connectWatched returns a link to one of the candidates. While all of them are in backoff, one
// session at a time tries one of them, and the others wait for the outcome, for most of the time to
// the deadline.
func (s *session) connectWatched(id core.GroupID, deadline core.Time) (*link, error) {
	waitDeadline := now().Add(fractionOf(until(deadline, 0), maxWaitShare))
	scope := health.Scope{Group: id, Team: s.p.access.teamOf(s.key)}
	unknown := 0
	for {
		choice, changed := s.p.homes.health.choose(preferHome(s.p.homes.order(id, scope.Team), s.overflowHome), scope)
		began := now()
		lastPass := len(choice.Busy) > 0 && began >= waitDeadline
		if lastPass {
			choice.Ask = choice.Busy
		}
		l, err := s.askHomes(choice, scope, deadline, &unknown)
		if l != nil || err != nil {
			return l, err
		}
		at := now()
		switch {
		case lastPass || at >= waitDeadline && len(choice.Busy) == 0 || len(choice.Ask) == 0 && choice.Wait <= 0:
			return nil, errNoHome
		case len(choice.Ask) > 0:
			s.p.sleep(min(began.Add(askInterval).Sub(at), waitDeadline.Sub(at)))
		default:
			s.p.sleepInterruptible(min(max(choice.Wait, time.Millisecond), waitDeadline.Sub(at)), changed)
		}
		if !s.p.running() {
			return nil, errNoHome
		}
	}
}

// askInterval is the least time between the beginnings of two passes over the candidates of one
// session. Homes may fail at once, for example by closing each connection.
const askInterval = 20 * time.Millisecond

// askHomes opens a link to the first of the chosen homes that accepts it. It returns neither a link nor
// an error if none of them does and others may be chosen. unknown counts the homes that did not know
// the database.
func (s *session) askHomes(choice health.Choice, scope health.Scope, deadline core.Time, unknown *int) (*link, error) {
	for i, home := range choice.Ask {
		l, err := s.tryHome(home, scope, deadline, i+1 < len(choice.Ask), len(choice.Busy) > 0)
		if home == choice.Trial {
			s.p.homes.health.trialEnded(home, scope)
		}
		if err == nil {
			return l, nil
		}
		if isUnknownDatabase(err) {
			*unknown++
		}
		if *unknown >= maxUnknownDatabase {
			return nil, err
		}
	}
	return nil, nil
}

// tryHome opens a link to the home and reports the outcome. others is set if the session has another
// home to ask, and busy if it is to ask the home although other sessions open links to it.
func (s *session) tryHome(home core.DaemonID, scope health.Scope, deadline core.Time, others, busy bool) (*link, error) {
	began := now()
	if began >= deadline {
		return nil, errNoTimeLeft
	}
	h := s.p.homes.health
	counted, ok := h.beginDial(home)
	if !ok && !busy {
		return nil, errHomeBusy
	}
	opened := false
	if counted {
		defer func() { h.endDial(home, opened) }()
	}
	timeout := max(minDialTimeout, h.dialLimit(home, deadline.Sub(began), others))
	l, err := s.openLink(scope.Group, home, h.dial, timeout, s.asksForSecondPart(scope.Group, scope.Team, home, s.overflowHome), func() time.Duration { return max(time.Millisecond, began.Add(timeout).Sub(now())) })
	if err != nil {
		s.logDecision("home connect failed", "home", home, "error", err)
		if !isTimeout(err) || timeout >= health.DialFloor {
			// A timeout is the home's only if the statement left it as long as any link takes.
			s.p.homes.sessionRefused(home, scope.Group, err)
		}
		return nil, err
	}
	opened = true
	h.connected(home, began)
	h.groupAccepted(home, scope.Group)
	s.link = &groupLink{group: scope.Group, link: l}
	if home == s.overflowHome {
		s.link.overflowUntil = now().Add(overflowRetention)
	}
	return l, nil
}
