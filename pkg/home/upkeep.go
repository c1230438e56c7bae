package home

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/pkg/target"
)

const (
	// upkeepInterval paces the removal of old must-not-repeat keys.
	upkeepInterval = 10 * time.Minute
	// upkeepBatch bounds the keys removed by one statement, upkeepBatches the
	// statements of one round.
	upkeepBatch   = 500
	upkeepBatches = 20
	// upkeepPause lies between two batches, so that callers go first.
	upkeepPause   = 50 * time.Millisecond
	upkeepTimeout = 5 * time.Second
)

// startUpkeep lets the home remove must-not-repeat keys after their retention;
// s.mu is held.
func (s *Shard) startUpkeep() {
	now := s.manager.options.Now()
	home := s.lastBeat.Term != 0 && !s.lastBeat.Released
	if !home || s.upkeep || now < s.upkeepAt {
		return
	}
	s.upkeep, s.upkeepAt = true, now.Add(upkeepInterval)
	control, member := s.control(s.lastBeat.Primary), s.lastBeat.Primary
	go func() {
		if control != nil {
			if err := s.removeOldKeys(control); err != nil {
				s.logger.Debug("old must-not-repeat keys not removed", "member", string(member), "error", err)
			}
		}
		s.mu.Lock()
		s.upkeep = false
		s.mu.Unlock()
	}()
}

// removeOldKeys removes keys in small batches: one large statement would hold
// the member's slot, and its locks, against callers.
func (s *Shard) removeOldKeys(control *target.Control) error {
	cutoff := time.Now().Add(-s.manager.options.OnceRetention).UnixMilli()
	sql := fmt.Sprintf(removeOnceSQL, cutoff, upkeepBatch)
	for range upkeepBatches {
		removed, err := s.removeBatch(control, sql)
		if err != nil {
			return err
		}
		s.metrics.onceRemoved.Add(removed)
		if removed < upkeepBatch {
			return nil
		}
		select {
		case <-time.After(upkeepPause):
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return nil
}

func (s *Shard) removeBatch(control *target.Control, sql string) (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, upkeepTimeout)
	defer cancel()
	tag, err := control.Exec(ctx, sql)
	if pg, ok := errors.AsType[*pgconn.PgError](err); ok && pg.Code == target.CodeUndefinedTable {
		// No must-not-repeat key has been used in this group yet.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return pgconn.NewCommandTag(strings.TrimSpace(tag)).RowsAffected(), nil
}
