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
	provesFrom core.Time
	// begun is the era in which the fleet has started for the first time, if that is known.
	begun mirror.Era
}

// saw takes the era of an answer of the store, before anything else is made of the answer:
// what an earlier era has given ends first.
func (e *eras) saw(n mirror.Era) {
	at := now()
	e.mu.Lock()
	before := e.tracker.Current()
	ended := e.tracker.Observe(at, n)
	if e.p.settings.FirstStart && !ended {
		// The fleet has held nothing before.
		e.tracker.Attest(n)
		e.begun = n
	}
	e.tellProofs()
	e.mu.Unlock()
	if ended {
		e.p.endEra(at, before, n)
	}
}

// vouch takes what another daemon has written of eras.
func (e *eras) vouch(note eraNote) {
	e.mu.Lock()
	e.tracker.Attest(note.Settled)
	if note.Begun != 0 {
		e.begun = note.Begun
	}
	e.tellProofs()
	e.mu.Unlock()
}

// tellProofs has the copy of the store know from when on answers prove something, if that has
// changed; the lock is held, so that an older moment does not replace a newer one.
func (e *eras) tellProofs() {
	if from := e.tracker.ProofValidFrom(); from != e.provesFrom {
		e.provesFrom = from
		e.p.metadata.SetProofValidFrom(from)
	}
}

func (e *eras) begunIn() mirror.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

func (e *eras) current() mirror.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// noLock is the promotion lock of a group of which the store has none. An earlier era may
// have lost it, unless the fleet has started for the first time in this one.
func (e *eras) noLock() (none promotionLock) {
	e.mu.Lock()
	defer e.mu.Unlock()
	none.Era = e.begun
	return none
}

// settled says whether everything that an earlier era has given out has run out.
func (e *eras) settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Settled(now())
}

// endEra drops what the store's last era has given this daemon.
func (p *Proxy) endEra(at core.Time, before, after mirror.Era) {
	held := p.limits.newEra(at)
	p.claims.forget()
	groups := p.allGroups()
	for _, g := range groups {
		g.update((*direct.Group).StoreRestored)
	}
	p.metadata.StoreRestored()
	p.reregister.Store(true)
	time.AfterFunc(era.SettleDuration, p.eraSettled)
	p.stats.eras.Add(1)
	p.log.Warn("the store has come back from an older copy", "era", after, "before", before, "groups", len(groups), "slots", held)
}

// eraSettled has the groups take their promotion locks, which count from now on.
func (p *Proxy) eraSettled() {
	if !p.running() || !p.eras.settled() {
		return
	}
	for _, g := range p.allGroups() {
		p.view.tell(g, true)
	}
}

// eraNote is what is written of an era that has settled.
type eraNote struct {
	Settled mirror.Era `json:"settled"`
	// Begun is the era in which the fleet has started for the first time; 0: not known.
	Begun mirror.Era `json:"begun,omitempty"`
}

// noteEra writes that the era has settled, so that daemons which start do not have to wait
// for it.
func (p *Proxy) noteEra(l *daemonList) {
	current := p.eras.current()
	if current == l.settledEra || current == 0 || !p.eras.settled() {
		return
	}
	err := p.writeFleetRecord(platform.EraKey, eraNote{Settled: current, Begun: p.eras.begunIn()})
	p.log.Info("era of the store has settled", "era", current, "error", errorText(err))
}
