package daemon

import (
	"limpetspan/core"
	"limpetspan/core/config"
)

// Configuration is the document in force here. It must not be changed.
func (d *Daemon) Configuration() *config.Document { return d.follower.Current() }

// hear takes up that another daemon acts under a revision, and gets it from
// there at once if it is new here. Without this the home of a record that has
// just moved refuses it until the next round of gossip, for 200 ms now and
// then, although the request itself shows that there is news.
func (d *Daemon) hear(from core.DaemonID, revision config.Revision) {
	if from != d.id && revision > d.follower.Current().Revision {
		d.follower.Offer(from, revision)
	}
}
