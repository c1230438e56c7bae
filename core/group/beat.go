package group

// runBeat sends the home's heartbeat.
//
// Guard: a home that has lost the majority of the members but not the other
// daemons would keep them from claiming, and the group would stand still. It
// sends no heartbeat while its lease has lapsed.
func (g *Group) runBeat() {
	if g.leadership.term == 0 {
		return
	}
	if g.now >= g.detect.beatAt {
		g.detect.beatAt = g.now.Add(g.tuning.BeatInterval)
		if g.now < g.leadership.leaseUntil {
			g.sendBeat()
		}
	}
	g.wakeBy(g.detect.beatAt)
}

func (g *Group) sendBeat() {
	g.detect.beatAt = g.now.Add(g.tuning.BeatInterval)
	g.wakeBy(g.detect.beatAt)
	g.fx.beat(Beat{Term: g.leadership.term, Primary: g.leadership.primary.ID, News: !g.leadership.announced})
	g.leadership.announced = true
}
