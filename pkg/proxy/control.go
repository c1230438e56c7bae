package proxy

import (
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

var errUnknownMember = errors.New("member is not in the host list")

// control carries out orders to one member, one after the other, on a
// connection of its own, so that they never wait for statements.
type control struct {
	g      *group
	id     core.MemberID
	orders chan direct.Effect
	conn   *memberConn
}

// ordersKept bounds the orders that wait; a further one is dropped, and the
// reducer gives it again.
const ordersKept = 8

func newControl(g *group, id core.MemberID) *control {
	return &control{g: g, id: id, orders: make(chan direct.Effect, ordersKept)}
}

func (c *control) order(e direct.Effect) {
	select {
	case c.orders <- e:
	default:
		c.g.p.stats.ordersDropped.Add(1)
	}
}

func (c *control) run() {
	for {
		select {
		case <-c.g.p.done:
			return
		case e := <-c.orders:
			c.do(e)
		}
	}
}

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

// do runs one order. An order on a connection that was opened earlier is run
// again on a new one if the old one fails: that one may have gone silent.
func (c *control) do(e direct.Effect) {
	sent := now()
	reused := c.conn != nil
	st, err := c.exchange(e, sent)
	if err != nil && reused {
		sent = now()
		st, err = c.exchange(e, sent)
	}
	if e.Kind != direct.EffectProbe {
		c.g.p.log.Info("order", "group", c.g.id, "member", c.id, "order", commandText(e), "status", st, "error", errorText(err))
	}
	if err != nil {
		c.g.p.stats.probeFailures.Add(1)
		var ce *connError
		refused := errors.As(err, &ce) && ce.refused
		noRoom := errors.As(err, &ce) && (ce.outcome == direct.NoRoom || ce.outcome == direct.Busy)
		c.g.update(func(g *direct.Group, at core.Time) []direct.Effect {
			if noRoom {
				return g.ConnRefused(at, c.id, direct.NoRoom)
			}
			return g.ProbeFailed(at, sent, c.id, refused)
		})
		return
	}
	c.g.update(func(g *direct.Group, at core.Time) []direct.Effect {
		return g.Probed(at, sent, c.id, st)
	})
}

func (c *control) exchange(e direct.Effect, sent core.Time) (direct.Status, error) {
	if c.conn == nil {
		c.g.mu.Lock()
		addr, ok := c.g.core.Addr(c.id)
		c.g.mu.Unlock()
		if !ok {
			return direct.Status{}, errUnknownMember
		}
		conn, err := dialMember(addr, c.g.id, c.id, probeTimeout)
		if err != nil {
			return direct.Status{}, err
		}
		c.conn = conn
	}
	limit := probeTimeout
	a, err := c.conn.own(commandText(e), core.Position{}, time.Now().Add(limit))
	if err != nil {
		c.conn.close()
		c.conn = nil
		return direct.Status{}, err
	}
	if a.Code != "" {
		return direct.Status{}, &connError{outcome: a.Outcome(), err: errors.New(a.Code + " " + a.Text)}
	}
	return platform.ParseStatus(a.FirstRow)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
