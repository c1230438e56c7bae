package proxy

import (
	"context"
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// promotionCall is a promotion request to the platform. A request that was given up is not received
// later, so that a request of the lock's next holder comes after it.
type promotionCall struct {
	c      *claims
	g      *group
	effect direct.Effect
	ctx    context.Context
	cancel context.CancelFunc
}

// newPromotionCall returns the call of an order. It has to be run.
func (c *claims) newPromotionCall(g *group, e direct.Effect) *promotionCall {
	call := &promotionCall{c: c, g: g, effect: e}
	// The request is sent by e.SendDeadline and ended at most a second later.
	call.ctx, call.cancel = context.WithTimeout(c.p.ctx, min(promoteTimeout, e.SendDeadline.Sub(now())+time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promotions[g.id] = call
	return call
}

// endPromote ends the call of the order with the token, if it is in progress.
func (c *claims) endPromote(id core.GroupID, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.promotions[id]; call != nil && call.effect.Token == token {
		call.cancel()
	}
}

// run makes the call and reports a refusal to the reducer.
func (call *promotionCall) run() {
	c, g, e := call.c, call.g, call.effect
	defer call.end()
	maySend := func() bool { return now() <= e.SendDeadline }
	if !maySend() {
		c.promoteRefused(g, "the send window of the promotion lock has ended")
		return
	}
	sent := now()
	err := c.p.client.Promote(call.ctx, platform.Promotion{
		Group: g.id, Member: e.Member, Holder: c.p.settings.Daemon, Token: e.Token, MaySend: maySend,
	})
	c.p.stats.promotions.Add(1)
	c.p.stats.promotionOutcomes.Add(promotionOutcome(err), 1)
	c.p.log.Info("promote", "group", g.id, "member", e.Member, "term", e.Term, "token", e.Token, "outcome", promotionOutcome(err),
		"ms", now().Sub(sent).Milliseconds(), "error", errorText(err))
	if isPromotionRefused(err) {
		c.promoteRefused(g, err.Error())
	}
	// After any other error the request may have been received: the member's status shows whether
	// the promotion takes effect.
}

func (call *promotionCall) end() {
	call.cancel()
	call.c.mu.Lock()
	defer call.c.mu.Unlock()
	if call.c.promotions[call.g.id] == call {
		delete(call.c.promotions, call.g.id)
	}
}

// isPromotionRefused reports whether the error says that the request has no effect.
func isPromotionRefused(err error) bool {
	return errors.Is(err, platform.ErrNotRunning) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrExpired)
}

// promotionOutcome names the outcome of a promotion request for the log and the counters.
func promotionOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, platform.ErrExpired):
		return "expired"
	case isPromotionRefused(err):
		return "refused"
	}
	// The connection was reset.
	return "given up"
}

// promoteRefused reports to the reducer that the promotion was not requested.
func (c *claims) promoteRefused(g *group, reason string) {
	g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.PromoteRefused(at, reason) })
}
