package config

import (
	"math/bits"
	"slices"
)

// Limits on take-overs.
const (
	MaxBuckets = 16_384
	// MaxSQLLength bounds each statement, in bytes.
	MaxSQLLength = 16 << 10
)

// activeStates are the states in which the take-over moves or may move buckets.
var activeStates = []TakeoverState{TakeoverRunning, TakeoverPaused, TakeoverRollback}

// Active reports whether the take-over still needs both sides.
func (t *Takeover) Active() bool { return slices.Contains(activeStates, t.State) }

func checkTakeover(r *problemReport, doc *Document, name string, t *Takeover) {
	path := "takeovers." + name
	kind := doc.Kinds[name]
	switch {
	case t == nil:
		r.add(path, RuleRequired, "the take-over is empty")
		return
	case kind == nil:
		r.add(path, RuleReference, "kind %q does not exist", name)
		return
	}
	checkRange(r, path+".buckets", t.Buckets, 1, MaxBuckets)
	checkBits(r, path+".flipped", t.Flipped, t.Buckets)
	checkBits(r, path+".fenced", t.Fenced, t.Buckets)
	checkName(r, path+".source_version", t.SourceVersion)
	checkName(r, path+".destination_version", t.DestinationVersion)
	if t.SourceGroup == t.DestinationGroup {
		r.add(path+".destination_group", RuleDuplicate, "is the same as the source group")
	}
	checkSQL(r, path, t)
	checkTakeoverState(r, doc, path, t, kind)
}

func checkTakeoverState(r *problemReport, doc *Document, path string, t *Takeover, kind *Kind) {
	switch t.State {
	case TakeoverPlanned, TakeoverRunning, TakeoverPaused, TakeoverRollback:
		checkGroupExists(r, doc, path+".source_group", t.SourceGroup)
		checkGroupExists(r, doc, path+".destination_group", t.DestinationGroup)
		if kind.Group != t.SourceGroup {
			r.add(path+".source_group", RuleState, "the kind is in group %q", kind.Group)
		}
	case TakeoverComplete:
		// Routing considers only the kind from now on. A kind left in the source
		// group would send all callers to records that are no longer updated.
		if kind.Group != t.DestinationGroup {
			r.add(path+".destination_group", RuleState, "the kind is in group %q", kind.Group)
		}
	case TakeoverRolledBack:
	default:
		r.add(path+".state", RuleFormat, "%q is not a state of a take-over", t.State)
	}
	if t.Active() {
		checkInService(r, path+".source_version", kind, t.SourceVersion)
		checkInService(r, path+".destination_version", kind, t.DestinationVersion)
	}
	flipped := countBits(t.Flipped)
	switch {
	case t.State == TakeoverPlanned && flipped > 0, t.State == TakeoverRolledBack && flipped > 0:
		r.add(path+".flipped", RuleState, "%d buckets are flipped in state %q", flipped, t.State)
	case t.State == TakeoverComplete && flipped != t.Buckets:
		r.add(path+".flipped", RuleState, "%d of %d buckets are flipped in state %q", flipped, t.Buckets, t.State)
	}
	if countBits(t.Fenced) > 0 && !t.Active() {
		r.add(path+".fenced", RuleState, "buckets are fenced in state %q", t.State)
	}
}

// checkInService requires a version to stay declared while an active take-over
// needs it. Otherwise no caller could reach the records not yet moved.
func checkInService(r *problemReport, path string, kind *Kind, version string) {
	if !slices.Contains(kind.Versions, version) {
		r.add(path, RuleInUse, "version %q is needed by the take-over and is not in service", version)
	}
}

// sqlText is one SQL statement of a take-over.
type sqlText struct {
	name, text string
	optional   bool
}

func checkSQL(r *problemReport, path string, t *Takeover) {
	statements := []sqlText{
		{name: "read_sql", text: t.ReadSQL},
		{name: "changed_sql", text: t.ChangedSQL},
		{name: "upsert_sql", text: t.UpsertSQL},
		{name: "source_verify_sql", text: t.SourceVerifySQL},
		{name: "destination_verify_sql", text: t.DestinationVerifySQL},
		{name: "clear_sql", text: t.ClearSQL, optional: true},
	}
	if t.Reverse != nil {
		statements = append(statements,
			sqlText{name: "reverse.read_sql", text: t.Reverse.ReadSQL},
			sqlText{name: "reverse.changed_sql", text: t.Reverse.ChangedSQL},
			sqlText{name: "reverse.upsert_sql", text: t.Reverse.UpsertSQL},
			sqlText{name: "reverse.clear_sql", text: t.Reverse.ClearSQL, optional: true})
	}
	for _, s := range statements {
		switch {
		case s.text == "" && !s.optional:
			r.add(path+"."+s.name, RuleRequired, "the statement is empty")
		case len(s.text) > MaxSQLLength:
			r.add(path+"."+s.name, RuleRange, "%d bytes, at most %d", len(s.text), MaxSQLLength)
		}
	}
}

// checkBits rejects a set that contains buckets which do not exist.
func checkBits(r *problemReport, path string, set []byte, buckets int) {
	for i, b := range set {
		if b != 0 && i*8+bits.Len8(b) > buckets {
			r.add(path, RuleRange, "contains bucket %d of %d", i*8+bits.Len8(b)-1, buckets)
			return
		}
	}
}
