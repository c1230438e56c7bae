package takeover

import (
	"context"
	"errors"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
)

const (
	// maxHeld bounds how long a statement waits at the gate for a held bucket.
	maxHeld = time.Second
	// retryAfter is what a refused statement is told.
	retryAfter = 20 * time.Millisecond
	stepGate   = "home.gate"
)

// Gate admits the statements of one group at its home and holds the buckets of
// kinds under take-over. It is safe for concurrent use.
type Gate struct {
	group     core.GroupID
	databases Databases
	current   func() *config.Document

	// lasting is held while the seals in the database change. It prevents that
	// the seal of a worker which has lost its claim lands after its successor
	// has settled: whoever waits here checks its claim again.
	lasting sync.Mutex
	// arriving is held while the position behind moved records is asked for.
	arriving sync.Mutex

	mu sync.Mutex
	// loaded is set once the seals of the group's database are known.
	loaded bool
	// leadership counts the resets.
	leadership int
	kinds      map[string]*kindGate
	// open holds the buckets that callers' open transactions have written to.
	open map[core.CallerID][]place
	// changed is closed and replaced when something may admit a waiter.
	changed chan struct{}
}

// place is a bucket of a kind.
type place struct {
	kind   string
	bucket int
}

// kindGate is what the gate knows of one kind.
type kindGate struct {
	// floor is the least revision the kind may be served under.
	floor config.Revision
	// inFlight counts admitted writes by bucket; those admitted while no
	// take-over ran count under config.NoBucket, as they may be in any.
	inFlight map[int]int
	holds    map[int]*hold
	arrival  arrival
}

// hold keeps statements out of one bucket: writes, and reads too once sealed.
type hold struct {
	fence  string
	sealed bool
}

// NewGate returns the gate of a group. current is the document in force in
// this daemon. The gate admits no statement of a kind before Load.
func NewGate(group core.GroupID, databases Databases, current func() *config.Document) *Gate {
	return &Gate{group: group, databases: databases, current: current, kinds: make(map[string]*kindGate),
		open: make(map[core.CallerID][]place), changed: make(chan struct{})}
}

// Request is a statement that asks to be admitted.
type Request struct {
	Caller             core.CallerID
	Kind, Version, Key string
	Write              bool
}

// Pass is the admission of one statement.
type Pass struct {
	// Floor is the position that a replica must have applied to serve the
	// statement; zero: any will do.
	Floor core.Position

	gate   *Gate
	caller core.CallerID
	place  place
	counts bool
}

// Enter admits a statement, waiting while its bucket is held. It decides under
// this home's own revision, whatever the entry's was: the entry may not have
// heard yet of a move that this home knows of. The error is an *errs.Error with
// outcome "not run"; after NotOwner the entry catches up with the configuration
// and routes again.
func (g *Gate) Enter(ctx context.Context, r Request) (Pass, error) {
	if r.Kind == "" {
		return Pass{gate: g, caller: r.Caller}, nil
	}
	var timeout <-chan time.Time
	for {
		pass, changed, err := g.try(&r)
		if err == errArrival {
			if err = g.learnArrival(ctx, &r); err == nil {
				continue
			}
		}
		if err != nil || changed == nil {
			return pass, err
		}
		if timeout == nil {
			timer := time.NewTimer(maxHeld)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		return Pass{}, errs.New(errs.Held, core.OutcomeNotRun, stepGate, "",
			"the record of kind %q is about to move", r.Kind).WithRetryAfter(retryAfter)
	}
}

// errArrival: learnArrival must come first.
var errArrival = errors.New("takeover: the position behind the moved records is not known")

// try admits the statement, or returns an error or what to wait for.
func (g *Gate) try(r *Request) (Pass, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	doc := g.current()
	k := g.kind(r.Kind)
	if err := g.behind(k, r.Kind, doc.Revision); err != nil {
		return Pass{}, nil, err
	}
	route, err := doc.Route(r.Kind, r.Version, r.Key, r.Write)
	if err != nil {
		return Pass{}, nil, RouteError(err, stepGate)
	}
	if route.Group != g.group {
		return Pass{}, nil, errs.New(errs.NotOwner, core.OutcomeNotRun, stepGate, "",
			"the record of kind %q belongs to group %q at revision %d", r.Kind, route.Group, doc.Revision).WithRetryAfter(retryAfter)
	}
	p := place{r.Kind, route.Bucket}
	if h := k.holds[p.bucket]; h != nil && (h.sealed || r.Write) && !g.isOpen(r.Caller, p) {
		return Pass{}, g.changed, nil
	}
	if g.needsArrival(r) {
		return Pass{}, nil, errArrival
	}
	if r.Write {
		k.inFlight[p.bucket]++
	}
	return Pass{Floor: k.arrival.position, gate: g, caller: r.Caller, place: p, counts: r.Write}, nil, nil
}

// behind refuses to serve a kind under a revision that is too old. It prevents
// that a daemon which became home, and has missed configuration changes, takes
// writes of buckets that have flipped away. Before Load nothing is known of that,
// as when no member of the group is reachable.
func (g *Gate) behind(k *kindGate, kind string, have config.Revision) error {
	if !g.loaded {
		return errs.New(errs.Unavailable, core.OutcomeNotRun, stepGate, "",
			"this home has not read from group %s yet which records may be about to move", g.group).WithRetryAfter(retryAfter)
	}
	if have >= k.floor {
		return nil
	}
	return errs.New(errs.Unavailable, core.OutcomeNotRun, stepGate, "",
		"this home has revision %d and serves kind %q from revision %d on", have, kind, k.floor).WithRetryAfter(retryAfter)
}

func (g *Gate) kind(name string) *kindGate {
	k := g.kinds[name]
	if k == nil {
		k = &kindGate{inFlight: make(map[int]int), holds: make(map[int]*hold)}
		g.kinds[name] = k
	}
	return k
}

// isOpen reports whether the caller's open transaction has written to the
// bucket: the hold waits for its end, so it must be let on.
func (g *Gate) isOpen(caller core.CallerID, p place) bool {
	for _, q := range g.open[caller] {
		if q == p {
			return true
		}
	}
	return false
}

// Leave ends the admission when the statement is over. txStatus is the status
// of the ReadyForQuery that followed: until it is 'I', the transaction counts
// as in flight in each bucket that it has written to.
func (p Pass) Leave(txStatus byte) {
	g := p.gate
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.counts {
		g.leave(p, txStatus != 'I')
	}
	if txStatus == 'I' {
		g.closeTransaction(p.caller)
	}
}

func (g *Gate) leave(p Pass, open bool) {
	if open && !g.isOpen(p.caller, p.place) {
		g.open[p.caller] = append(g.open[p.caller], p.place)
		return
	}
	g.release(p.place)
}

// HungUp ends what the caller's open transaction had in flight. The transaction
// itself must have been rolled back, or its connection closed, before.
func (g *Gate) HungUp(caller core.CallerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeTransaction(caller)
}

func (g *Gate) closeTransaction(caller core.CallerID) {
	for _, p := range g.open[caller] {
		g.release(p)
	}
	delete(g.open, caller)
}

func (g *Gate) release(p place) {
	k := g.kinds[p.kind]
	k.inFlight[p.bucket]--
	if k.inFlight[p.bucket] == 0 {
		delete(k.inFlight, p.bucket)
		if len(k.holds) > 0 {
			g.wake()
		}
	}
}

// Changed tells the gate that another document is in force.
func (g *Gate) Changed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake()
}

func (g *Gate) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}
