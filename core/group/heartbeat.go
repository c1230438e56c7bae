package group

// runHeartbeat sends the home's heartbeat at every BeatInterval.
//
// Guard: a home without a valid lease sends no heartbeat. If it has lost the
// majority of the members but still reaches the other daemons, its heartbeats
// would prevent them from claiming the group, and no daemon would serve it.
func (g *Group) runHeartbeat() {
	if g.leadership.term == 0 {
		return
	}
	if g.now >= g.detect.heartbeatAt {
		g.detect.heartbeatAt = g.now.Add(g.tuning.BeatInterval)
		if g.now < g.leadership.leaseUntil {
			g.sendHeartbeat()
		}
	}
	g.scheduleAt(g.detect.heartbeatAt)
}

func (g *Group) sendHeartbeat() {
	g.detect.heartbeatAt = g.now.Add(g.tuning.BeatInterval)
	g.scheduleAt(g.detect.heartbeatAt)
	g.effects.beat(Beat{Term: g.leadership.term, Primary: g.leadership.primary.ID, Announce: !g.leadership.announced})
	g.leadership.announced = true
}
