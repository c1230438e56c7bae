package membership

import (
	"time"

	"limpetspan/core"
)

// configNews is the state of the configuration's spreading.
type configNews struct {
	// revision is in force here, offered the highest seen with others.
	revision uint64
	offered  uint64
	offerAt  core.Time
	// rounds is how many rounds of gossip remain to announce revision.
	rounds int
}

// offerInterval is the time between two offers of the same revision.
const offerInterval = time.Second

// announceConfig makes this daemon a holder of the revision.
func (r *Reducer) announceConfig(revision uint64) {
	if revision <= r.config.revision {
		return
	}
	r.config.revision = revision
	r.self.ConfigRevision = revision
	r.config.rounds = (r.repetitions() + r.settings.Fanout - 1) / r.settings.Fanout
	r.queue.nextAt = r.now
}

// offered notes the revision that the sender has in force.
func (r *Reducer) offered(m *Message) {
	sender := r.members[m.From]
	if sender == nil {
		return
	}
	sender.ConfigRevision = max(sender.ConfigRevision, m.ConfigRevision)
	if m.ConfigRevision <= r.config.revision {
		return
	}
	if m.ConfigRevision <= r.config.offered && r.now < r.config.offerAt {
		return
	}
	r.config.offered = max(r.config.offered, m.ConfigRevision)
	r.config.offerAt = r.now.Add(offerInterval)
	r.out.Change.ConfigRevision = m.ConfigRevision
	r.out.Change.ConfigPeer = m.From
}
