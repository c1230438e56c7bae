package takeover

import (
	"limpetspan/core"
	"limpetspan/core/config"
)

// direction is a take-over as it is worked now: forward, or back in a rollback.
type direction struct {
	kind                              string
	buckets                           int
	source, destination               core.GroupID
	read, changed, upsert, clear      string
	sourceVerify, destinationVerify   string
	back                              bool
	sourceStatement, changedStatement string
}

func newDirection(kind string, t *config.Takeover) direction {
	if t.State != config.TakeoverRollback {
		return direction{
			kind: kind, buckets: t.Buckets, source: t.SourceGroup, destination: t.DestinationGroup,
			read: t.ReadSQL, changed: t.ChangedSQL, upsert: t.UpsertSQL, clear: t.ClearSQL,
			sourceVerify: t.SourceVerifySQL, destinationVerify: t.DestinationVerifySQL,
			sourceStatement: "read_sql", changedStatement: "changed_sql",
		}
	}
	d := direction{
		kind: kind, buckets: t.Buckets, source: t.DestinationGroup, destination: t.SourceGroup, back: true,
		sourceVerify: t.DestinationVerifySQL, destinationVerify: t.SourceVerifySQL,
		sourceStatement: "reverse.read_sql", changedStatement: "reverse.changed_sql",
	}
	if r := t.Reverse; r != nil {
		d.read, d.changed, d.upsert, d.clear = r.ReadSQL, r.ChangedSQL, r.UpsertSQL, r.ClearSQL
	}
	return d
}

// canMove reports whether the statements to move a bucket are declared.
func (d *direction) canMove() bool { return d.read != "" && d.changed != "" && d.upsert != "" }

// remaining are the buckets that the direction's destination does not own yet.
func (d *direction) remaining(t *config.Takeover) []int {
	var list []int
	for b := range t.Buckets {
		if config.HasBit(t.Flipped, b) == d.back {
			list = append(list, b)
		}
	}
	return list
}

// ended reports whether the take-over's state asks for no more work in this direction.
func (d *direction) ended(t *config.Takeover) bool {
	want := config.TakeoverRunning
	if d.back {
		want = config.TakeoverRollback
	}
	return t == nil || t.State != want
}
