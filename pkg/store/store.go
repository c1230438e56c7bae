// Package store is the client of the platform's key-value service: reads,
// compare-and-swap, leases and watches, as the etcd v3 JSON gateway publishes
// them. The service counts every call, has outages, and may lose the answer of
// a change that took effect.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is the store's modification revision. Zero means "does not exist".
type Revision int64

// LeaseID identifies a lease. Zero means "no lease".
type LeaseID int64

// KeyValue is one stored key.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the key's last change.
	ModRevision Revision
	Lease       LeaseID
}

// Event is one change seen by a watch.
type Event struct {
	KeyValue
	// Deleted is set when the key was removed or its lease expired.
	Deleted bool
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key string
	// Expect is the ModRevision the key must have; zero: it must not exist.
	Expect Revision
	// Value is the new value; Delete removes the key instead.
	Value  []byte
	Delete bool
	Lease  LeaseID
}

// SwapResult is the outcome of a compare-and-swap that the store answered.
type SwapResult struct {
	Swapped bool
	// Revision is the store revision after the swap.
	Revision Revision
	// Current is the present key when Swapped is false; nil if absent.
	Current *KeyValue
}

// Errors of a store call. A call that fails with ErrUnknown may have taken
// effect; one that fails with ErrRefused did not.
var (
	ErrUnknown   = errors.New("store: the answer was lost, the change may have taken effect")
	ErrRefused   = errors.New("store: refused before taking effect")
	ErrLeaseGone = errors.New("store: lease not found or expired")
	ErrCompacted = errors.New("store: watch start was compacted")
)

// Store is the part of the platform's service that limpetspan uses. The
// consumers take this interface; Client speaks HTTP, Fake keeps it in memory.
type Store interface {
	// Get returns the key, or nil when it does not exist.
	Get(ctx context.Context, key string) (*KeyValue, error)
	// List returns all keys with the prefix in key order, and the store
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// CompareAndSwap applies all swaps or none.
	CompareAndSwap(ctx context.Context, swaps ...Swap) (SwapResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers changes of keys with the prefix after the revision
	// until ctx ends or the connection breaks; then it closes the channel.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
}
