package takeover

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
)

const stepOrder = "home.takeover"

// Order carries out what a worker asks of this home. All operations may be
// repeated. The error is an *errs.Error or what Databases returned.
func (g *Gate) Order(ctx context.Context, o Order) error {
	if err := g.await(ctx, &o); err != nil {
		return err
	}
	switch o.Operation {
	case OperationHold:
		return g.hold(ctx, &o)
	case OperationSeal:
		return g.seal(ctx, &o)
	case OperationSettle:
		return g.settle(ctx, &o)
	}
	return errs.New(errs.BadRequest, core.OutcomeNotRun, stepOrder, "", "unknown operation %q", o.Operation)
}

// await waits until this home has the order's revision in force and checks
// that the order comes from the worker that revision names.
func (g *Gate) await(ctx context.Context, o *Order) error {
	for {
		g.mu.Lock()
		doc, changed := g.current(), g.changed
		ready := g.loaded && doc.Revision >= max(o.Revision, g.kind(o.Kind).floor)
		g.mu.Unlock()
		if ready {
			return checkClaim(doc, o)
		}
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Unavailable, core.OutcomeNotRun, stepOrder, "",
				"this home has revision %d, the order needs %d", doc.Revision, o.Revision)
		case <-changed:
		}
	}
}

func checkClaim(doc *config.Document, o *Order) error {
	t := doc.Takeovers[o.Kind]
	if t == nil || t.Worker != o.Claim {
		return errs.New(errs.ClaimLost, core.OutcomeNotRun, stepOrder, "", "another worker has the take-over of %q", o.Kind)
	}
	return nil
}

func holdRefused(o *Order, reason string) error {
	return errs.New(errs.HoldRefused, core.OutcomeNotRun, stepOrder, "", "%s of %s: %s", o.Operation, o.Fence, reason)
}

// hold keeps new writes out of the buckets and waits for those in flight.
func (g *Gate) hold(ctx context.Context, o *Order) error {
	if err := g.install(o); err != nil {
		return err
	}
	// Prevents that callers wait for a worker that has died: it asks for
	// nothing more, and nobody else knows of the hold. Ending it is safe as
	// nothing flips before the seal, and the seal finds the hold gone.
	time.AfterFunc(o.Limit, func() { g.lift(o) })
	for {
		drained, changed, err := g.drained(o)
		if drained || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g.lift(o)
			return errs.Wrap(ctx.Err(), errs.HoldRefused, core.OutcomeNotRun, stepOrder, "", "writes are still in flight")
		}
	}
}

func (g *Gate) install(o *Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.kind(o.Kind)
	for _, b := range o.Buckets {
		if h := k.holds[b]; h != nil && h.sealed {
			return holdRefused(o, "a bucket is sealed")
		}
	}
	for _, b := range o.Buckets {
		k.holds[b] = &hold{fence: o.Fence}
	}
	return nil
}

// lift ends what is not sealed of a hold.
func (g *Gate) lift(o *Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	holds := g.kind(o.Kind).holds
	for _, b := range o.Buckets {
		if h := holds[b]; h != nil && h.fence == o.Fence && !h.sealed {
			delete(holds, b)
		}
	}
	g.wake()
}

func (g *Gate) drained(o *Order) (bool, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.kind(o.Kind)
	if !k.holdsAll(o) {
		return false, nil, holdRefused(o, "it has ended before the writes in flight did")
	}
	if k.inFlight[config.NoBucket] > 0 {
		return false, g.changed, nil
	}
	for _, b := range o.Buckets {
		if k.inFlight[b] > 0 {
			return false, g.changed, nil
		}
	}
	return true, nil, nil
}

func (k *kindGate) holdsAll(o *Order) bool {
	for _, b := range o.Buckets {
		if h := k.holds[b]; h == nil || h.fence != o.Fence {
			return false
		}
	}
	return true
}

// seal makes the hold lasting. It is marked before the database knows of it,
// so that it cannot end while the rows are on their way.
func (g *Gate) seal(ctx context.Context, o *Order) error {
	g.lasting.Lock()
	defer g.lasting.Unlock()
	if err := checkClaim(g.current(), o); err != nil {
		return err
	}
	g.mu.Lock()
	k := g.kind(o.Kind)
	if !k.holdsAll(o) {
		g.mu.Unlock()
		return holdRefused(o, "it has ended")
	}
	for _, b := range o.Buckets {
		k.holds[b].sealed = true
	}
	g.mu.Unlock()
	return g.databases.Apply(ctx, g.group, sealStatements(o))
}

// settle ends all holds of the kind: only one worker counts, it has one batch
// at a time, and this home's revision says who owns the buckets.
func (g *Gate) settle(ctx context.Context, o *Order) error {
	g.lasting.Lock()
	defer g.lasting.Unlock()
	if err := checkClaim(g.current(), o); err != nil {
		return err
	}
	if err := g.databases.Apply(ctx, g.group, settleStatements(o)); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.kind(o.Kind)
	clear(k.holds)
	k.floor = max(k.floor, o.Revision)
	g.wake()
	return nil
}

// Load reads the seals from the group's database. It is called when this
// daemon has become home, also when it was home of an earlier term: another
// home may have sealed buckets in between. No statement of a kind is admitted
// until it is done.
func (g *Gate) Load(ctx context.Context) error {
	leadership := g.Reset()
	rows, err := g.databases.Query(ctx, g.group, statement(readSealsSQL))
	if err != nil && !isSQLState(err, codeUndefinedTable) {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Prevents that the seals of an earlier leadership count for a later one, when
	// their answer was under way while the home changed.
	if g.leadership != leadership {
		return errs.New(errs.NotHome, core.OutcomeRan, stepOrder, "", "the home has changed meanwhile")
	}
	for _, row := range rows {
		if len(row) < 4 {
			return &ColumnsError{Statement: "seals", Want: 4, Have: len(row)}
		}
		k, bucket := g.kind(row[0].Text), int(row[1].integer())
		k.floor = max(k.floor, config.Revision(row[3].integer()))
		if bucket != floorBucket {
			k.holds[bucket] = &hold{fence: row[2].Text, sealed: true}
		}
	}
	g.loaded = true
	g.wake()
	return nil
}

// Reset forgets the holds when this daemon is not home any more. It returns
// the number of the leadership that a Load would begin now.
func (g *Gate) Reset() (leadership int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loaded = false
	g.leadership++
	for _, k := range g.kinds {
		clear(k.holds)
		k.arrival = arrival{}
	}
	g.wake()
	return g.leadership
}
