package proxy

import (
	"math/rand/v2"
	"strconv"
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
)

// lacksMembers reports whether this daemon cannot serve the group, even as its home, because it
// knows no host list: the store became unavailable while it started, after it had received the
// configuration. Another home can serve the group's statements.
//
// A daemon with a current list that has no member of the group knows as much as the other homes:
// the store has lost the members' entries. Its sessions are not forwarded. When they were, daemons
// that are no homes connected to the members during the first ten seconds after these were listed
// again.
func (p *Proxy) lacksMembers(id core.GroupID) bool {
	configuredAt := core.Time(p.configuredAt.Load())
	if configuredAt == 0 || now().Sub(configuredAt) < hostListTimeout || p.view.isCurrent(now()) {
		return false
	}
	g := p.existingGroup(id)
	if g == nil {
		return true
	}
	return !inspect(g, func(c *direct.Group, _ core.Time) bool { return c.HasMembers() })
}

// startupDeadline returns the time until which a statement waits for this daemon to know the
// others. That takes at most maxStartupDuration after the daemon's first configuration, unless the
// store is unavailable.
func (p *Proxy) startupDeadline(arrived core.Time, route direct.Route) core.Time {
	waitDeadline := arrived.Add(fractionOf(route.StatementTimeout, maxWaitShare))
	return min(waitDeadline, core.Time(p.configuredAt.Load()).Add(maxStartupDuration))
}

// outageDuration returns for how long the group's primary has been unusable for this daemon.
func (p *Proxy) outageDuration(id core.GroupID) time.Duration {
	g := p.existingGroup(id)
	if g == nil {
		return 0
	}
	return inspect(g, func(c *direct.Group, at core.Time) time.Duration {
		return c.OutageDuration(at, direct.Requirement{Primary: true})
	})
}

// outageRetryText returns the end of a refusal's text, which says when to retry. age is how long the
// outage has lasted.
func outageRetryText(age time.Duration) string {
	return retryAfterText(admission.RetryAfter(age, rand.Float64()))
}

// jitteredRetryText returns the end of a refusal's text, which says to retry after the duration plus
// a random part of up to half of it.
func jitteredRetryText(after time.Duration) string {
	return retryAfterText(after + time.Duration(rand.Float64()/2*float64(after)))
}

// retryText returns the end of a refusal's text, which says when to retry: after retryAfter, or by the
// age of the outage if that is 0.
func (s *session) retryText(j *job, retryAfter time.Duration) string {
	if retryAfter > 0 {
		return retryAfterText(retryAfter)
	}
	return outageRetryText(s.p.outageDuration(j.route.Group))
}

// retryAfterText returns the end of a refusal's text, which says to retry after the duration.
func retryAfterText(d time.Duration) string {
	return "; retry after " + strconv.FormatInt(d.Milliseconds(), 10) + " ms"
}

// isCutOff reports whether this daemon cannot reach the group's primary and another home can.
func (p *Proxy) isCutOff(id core.GroupID) bool {
	g := p.existingGroup(id)
	return g != nil && inspect(g, (*direct.Group).IsCutOff)
}
