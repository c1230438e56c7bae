package daemon

import (
	"limpetspan/core"
	"limpetspan/core/config"
)

// Configuration is the document in force here. It must not be changed.
func (d *Daemon) Configuration() *config.Document { return d.follower.Current() }

// hear is called with the revision under which another daemon acts. If it is
// newer than this daemon's, hear fetches it from that daemon at once. Without this
// the home of a record that has just moved refuses requests for it until the next
// round of gossip, for 200 ms at times, although the request itself shows that
// there is a newer revision.
func (d *Daemon) hear(from core.DaemonID, revision config.Revision) {
	if from != d.id && revision > d.follower.Current().Revision {
		d.follower.Offer(from, revision)
	}
}
