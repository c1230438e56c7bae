package takeover

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"limpetspan/core/config"
	"limpetspan/core/takeover"
)

// perform carries out one effect and returns the event that answers it.
func (r *run) perform(ctx context.Context, e takeover.Effect) takeover.Event {
	switch e := e.(type) {
	case *takeover.Prepare:
		r.began(takeover.StepPrepare, e.Bucket)
		err := r.prepare(ctx, e.Bucket, e.Clear)
		return &takeover.Prepared{Now: r.now(), Bucket: e.Bucket, Err: r.failed("prepare", err)}
	case *takeover.CopyPage:
		r.began(takeover.StepCopy, e.Bucket)
		p, err := r.copyPage(ctx, e.Bucket, e.After, e.Size)
		return &takeover.Copied{Now: r.now(), Bucket: e.Bucket, Rows: p.rows, LastKey: p.lastKey, Marker: p.marker, Err: r.failed("copy", err)}
	case *takeover.CopyKeys:
		r.began(takeover.StepKeys, e.Bucket)
		latest, err := r.copyKeys(ctx, e.Bucket)
		return &takeover.KeysCopied{Now: r.now(), Bucket: e.Bucket, Latest: latest, Err: r.failed("keys", err)}
	case *takeover.CatchUpPage:
		r.began(takeover.StepCatchUp, e.Bucket)
		p, err := r.catchUpPage(ctx, e.Bucket, e.Marker, e.Size)
		return &takeover.CaughtUp{Now: r.now(), Bucket: e.Bucket, Rows: p.rows, Marker: p.marker, Err: r.failed("catch_up", err)}
	case *takeover.RunBatch:
		return r.runBatch(ctx, e)
	}
	return nil
}

// began tells which step begins.
func (r *run) began(step takeover.Step, buckets ...int) {
	if r.logger.IsDebug() {
		r.logger.Debug("take-over step", "kind", r.dir.kind, "step", step.String(), "buckets", buckets)
	}
}

func (r *run) runBatch(ctx context.Context, e *takeover.RunBatch) takeover.Event {
	r.began(e.Step, e.Buckets...)
	done := &takeover.BatchDone{Fence: e.Fence, Step: e.Step}
	var err error
	switch e.Step {
	case takeover.StepHold:
		err = r.hold(ctx, e)
	case takeover.StepDrain:
		err = r.drain(ctx, e.Resume)
	case takeover.StepClose:
		err = r.close(ctx, e.Buckets)
	case takeover.StepVerify:
		done.Mismatched, err = r.verify(ctx, e.Buckets)
	case takeover.StepSeal:
		err = r.order(ctx, Order{Operation: OperationSeal, Buckets: e.Buckets, Fence: e.Fence})
	case takeover.StepFlip:
		done.Revision, err = r.flip(ctx, e.Buckets)
	case takeover.StepSettle:
		err = r.settle(ctx, e)
	}
	done.Now, done.Err = r.now(), r.failed(e.Step.String(), err)
	return done
}

func (r *run) order(ctx context.Context, o Order) error {
	o.Group, o.Kind, o.Claim = r.dir.source, r.dir.kind, r.claim.name
	o.Revision = max(o.Revision, r.claimed)
	return r.Homes.Order(ctx, o)
}

func (r *run) hold(ctx context.Context, e *takeover.RunBatch) error {
	if !r.claim.fresh() {
		return errStoreSilent
	}
	return r.order(ctx, Order{Operation: OperationHold, Buckets: e.Buckets, Fence: e.Fence, Limit: e.Limit})
}

// drain copies what changed since the buckets were caught up.
func (r *run) drain(ctx context.Context, list []takeover.Resume) error {
	buckets, since := make(map[int]bool, len(list)), int64(0)
	for i, from := range list {
		buckets[from.Bucket] = true
		if i == 0 || from.KeysAfter < since {
			since = from.KeysAfter
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, from := range list {
		g.Go(func() error { return r.catchUp(ctx, from.Bucket, from.Marker) })
	}
	g.Go(func() error { return r.copyLateKeys(ctx, buckets, since) })
	return g.Wait()
}

// close ends all writes of copies to the buckets, so that what is verified
// next is what the destination will own.
func (r *run) close(ctx context.Context, buckets []int) error {
	r.closings++
	r.closing = int64(r.token)<<20 + r.closings
	var list []Statement
	for _, b := range buckets {
		list = append(list, statement(closeSQL, text(r.dir.kind), number(b), number(r.token), number(r.closing)))
	}
	return r.write(ctx, buckets[0], list)
}

func (r *run) verify(ctx context.Context, buckets []int) ([]int, error) {
	var mu sync.Mutex
	var mismatched []int
	g, ctx := errgroup.WithContext(ctx)
	for _, b := range buckets {
		g.Go(func() error {
			same, err := r.matches(ctx, b)
			if err == nil && !same {
				mu.Lock()
				mismatched = append(mismatched, b)
				mu.Unlock()
			}
			return err
		})
	}
	return mismatched, g.Wait()
}

func (r *run) flip(ctx context.Context, buckets []int) (uint64, error) {
	doc, err := r.update(ctx, "take-over: flip buckets", flipEdit(&r.dir, r.claim.name, buckets))
	if err != nil {
		return 0, flipError(err)
	}
	return uint64(doc.Revision), nil
}

// settle opens the source for its callers again, and the destination for the
// copies of those buckets that have not flipped.
func (r *run) settle(ctx context.Context, e *takeover.RunBatch) error {
	if err := r.order(ctx, Order{Operation: OperationSettle, Revision: config.Revision(e.Revision)}); err != nil {
		return err
	}
	flipped := make(map[int]bool, len(e.Flipped))
	for _, b := range e.Flipped {
		flipped[b] = true
	}
	var list []Statement
	for _, b := range e.Buckets {
		if !flipped[b] {
			list = append(list, statement(reopenSQL, text(r.dir.kind), number(b), number(r.closing)))
		}
	}
	if len(list) == 0 {
		return nil
	}
	return r.Databases.Apply(ctx, r.dir.destination, list)
}
