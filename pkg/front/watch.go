package front

import (
	"context"
	"sync"
	"time"
)

// watchInterval is the length of a tick of the server: how often exchanges
// older than a tick are looked at.
const watchInterval = 100 * time.Millisecond

// busyShards spreads the callers in an exchange over several locks.
const busyShards = 16

// busySet holds the callers in an exchange.
type busySet struct {
	shards [busyShards]struct {
		mu   sync.Mutex
		list []*caller
		_    [32]byte
	}
}

func (s *busySet) add(c *caller, tick int64) {
	shard := &s.shards[c.id.Number%busyShards]
	shard.mu.Lock()
	c.busyIndex, c.busySince = len(shard.list), tick
	shard.list = append(shard.list, c)
	shard.mu.Unlock()
}

func (s *busySet) remove(c *caller) {
	shard := &s.shards[c.id.Number%busyShards]
	shard.mu.Lock()
	last := len(shard.list) - 1
	moved := shard.list[last]
	shard.list[c.busyIndex] = moved
	moved.busyIndex = c.busyIndex
	shard.list[last] = nil
	shard.list = shard.list[:last]
	shard.mu.Unlock()
}

// olderThan appends the callers whose exchange began before the tick.
func (s *busySet) olderThan(tick int64, to []*caller) []*caller {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for _, c := range shard.list {
			if c.busySince < tick {
				to = append(to, c)
			}
		}
		shard.mu.Unlock()
	}
	return to
}

// watch looks after long exchanges until ctx ends: it tells the handler of
// callers that are gone, and closes those that take no bytes, since a stuck
// answer holds a connection to a target.
func (s *Server) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	stuckAfter := int64(s.options.WriteTimeout / watchInterval)
	var old []*caller
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		tick := s.tick.Add(1)
		old = s.busy.olderThan(tick, old[:0])
		for _, c := range old {
			s.look(c, tick, stuckAfter)
		}
		clear(old)
	}
}

func (s *Server) look(c *caller, tick, stuckAfter int64) {
	if since := c.writingSince.Load(); since != 0 && tick-since > stuckAfter {
		s.options.Logger.Warn("caller does not read its answer", "caller", c.id.Number, "address", c.address)
		c.socket.Close()
		return
	}
	if !c.gone.Load() && hungUp(c.socket) {
		// Stored here already, so that the next tick does not tell it again.
		c.gone.Store(true)
		go c.hangUp()
	}
}
