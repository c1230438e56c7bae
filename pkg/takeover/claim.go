package takeover

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/store"
)

// claimTTL is the lease of a claim: after it, another daemon carries on.
const claimTTL = 10 * time.Second

// claim is the lease key by which one daemon works a take-over. It only keeps
// daemons from working against each other; what makes a late worker harmless
// is the claim's name in the configuration.
type claim struct {
	store store.Store
	key   string
	name  string
	lease store.LeaseID
	// renewed is when the call that renewed the lease last was sent.
	renewed atomic.Pointer[time.Time]
}

// claimName returns a new name of a claim of the daemon.
func claimName(self core.DaemonID) string { return string(self) + "-" + rand.Text() }

// WorkerOf returns the daemon that made the claim.
func WorkerOf(claim string) core.DaemonID {
	end := max(strings.LastIndexByte(claim, '-'), 0)
	return core.DaemonID(claim[:end])
}

// tryClaim takes the key; nil when another daemon has it.
func tryClaim(ctx context.Context, s store.Store, key, name string) (*claim, error) {
	held, err := s.Get(ctx, key)
	if err != nil || held != nil {
		return nil, err
	}
	c := &claim{store: s, key: key, name: name}
	sent := time.Now()
	if c.lease, err = s.Grant(ctx, claimTTL); err != nil {
		return nil, err
	}
	c.renewed.Store(&sent)
	result, err := s.CompareAndSwap(ctx, store.Swap{Key: key, Value: []byte(name), Lease: c.lease})
	if errors.Is(err, store.ErrUnknown) {
		// The key's value tells whether the swap took effect.
		held, err = s.Get(ctx, key)
		result.Swapped = held != nil && string(held.Value) == name
	}
	if err != nil || !result.Swapped {
		c.release(ctx)
		return nil, err
	}
	return c, nil
}

// release gives the key up, so that another daemon need not wait for the lease.
func (c *claim) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// A lost answer costs the next worker the lease's time, nothing else.
	_ = c.store.Revoke(ctx, c.lease)
}

// keep renews the lease until it is lost or ctx ends.
func (c *claim) keep(ctx context.Context) {
	tick := time.NewTicker(claimTTL / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		sent := time.Now()
		_, err := c.store.KeepAlive(ctx, c.lease)
		switch {
		case err == nil:
			c.renewed.Store(&sent)
		case errors.Is(err, store.ErrLeaseGone), c.age() > claimTTL:
			return
		}
	}
}

// age is how long ago the lease was surely in force.
func (c *claim) age() time.Duration { return time.Since(*c.renewed.Load()) }

// fresh reports whether the store answered lately. Buckets are not held while it
// does not: their flip could not go through.
func (c *claim) fresh() bool { return c.age() < claimTTL/2 }
