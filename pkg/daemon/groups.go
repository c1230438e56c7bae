package daemon

import (
	"context"
	"reflect"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/core/membership"
	"limpetspan/pkg/fleet"
)

const (
	// readyPoll is how often a daemon that has just started asks whether its
	// view of the fleet has converged.
	readyPoll = 50 * time.Millisecond
	// steadyTime is how long a view with others must stay the same to count as
	// converged. A daemon new to a large fleet learns something every 100 ms.
	steadyTime = 2 * time.Second
)

// served is what a group's shard was last told.
type served struct {
	declared   *config.Group
	candidates []group.Candidate
}

// configured brings a document in force. Requests route by it at once; the
// homes of this daemon follow in their own goroutine.
func (d *Daemon) configured(doc *config.Document) {
	d.entry.SetDocument(doc)
	d.gates.configured()
	d.gossip.AnnounceConfig(uint64(doc.Revision))
	d.revisions.announce()
	d.lookAtGroups()
	d.log.Info("configuration in force", "revision", uint64(doc.Revision), "change", doc.ChangeID)
}

// fleetChanged passes a change of the fleet's view to the parts of this daemon.
func (d *Daemon) fleetChanged(c fleet.Change) {
	for _, id := range c.Homes {
		if h, ok := d.gossip.Home(id); ok {
			d.homes.HomeNews(h, false)
			d.gates.homeNews(h)
		}
	}
	if len(c.Homes) > 0 {
		d.entry.HomesChanged(c.Homes)
	}
	if c.ConfigRevision > 0 {
		d.follower.Offer(c.ConfigPeer, config.Revision(c.ConfigRevision))
	}
	if c.Membership || c.Leaving || len(c.Candidates) > 0 {
		d.lookAtGroups()
	}
}

// homeNews announces that this daemon became home of a group or released it.
func (d *Daemon) homeNews(h fleet.Home) {
	d.gates.homeNews(h)
	d.gossip.AnnounceHome(h)
}

func (d *Daemon) lookAtGroups() {
	select {
	case d.groupsChanged <- struct{}{}:
	default:
	}
}

// followGroups keeps the shards equal to the groups of which this daemon is a
// candidate.
func (d *Daemon) followGroups(ctx context.Context) error {
	if !d.awaitReady(ctx) {
		return nil
	}
	shards := make(map[core.GroupID]served)
	var revision config.Revision
	var entries map[core.DaemonID]struct{}
	for {
		doc := d.follower.Current()
		if doc.Revision != revision {
			revision = doc.Revision
			d.gossip.SetGroups(placements(doc))
		}
		if !d.leaving.Load() {
			d.serveGroups(doc, shards)
		}
		entries = d.hangUpDead(entries)
		select {
		case <-ctx.Done():
			return nil
		case <-d.groupsChanged:
		}
	}
}

// awaitReady waits until the view of the fleet has converged: gossip says so, or
// there is nobody to ask, or nothing new came for a while. Until then this
// daemon claims no homes and callers are not sent here.
func (d *Daemon) awaitReady(ctx context.Context) bool {
	var root uint64
	since := d.now()
	for !d.viewConverged() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyPoll):
		}
		live, now := d.gossip.Fingerprint()
		if now != root || live == 1 {
			root, since = now, d.now()
		}
		if d.now().Sub(since) >= steadyTime {
			break
		}
	}
	d.converged.Store(true)
	d.log.Info("view of the fleet has converged", "daemons", len(d.gossip.Daemons()))
	return true
}

func (d *Daemon) viewConverged() bool {
	return d.gossip.Ready() || len(d.settings.Gossip.Seeds) == 0 && len(d.gossip.Daemons()) == 1
}

// placements are the groups with the zones of their members, by which
// candidates are chosen.
func placements(doc *config.Document) []membership.Group {
	list := make([]membership.Group, 0, len(doc.Groups))
	for id, g := range doc.Groups {
		p := membership.Group{ID: id}
		for _, m := range g.Members {
			p.Zones = append(p.Zones, m.Zone)
		}
		list = append(list, p)
	}
	return list
}

func (d *Daemon) serveGroups(doc *config.Document, shards map[core.GroupID]served) {
	assigned := d.gossip.Assignment()
	for _, id := range assigned {
		g := doc.Groups[id]
		if g == nil {
			continue
		}
		next := served{declared: d.withLeaving(g), candidates: candidates(d.gossip.Candidates(id))}
		if reflect.DeepEqual(shards[id], next) {
			continue
		}
		shards[id] = next
		d.gates.ensure(id)
		d.homes.Ensure(id, next.declared, uint64(doc.Revision), next.candidates)
	}
	for id := range shards {
		if !slices.Contains(assigned, id) || doc.Groups[id] == nil {
			delete(shards, id)
			d.homes.Drop(id)
		}
	}
}

// withLeaving marks the members whose hosts are known to be leaving; the
// platform's list and the targets themselves say so before the configuration.
func (d *Daemon) withLeaving(g *config.Group) *config.Group {
	marked := *g
	marked.Members = slices.Clone(g.Members)
	for i := range marked.Members {
		m := &marked.Members[i]
		m.Leaving = m.Leaving || d.gossip.TargetLeaving(m.Addr)
	}
	return &marked
}

func candidates(daemons []fleet.Daemon) []group.Candidate {
	list := make([]group.Candidate, len(daemons))
	for i, c := range daemons {
		list[i] = group.Candidate{ID: c.ID, Zone: c.Zone}
	}
	return list
}

// hangUpDead rolls back the transactions of callers whose entry died. Its
// connections may stay silent for minutes; the fleet knows within seconds.
func (d *Daemon) hangUpDead(before map[core.DaemonID]struct{}) map[core.DaemonID]struct{} {
	alive := make(map[core.DaemonID]struct{})
	for _, other := range d.gossip.Daemons() {
		alive[other.ID] = struct{}{}
	}
	for id := range before {
		if _, ok := alive[id]; !ok {
			d.peerServer.HangUpEntry(id)
		}
	}
	return alive
}
