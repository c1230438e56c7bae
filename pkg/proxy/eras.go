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

// eras is what this daemon knows of the store's era.
type eras struct {
	p       *Proxy
	mu      sync.Mutex
	tracker era.Tracker
	// provesFrom is what the copy of the store was told last.
	proofValidFrom core.Time
	// begun is the era in which the fleet has started for the first time, if that is known.
	firstStart mirror.Era
}

// saw takes the era of an answer of the store, before anything else is made of the answer:
// what an earlier era has given ends first.
func (e *eras) observe(n mirror.Era) {
	at := now()
	e.mu.Lock()
	before := e.tracker.Current()
	ended := e.tracker.Observe(at, n)
	if e.p.settings.FirstStart && !ended {
		// The fleet has held nothing before.
		e.tracker.Attest(n)
		e.firstStart = n
	}
	e.updateProofStart()
	e.mu.Unlock()
	if ended {
		e.p.handleStoreRestored(at, before, n)
	}
}

// vouch takes what another daemon has written of eras.
func (e *eras) attest(record eraRecord) {
	e.mu.Lock()
	e.tracker.Attest(record.Settled)
	if record.FirstStart != 0 {
		e.firstStart = record.FirstStart
	}
	e.updateProofStart()
	e.mu.Unlock()
}

// tellProofs has the copy of the store know from when on answers prove something, if that has
// changed; the lock is held, so that an older moment does not replace a newer one.
func (e *eras) updateProofStart() {
	if from := e.tracker.ProofValidFrom(); from != e.proofValidFrom {
		e.proofValidFrom = from
		e.p.metadata.SetProofValidFrom(from)
	}
}

func (e *eras) firstStartEra() mirror.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.firstStart
}

func (e *eras) current() mirror.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// noLock is the promotion lock of a group of which the store has none. An earlier era may
// have lost it, unless the fleet has started for the first time in this one.
func (e *eras) missingLock() (none promotionLock) {
	e.mu.Lock()
	defer e.mu.Unlock()
	none.Era = e.firstStart
	return none
}

// settled says whether everything that an earlier era has given out has run out.
func (e *eras) isSettled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Settled(now())
}

// endEra drops what the store's last era has given this daemon.
func (p *Proxy) handleStoreRestored(at core.Time, before, after mirror.Era) {
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
	p.log.Warn("the store has come back from an older copy", "era", after, "before", before, "groups", len(groups), "slots", held)
}

// eraSettled has the groups take their promotion locks, which count from now on.
func (p *Proxy) handleEraSettled() {
	if !p.running() || !p.eras.isSettled() {
		return
	}
	for _, g := range p.allGroups() {
		p.view.updateGroup(g, true)
	}
}

// eraNote is what is written of an era that has settled.
type eraRecord struct {
	Settled mirror.Era `json:"settled"`
	// Begun is the era in which the fleet has started for the first time; 0: not known.
	FirstStart mirror.Era `json:"begun,omitempty"`
}

// noteEra writes that the era has settled, so that daemons which start do not have to wait
// for it.
func (p *Proxy) writeEraRecord(l *daemonList) {
	current := p.eras.current()
	if current == l.settledEra || current == 0 || !p.eras.isSettled() {
		return
	}
	err := p.writeFleetRecord(platform.EraKey, eraRecord{Settled: current, FirstStart: p.eras.firstStartEra()})
	p.log.Info("era of the store has settled", "era", current, "error", errorText(err))
}
