package direct

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"limpetspan/core"
)

// Explain says for each member why a statement with the need cannot be placed on
// it now, for the log.
func (g *Group) Explain(now core.Time, n Need) string {
	since, sampled := g.requirement(n)
	var parts []string
	for _, id := range g.order {
		m := g.members[id]
		parts = append(parts, string(id)+": "+g.whyNot(now, id, m, n, since, sampled))
	}
	if len(parts) == 0 {
		return "no member is known"
	}
	return strings.Join(parts, "; ")
}

func (g *Group) whyNot(now core.Time, id core.MemberID, m *member, n Need, since sample, sampled bool) string {
	_, room := g.room(now, m)
	switch {
	case slices.Contains(n.Avoid, id):
		return "tried before"
	case m.leaving(now):
		return "leaving"
	case m.suspect:
		return "silent for " + milliseconds(now.Sub(m.heardAt))
	case id == g.primary && !g.Leased(now):
		return "primary without a lease"
	case id != g.primary && (n.Primary || !sampled):
		return "replica"
	case m.busy(now):
		return "full " + milliseconds(now.Sub(m.busyAt)) + " ago"
	case id != g.primary && !g.readable(now, id, m, since):
		return fmt.Sprintf("behind by %d ms, has %v of %v, said so %d ms ago", m.lag.Milliseconds(), m.position, since.position, now.Sub(m.positionAt).Milliseconds())
	case !room:
		return fmt.Sprintf("no room: %d of %d connections in use, window %.1f, %d known in all", m.inUse(), m.open, m.window, g.conns(now, id, m))
	}
	return "free"
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
