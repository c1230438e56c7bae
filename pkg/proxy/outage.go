package proxy

import (
	"math/rand/v2"
	"strconv"
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
)

// blind says whether this daemon cannot serve the group, although it may be its
// home: it has started while the store went away, and has the configuration but no
// host list. Another home can serve what comes here. One that has the list, and no member
// of the group on it, knows what the others know: the store has lost the members'
// entries. Sessions that were passed on then had daemons that are no homes reach the
// members, as soon as these were back, for ten seconds.
func (p *Proxy) lacksMembers(id core.GroupID) bool {
	since := core.Time(p.configuredAt.Load())
	if since == 0 || now().Sub(since) < hostListTimeout || p.view.isCurrent(now()) {
		return false
	}
	g := p.existingGroup(id)
	if g == nil {
		return true
	}
	return !inspect(g, func(c *direct.Group, _ core.Time) bool { return c.HasMembers() })
}

// startingUntil is until when a statement waits for this daemon to know the others,
// which takes it startingFor after its configuration unless the store is away.
func (p *Proxy) startupDeadline(arrived core.Time, route direct.Route) core.Time {
	waitDeadline := arrived.Add(fractionOf(route.StatementTimeout, maxWaitShare))
	return min(waitDeadline, core.Time(p.configuredAt.Load()).Add(maxStartupDuration))
}

// outage is for how long the group's primary has been unusable here.
func (p *Proxy) outageDuration(id core.GroupID) time.Duration {
	g := p.existingGroup(id)
	if g == nil {
		return 0
	}
	return inspect(g, func(c *direct.Group, at core.Time) time.Duration {
		return c.OutageDuration(at, direct.Requirement{Primary: true})
	})
}

// comeBack ends the text of a refusal in an outage of that age: when to come back.
func outageRetryText(age time.Duration) string {
	return retryAfterText(admission.RetryAfter(age, rand.Float64()))
}

// comeBackIn ends the text of a refusal: when to come back, spread out by half of that.
func jitteredRetryText(after time.Duration) string {
	return retryAfterText(after + time.Duration(rand.Float64()/2*float64(after)))
}

// retryAfter is how the text of a refusal says when to come back.
func retryAfterText(d time.Duration) string {
	return "; retry after " + strconv.FormatInt(d.Milliseconds(), 10) + " ms"
}

// cut says whether this daemon is cut from the group's primary and another home is not.
func (p *Proxy) isCutOff(id core.GroupID) bool {
	g := p.existingGroup(id)
	return g != nil && inspect(g, (*direct.Group).IsCutOff)
}
