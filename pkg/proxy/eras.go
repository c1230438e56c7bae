package proxy

import (
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/era"
	"limpetspan/core/mirror"
	"limpetspan/platform"
)

// eras tracks the store's era, which rises by one when the store is restored from an older copy.
type eras struct {
	p       *Proxy
	mu      sync.Mutex
	tracker era.Tracker
	// proofValidFrom is the value that was last passed to the copy of the store.
	proofValidFrom core.Time
}

// observe handles the era of an answer of the store. It is called before the answer is used, so that
// everything that depends on an earlier era is reset first. That the fleet starts for the first time
// (Settings.FirstStart) does not settle an era, see package era.
func (e *eras) observe(next mirror.Era) {
	at := now()
	e.mu.Lock()
	previous := e.tracker.Current()
	ended := e.tracker.Observe(at, next)
	e.updateProofStart()
	e.mu.Unlock()
	if ended {
		e.p.handleStoreRestored(at, previous, next)
	}
}

// attest records a daemon's attestation that an era has settled.
func (e *eras) attest(record eraRecord) {
	e.mu.Lock()
	e.tracker.Attest(record.Settled)
	e.updateProofStart()
	e.mu.Unlock()
}

// updateProofStart passes to the copy of the store from when on answers prove the configuration, if
// that time has changed. The lock is held, so that an older time does not replace a newer one.
func (e *eras) updateProofStart() {
	if from := e.tracker.ProofValidFrom(); from != e.proofValidFrom {
		e.proofValidFrom = from
		e.p.metadata.SetProofValidFrom(from)
	}
}

// current returns the newest era that this daemon has observed.
func (e *eras) current() mirror.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// isSettled reports whether all leases of earlier eras have expired.
func (e *eras) isSettled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Settled(now())
}

// handleStoreRestored resets what this daemon knows from the store's previous era: slots, promotion
// locks, the groups' state, the copy of the store and the daemon's registration. The daemon still
// holds its slots under their old lease until that expires.
func (p *Proxy) handleStoreRestored(at core.Time, previous, current mirror.Era) {
	held := p.limits.storeRestored(at)
	p.claims.forgetObserved()
	groups := p.allGroups()
	for _, g := range groups {
		g.update((*direct.Group).StoreRestored)
	}
	p.metadata.StoreRestored()
	p.reregister.Store(true)
	time.AfterFunc(era.SettleDuration, p.handleEraSettled)
	p.stats.erasEnded.Add(1)
	p.log.Warn("the store has come back from an older copy", "era", current, "before", previous, "groups", len(groups), "slots", held)
}

// handleEraSettled passes the promotion locks of the new era to the groups. Before it has settled,
// they are not acted on.
func (p *Proxy) handleEraSettled() {
	if !p.running() || !p.eras.isSettled() {
		return
	}
	for _, g := range p.allGroups() {
		p.view.updateGroup(g, true)
	}
}

// eraRecord is the attestation in the store that an era has settled.
type eraRecord struct {
	Settled mirror.Era `json:"settled"`
	// FirstStart is in records of earlier versions and not acted on: no daemon can know it.
	FirstStart mirror.Era `json:"begun,omitempty"`
}

// writeEraRecord attests that the current era has settled, unless the list already has that record.
// Daemons that start later then do not wait for the era to settle.
func (p *Proxy) writeEraRecord(l *daemonList) {
	current := p.eras.current()
	if current == l.settledEra || current == 0 || !p.eras.isSettled() {
		return
	}
	err := p.writeFleetRecord(platform.EraKey, eraRecord{Settled: current})
	p.log.Info("era of the store has settled", "era", current, "error", errorText(err))
}
