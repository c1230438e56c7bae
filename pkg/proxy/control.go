package proxy

import (
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

var (
	errUnknownMember = errors.New("member is not in the host list")
	errOrderExpired  = errors.New("the send window of the promotion lock has ended")
)

// control executes commands on one member, one after the other. It uses an idle connection of the
// group's pool if there is one. The connections that it opens become part of the pool.
type control struct {
	g        *group
	id       core.MemberID
	commands chan command
}

// command is an order to a member, or a request for its status.
type command struct {
	direct.Effect
	// ended is closed when the command has ended, with or without success, or was dropped.
	ended chan struct{}
}

// isExpired reports whether the command may not be sent any more.
func (c command) isExpired() bool { return c.SendDeadline != 0 && now() > c.SendDeadline }

// maxQueuedCommands bounds the commands that wait. Further ones are dropped; the reducer issues them
// again.
const maxQueuedCommands = 8

func newControl(g *group, id core.MemberID) *control {
	return &control{g: g, id: id, commands: make(chan command, maxQueuedCommands)}
}

// enqueue queues the command of an effect, or drops it if the queue is full.
func (c *control) enqueue(e direct.Effect) command {
	cmd := command{e, make(chan struct{})}
	select {
	case c.commands <- cmd:
	default:
		c.g.p.stats.commandsDropped.Add(1)
		close(cmd.ended)
	}
	return cmd
}

func (c *control) run() {
	for {
		select {
		case <-c.g.p.done:
			return
		case <-c.g.evicted:
			return
		case cmd := <-c.commands:
			c.execute(cmd)
			close(cmd.ended)
		}
	}
}

// releaseLock releases the promotion lock after the fences made under it have been removed. A removal
// that took effect later could remove a fence of the lock's next holder.
func (g *group) releaseLock(e direct.Effect, unfences []command) {
	for _, cmd := range unfences {
		select {
		case <-cmd.ended:
		case <-g.evicted:
		case <-g.p.done:
			return
		}
	}
	g.p.claims.release(g.id, e)
}

// commandText returns the text of the effect's command to the member.
func commandText(e direct.Effect) string {
	switch e.Kind {
	case direct.EffectFence:
		return platform.TextFence(e.Term)
	case direct.EffectUnfence:
		return platform.TextUnfence
	case direct.EffectDemote:
		return platform.TextDemote(e.Term)
	}
	return platform.TextStatus
}

// execute runs one command. A command that fails on a pooled connection is run again on a new one,
// as the pooled connection may have been lost unnoticed.
func (c *control) execute(e command) {
	sent := now()
	st, reused, err := c.exchange(e, true)
	if err != nil && reused {
		if closedByPeer(err) {
			c.g.connBroken(c.id)
		}
		sent = now()
		st, _, err = c.exchange(e, false)
	}
	if e.Kind != direct.EffectProbe {
		c.g.p.log.Info("order", "group", c.g.id, "member", c.id, "order", commandText(e.Effect),
			"role", st.Role, "term", st.Term, "fenced", st.FencedTerm, "position", st.Position, "error", errorText(err))
	}
	if errors.Is(err, errOrderExpired) {
		c.g.p.stats.ordersExpired.Add(1)
		return
	}
	if err != nil {
		c.handleFailure(sent, err)
		return
	}
	c.g.update(func(g *direct.Group, at core.Time) []direct.Effect {
		return g.Probed(at, sent, c.id, st)
	})
	if e.Kind == direct.EffectProbe {
		c.g.p.peers.requestGroupReport(c.g.id)
	}
}

// handleFailure reports a failed command to the reducer.
func (c *control) handleFailure(sent core.Time, err error) {
	c.g.p.stats.probeFailures.Add(1)
	var dialErr *memberconn.DialError
	isDialError := errors.As(err, &dialErr)
	if isDialError && dialErr.Refused || closedByPeer(err) {
		c.g.connBroken(c.id)
	}
	c.g.update(func(g *direct.Group, at core.Time) []direct.Effect {
		switch {
		case isDialError && (dialErr.Outcome == direct.ConnectionLimit || dialErr.Outcome == direct.Busy):
			return g.ProbeRefused(at, c.id)
		case isDialError && dialErr.Outcome == direct.WrongMember:
			return g.ConnFailed(at, sent, c.id, dialErr.Outcome)
		}
		return g.ProbeFailed(at, sent, c.id, isDialError && dialErr.Refused)
	})
}

// exchange sends the command and parses the member's status. It takes a pooled connection if reuse
// is set and there is one; reused says whether it did.
func (c *control) exchange(e command, reuse bool) (st direct.Status, reused bool, err error) {
	var conn *memberConn
	if reuse {
		conn = c.g.takeAnyIdle(c.id)
	}
	reused = conn != nil
	if conn == nil {
		if conn, err = c.g.openControl(c.id); err != nil {
			return st, false, err
		}
	}
	a, err := c.send(conn, e)
	if errors.Is(err, errOrderExpired) {
		c.g.release(conn)
		return st, false, err
	}
	if err != nil {
		c.g.discard(conn)
		return st, reused, err
	}
	text := a.FirstRow
	c.g.release(conn)
	if a.Code != "" {
		return st, reused, &memberconn.DialError{Outcome: a.Outcome(), Err: errors.New(a.Code + " " + a.Text)}
	}
	st, err = platform.ParseStatus(text)
	return st, reused, err
}

// send runs the command on the connection, unless it may not be sent any more. It may have waited
// behind others and for the connection.
func (c *control) send(conn *memberConn, e command) (platform.Answer, error) {
	text := commandText(e.Effect)
	switch {
	case e.isExpired():
		return platform.Answer{}, errOrderExpired
	case e.SendDeadline != 0:
		return conn.Order(text, probeTimeout)
	}
	return conn.Command(text, time.Now().Add(probeTimeout))
}

// errorText returns the error's text, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
