package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/operator"
	"limpetspan/pkg/peer/peerpb"
	"limpetspan/pkg/takeover"
)

const stepTakeover = "daemon.takeover"

// openTakeovers makes the gates and the worker.
func (d *Daemon) openTakeovers() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.onClose(cancel)
	d.databases = &databases{entry: d.entry, self: d.id}
	d.gates = newGates(ctx, d.id, d.databases, d.follower.Current)
	d.worker = takeover.NewWorker(takeover.Options{
		Self: d.id, Store: d.store, Prefix: d.settings.Store.Prefix,
		Configuration: &takeover.Editing{
			Editor: confstore.NewEditor(d.store, d.settings.Store.Prefix),
			Author: "limpetspand " + string(d.id), InForce: d.follower.Current, Adopt: d.follower.Adopt,
		},
		Databases: d.databases, Homes: orders{d}, Callers: callerLatency{d}, Eligible: d.mayWork,
		Leaving: d.leaving.Load, Killed: d.killed,
		Logger: d.log.Named("takeover"),
	})
	return nil
}

// mayWork reports whether this daemon is one of the few that work the kind's
// take-over: a candidate for the home of its source.
func (d *Daemon) mayWork(kind string) bool {
	t := d.follower.Current().Takeovers[kind]
	if t == nil || d.leaving.Load() || !d.converged.Load() {
		return false
	}
	for _, c := range d.gossip.Candidates(t.SourceGroup) {
		if c.ID == d.id {
			return true
		}
	}
	return false
}

// callerLatency implements takeover.Callers by this daemon's own callers.
type callerLatency struct{ d *Daemon }

// Latency implements takeover.Callers.
func (c callerLatency) Latency(source, destination core.GroupID) time.Duration {
	return c.d.entry.Latency(source, destination)
}

// orders implements takeover.Homes.
type orders struct{ d *Daemon }

// Order implements takeover.Homes.
func (o orders) Order(ctx context.Context, order takeover.Order) error {
	home, ok := o.d.gossip.Home(order.Group)
	if !ok || home.Released {
		return errs.New(errs.Unavailable, core.OutcomeNotRun, stepTakeover, "", "group %s has no home now", order.Group)
	}
	if home.Daemon == o.d.id {
		return o.d.order(ctx, order)
	}
	call := &peerpb.TakeoverCall{
		Group: string(order.Group), Operation: string(order.Operation), Kind: order.Kind, Fence: order.Fence,
		Revision: uint64(order.Revision), LimitNs: int64(order.Limit), Claim: order.Claim,
	}
	for _, b := range order.Buckets {
		call.Buckets = append(call.Buckets, int32(b))
	}
	_, err := o.d.peers.call(ctx, home.Daemon, &peerpb.Call{Call: &peerpb.Call_Takeover{Takeover: call}})
	return err
}

// order carries out an order at this daemon.
func (d *Daemon) order(ctx context.Context, order takeover.Order) error {
	gate := d.gates.find(order.Group)
	if gate == nil {
		return errs.New(errs.NotHome, core.OutcomeNotRun, stepTakeover, string(d.id), "this daemon does not serve group %s", order.Group)
	}
	return gate.Order(ctx, order)
}

// orderFromPeer carries out another daemon's order.
func (d *Daemon) orderFromPeer(ctx context.Context, c *peerpb.TakeoverCall) error {
	order := takeover.Order{
		Operation: takeover.Operation(c.GetOperation()), Group: core.GroupID(c.GetGroup()), Kind: c.GetKind(),
		Fence: c.GetFence(), Claim: c.GetClaim(), Revision: config.Revision(c.GetRevision()), Limit: time.Duration(c.GetLimitNs()),
	}
	for _, b := range c.GetBuckets() {
		order.Buckets = append(order.Buckets, int(b))
	}
	d.hear(takeover.WorkerOf(order.Claim), order.Revision)
	return d.order(ctx, order)
}

// Verify implements operator.Daemon: it compares count and checksum of each
// bucket on both sides.
func (d *Daemon) Verify(ctx context.Context, kind string) (*operator.Verification, error) {
	t := d.follower.Current().Takeovers[kind]
	if t == nil {
		return nil, fmt.Errorf("no take-over of kind %q is declared", kind)
	}
	v := &operator.Verification{Kind: kind, Buckets: t.Buckets}
	for bucket := range t.Buckets {
		args := []takeover.Value{{Text: fmt.Sprint(bucket)}}
		source, err := d.databases.Query(ctx, t.SourceGroup, takeover.Statement{SQL: t.SourceVerifySQL, Args: args})
		if err != nil {
			return nil, fmt.Errorf("bucket %d at the source: %w", bucket, err)
		}
		destination, err := d.databases.Query(ctx, t.DestinationGroup, takeover.Statement{SQL: t.DestinationVerifySQL, Args: args})
		if err != nil {
			return nil, fmt.Errorf("bucket %d at the destination: %w", bucket, err)
		}
		if slices.EqualFunc(source, destination, func(a, b takeover.Row) bool { return slices.Equal(a, b) }) {
			v.Equal++
		} else {
			v.Different = append(v.Different, bucket)
		}
	}
	return v, nil
}

// takeoverWork lists the take-overs worked here.
func (d *Daemon) takeoverWork() []operator.TakeoverWork {
	var list []operator.TakeoverWork
	for _, s := range d.worker.Status() {
		list = append(list, operator.TakeoverWork{
			Kind: s.Kind, Elapsed: time.Since(s.Since), Progress: s.Progress,
			LastError: s.LastError, LastStep: s.LastStep, LastAt: s.LastAt,
		})
	}
	return list
}
