package group

// runBeat sends the home's heartbeat.
//
// Guard: a home that has lost the majority of the members but not the other
// daemons would keep them from claiming, and the group would stand still. It
// sends no heartbeat while its lease has lapsed.
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
