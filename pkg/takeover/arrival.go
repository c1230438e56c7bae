package takeover

import (
	"bytes"
	"context"
	"strconv"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/target"
)

// arrival is the position of the group's log behind the copies of the buckets
// that have moved to the group.
//
// It prevents that a read of a moved record goes to a replica that has not
// applied its copy: the record is missing there, or is as it was when it was
// copied first. A session that wrote the record on the other side has no
// position in this group, and a stated age does not help, as the group of that
// time holds no such record. It holds because the position is taken after this
// home has the flip in force, and a flip comes after its copies.
type arrival struct {
	// known: the position covers the buckets in flipped. back: they came by a
	// rollback, which leaves no bit behind.
	known, back bool
	flipped     []byte
	position    core.Position
}

// covers reports whether the position was taken with the same buckets moved.
func (a *arrival) covers(t *config.Takeover, back bool) bool {
	return a.known && a.back == back && bytes.Equal(a.flipped, t.Flipped)
}

// arrived reports whether the record may have come to the group by the kind's
// take-over, and in which direction. The group must be the record's owner.
func arrived(t *config.Takeover, group core.GroupID, key string) (moved, back bool) {
	switch {
	case t == nil:
		return false, false
	case group == t.DestinationGroup:
		return t.State == config.TakeoverComplete || config.HasBit(t.Flipped, config.Bucket(key, t.Buckets)), false
	default:
		// A bucket that has gone back cannot be told from one that never moved.
		return t.State == config.TakeoverRollback || t.State == config.TakeoverRolledBack, true
	}
}

// needsArrival reports whether the position for the statement is to be learned
// first. Needs mu.
func (g *Gate) needsArrival(r *Request) bool {
	if r.Write {
		return false
	}
	t := g.current().Takeovers[r.Kind]
	moved, back := arrived(t, g.group, r.Key)
	return moved && !g.kind(r.Kind).arrival.covers(t, back)
}

// learnArrival asks the group's primary for its position.
func (g *Gate) learnArrival(ctx context.Context, r *Request) error {
	g.arriving.Lock()
	defer g.arriving.Unlock()
	g.mu.Lock()
	needed, leadership, t := g.needsArrival(r), g.leadership, g.current().Takeovers[r.Kind]
	g.mu.Unlock()
	if !needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxHeld)
	defer cancel()
	rows, err := g.databases.Query(ctx, g.group, statement(target.PositionSQL))
	if err == nil && (len(rows) != 1 || len(rows[0]) < 2) {
		err = &ColumnsError{Statement: target.PositionSQL, Want: 2}
	}
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, core.OutcomeNotRun, stepGate, "",
			"the position behind the moved records of kind %q is not known", r.Kind).WithRetryAfter(retryAfter)
	}
	_, back := arrived(t, g.group, r.Key)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leadership == leadership {
		g.kind(r.Kind).arrival = arrival{known: true, back: back, flipped: t.Flipped, position: positionOf(rows[0])}
	}
	return nil
}

// positionOf reads the columns of target.PositionSQL.
func positionOf(row Row) core.Position {
	term, _ := strconv.ParseUint(row[0].Text, 10, 64)
	lsn, _ := strconv.ParseUint(row[1].Text, 10, 64)
	return core.Position{Term: core.Term(term), LSN: core.LSN(lsn)}
}
