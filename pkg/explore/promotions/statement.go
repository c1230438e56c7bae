package promotions

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// maxAge is what reads of a bounded age may miss.
const maxAge = 800 * time.Millisecond

// statement has the daemon's caller write, or read in one of the three ways.
func (d *daemon) statement() {
	switch d.w.random.IntN(4) {
	case 0, 1:
		d.write()
	case 2:
		d.read(direct.PrimaryReads)
	default:
		d.read([]direct.Consistency{direct.BoundedAge, direct.ReadYourWrites}[d.w.random.IntN(2)])
	}
}

// take counts the connection that a statement uses.
func (d *daemon) take(p direct.Placement) {
	if p.Dial {
		d.g.ConnOpened(p.Member)
	} else {
		d.g.ConnTaken(p.Member, "")
	}
}

// exchange sends a statement to its member and reports the outcome to the reducer.
func (d *daemon) exchange(p direct.Placement, written bool, run func(m *member) direct.Outcome, answered func(core.Position)) {
	d.take(p)
	m, sent := d.w.member(p.Member), d.clock()
	life := m.life
	once := d.timeout(exchangeTimeout, func() {
		d.g.ConnClosed(m.id)
		d.update(func(at core.Time) []direct.Effect { return d.g.StatementUnanswered(at, sent, m.id, false) })
	})
	d.w.send(d.node(), m.node(), func() {
		if m.down || m.life != life {
			// The connection ended with the member's incarnation.
			return
		}
		outcome := run(m)
		position := m.position()
		reply := func() {
			d.w.send(m.node(), d.node(), func() {
				once(func() {
					d.g.ConnIdle(m.id, "")
					d.update(func(at core.Time) []direct.Effect { return d.g.StatementAnswered(at, sent, m.id, position, outcome) })
					if outcome == direct.Succeeded {
						answered(position)
					}
				})
			})
		}
		if written && outcome == direct.Succeeded {
			m.onceReplicated(m.log[len(m.log)-1].commit, reply)
			return
		}
		reply()
	})
}

func (d *daemon) write() {
	place, ok := d.g.Place(d.clock(), direct.Requirement{Primary: true, Arrived: d.clock()})
	if !ok {
		d.w.counts["not placed"]++
		return
	}
	c := &commit{id: len(d.w.commits) + 1, daemon: d, life: d.life}
	d.w.commits = append(d.w.commits, c)
	d.exchange(place, true, func(m *member) direct.Outcome {
		if m.write(c) {
			return direct.Succeeded
		}
		return direct.NotPrimary
	}, func(p core.Position) { d.acknowledge(c, place.Member, p, d.clock().Add(ackWait)) })
}

// acknowledge acknowledges the commit to the caller while the lease on the member as primary is
// held.
func (d *daemon) acknowledge(c *commit, id core.MemberID, p core.Position, limit core.Time) {
	if !d.w.options.without(shellAckLease) && !d.g.CanAcknowledge(d.clock(), id, p) {
		if d.clock() < limit {
			d.w.after(tick, d.mine(func() { d.acknowledge(c, id, p, limit) }))
		}
		return
	}
	c.acked, c.ackedAt = true, d.w.now
	d.lastDone = d.w.now
	// The model's session has several commits in progress at once. The highest position counts. With
	// one commit after the other it would be the last one.
	if d.last.Less(p) {
		d.last, d.lastAt = p, d.clock()
	}
	d.w.counts["acknowledged"]++
	if c.replaced {
		d.w.violate("replaced", "%s acknowledged commit %d of %s, which had been replaced", d.id, c.id, id)
	}
	if c.lost {
		d.w.violate("replaced", "%s acknowledged commit %d after a promotion had rolled it back", d.id, c.id)
	}
}

func (d *daemon) read(consistency direct.Consistency) {
	began := d.w.now
	need := direct.Requirement{Primary: consistency == direct.PrimaryReads, MaxAge: maxAge, Arrived: d.clock()}
	if consistency == direct.ReadYourWrites {
		need.Session, need.SessionAt = d.last, d.lastAt
	}
	d.tryRead(need, consistency, began)
}

// tryRead runs the read; after its answer was a refusal it is tried once more.
func (d *daemon) tryRead(need direct.Requirement, consistency direct.Consistency, began core.Time) {
	place, ok := d.g.Place(d.clock(), need)
	if !ok {
		d.w.counts["not placed"]++
		return
	}
	if place.Primary && !d.leased(place.Member) {
		return
	}
	life := d.life
	var missing *commit
	var passed []*commit
	d.exchange(place, false, func(m *member) direct.Outcome {
		if m.position().Less(place.MinPosition) {
			return direct.Lagging
		}
		missing, passed = d.w.missing(m, consistency, began, d, life)
		return direct.Succeeded
	}, func(core.Position) {
		d.w.counts["read"]++
		for _, c := range passed {
			c.missed = true
		}
		if missing != nil && !missing.lost {
			d.w.violate("stale", "%s read at %s (primary %v, since %v) without commit %d of %s, acknowledged %v before",
				d.id, place.Member, place.Primary, place.MinPosition, missing.id, missing.daemon.id, began.Sub(missing.ackedAt))
		}
	})
}

func (d *daemon) leased(id core.MemberID) bool {
	primary, _ := d.g.Primary()
	return primary == id && d.g.HasLease(d.clock())
}

// missing is a commit that the read must see and the member's log lacks, and those that it
// would have to see had no promotion rolled them back.
func (w *world) missing(m *member, consistency direct.Consistency, began core.Time, d *daemon, life int) (missing *commit, passed []*commit) {
	for _, c := range w.commits {
		if !c.acked || m.has(c) {
			continue
		}
		known := c.ackedAt < began
		switch {
		case consistency == direct.PrimaryReads && known,
			known && began.Sub(c.ackedAt) > maxAge,
			consistency == direct.ReadYourWrites && known && c.daemon == d && c.life == life:
		default:
			continue
		}
		if c.lost {
			passed = append(passed, c)
		} else if missing == nil {
			missing = c
		}
	}
	return missing, passed
}
