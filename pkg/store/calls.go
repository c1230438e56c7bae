package store

import (
	"context"
	"fmt"
	"time"
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (*KeyValue, error) {
	var resp rangeResponse
	if err := c.do(ctx, callRange, &rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return nil, err
	}
	if len(resp.Kvs) == 0 {
		return nil, nil
	}
	kv := resp.Kvs[0].toKeyValue()
	return &kv, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, Revision, error) {
	var resp rangeResponse
	req := &rangeRequest{Key: prefixStart(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.do(ctx, callRange, req, &resp); err != nil {
		return nil, 0, err
	}
	list := make([]KeyValue, 0, len(resp.Kvs))
	for i := range resp.Kvs {
		list = append(list, resp.Kvs[i].toKeyValue())
	}
	return list, Revision(resp.Header.Revision), nil
}

// CompareAndSwap implements Store. Of several swaps, Current is the first key
// that did not have its expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, swaps ...Swap) (SwapResult, error) {
	req := &txnRequest{}
	for _, s := range swaps {
		req.add(s)
	}
	var resp txnResponse
	if err := c.do(ctx, callTxn, req, &resp); err != nil {
		return SwapResult{}, err
	}
	result := SwapResult{Swapped: resp.Succeeded, Revision: Revision(resp.Header.Revision)}
	if !result.Swapped {
		result.Current = resp.mismatch(swaps)
	}
	return result, nil
}

func (r *txnRequest) add(s Swap) {
	key := []byte(s.Key)
	r.Compare = append(r.Compare, compare{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: int64Text(s.Expect)})
	change := operation{Put: &putRequest{Key: key, Value: s.Value, Lease: int64Text(s.Lease)}}
	if s.Delete {
		change = operation{Delete: &rangeRequest{Key: key}}
	}
	r.Success = append(r.Success, change)
	r.Failure = append(r.Failure, operation{Range: &rangeRequest{Key: key}})
}

func (r *txnResponse) mismatch(swaps []Swap) *KeyValue {
	for i, s := range swaps {
		if i >= len(r.Responses) || r.Responses[i].Range == nil {
			return nil
		}
		kvs := r.Responses[i].Range.Kvs
		if len(kvs) == 0 {
			if s.Expect != 0 {
				return nil
			}
			continue
		}
		if kv := kvs[0].toKeyValue(); kv.ModRevision != s.Expect {
			return &kv
		}
	}
	return nil
}

// Grant implements Store. The service counts in whole seconds; ttl is rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var resp leaseResponse
	seconds := (ttl + time.Second - 1) / time.Second
	if err := c.do(ctx, callGrant, &leaseRequest{TTL: int64Text(seconds)}, &resp); err != nil {
		return 0, err
	}
	return LeaseID(resp.ID), nil
}

// KeepAlive implements Store. The time the call took is taken off, as the
// service may have renewed the lease at its beginning.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	start := time.Now()
	var resp keepAliveResponse
	if err := c.do(ctx, callKeepAlive, &leaseRequest{ID: int64Text(id)}, &resp); err != nil {
		return 0, err
	}
	if resp.Result.TTL <= 0 {
		return 0, fmt.Errorf("%w: lease %d", ErrLeaseGone, id)
	}
	return time.Duration(resp.Result.TTL)*time.Second - time.Since(start), nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.do(ctx, callRevoke, &leaseRequest{ID: int64Text(id)}, &struct{}{})
}
