package membership

import (
	"time"

	"limpetspan/core"
)

// configState controls the dissemination of the configuration revision.
type configState struct {
	// revision is in force here; offered is the highest that others have offered.
	revision    uint64
	offered     uint64
	nextOfferAt core.Time
	// announceRounds is the number of gossip rounds left to announce revision.
	announceRounds int
}

// offerInterval is the time between two offers of the same revision.
const offerInterval = time.Second

// announceConfig records that this daemon has the revision in force.
func (r *Reducer) announceConfig(revision uint64) {
	if revision <= r.config.revision {
		return
	}
	r.config.revision = revision
	r.self.ConfigRevision = revision
	r.config.announceRounds = (r.maxTransmissions() + r.settings.Fanout - 1) / r.settings.Fanout
	r.queue.nextAt = r.now
}

// handleConfigRevision records the revision that the sender has in force, and
// offers it to the shell if it is newer.
func (r *Reducer) handleConfigRevision(m *Message) {
	sender := r.members[m.From]
	if sender == nil {
		return
	}
	sender.ConfigRevision = max(sender.ConfigRevision, m.ConfigRevision)
	if m.ConfigRevision <= r.config.revision {
		return
	}
	if m.ConfigRevision <= r.config.offered && r.now < r.config.nextOfferAt {
		return
	}
	r.config.offered = max(r.config.offered, m.ConfigRevision)
	r.config.nextOfferAt = r.now.Add(offerInterval)
	r.out.Change.ConfigRevision = m.ConfigRevision
	r.out.Change.ConfigPeer = m.From
}
