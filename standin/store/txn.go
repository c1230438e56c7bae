package store

import (
	"bytes"
	"cmp"
)

// Range asks for the keys of a range.
type Range struct {
	KeyRange
	// Limit bounds the number of keys; zero: no bound.
	Limit int64
	// Revision reads an older state; zero: the present one.
	Revision  int64
	KeysOnly  bool
	CountOnly bool
}

// RangeResult is the answer to Range.
type RangeResult struct {
	Keys  []KeyValue
	Count int64
	More  bool
}

// Put stores one key. A lease of zero detaches the key from its lease.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Op is one operation of a transaction: exactly one field is set.
type Op struct {
	Range  *Range
	Put    *Put
	Delete *KeyRange
}

// Target is what a Compare looks at.
type Target string

// The targets of a Compare.
const (
	TargetVersion Target = "VERSION"
	TargetCreate  Target = "CREATE"
	TargetMod     Target = "MOD"
	TargetValue   Target = "VALUE"
	TargetLease   Target = "LEASE"
)

// Relation is how a Compare relates the key to the given value.
type Relation string

// The relations of a Compare.
const (
	RelationEqual    Relation = "EQUAL"
	RelationNotEqual Relation = "NOT_EQUAL"
	RelationGreater  Relation = "GREATER"
	RelationLess     Relation = "LESS"
)

// Compare is one condition of a transaction. A key that does not exist counts
// as zero in each number.
type Compare struct {
	Key      string
	Target   Target
	Relation Relation
	// Number is compared for all targets but TargetValue.
	Number int64
	Value  []byte
}

// Txn applies Success if all of Compare hold, else Failure, at one revision.
type Txn struct {
	Compare []Compare
	Success []Op
	Failure []Op
}

// OpResult is the answer to one Op.
type OpResult struct {
	Range   RangeResult
	Deleted int64
}

// TxnResult is the answer to a Txn.
type TxnResult struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	Results  []OpResult
}

// Txn runs a transaction.
func (e *Engine) Txn(t Txn) (TxnResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	result := TxnResult{Succeeded: e.holds(t.Compare)}
	ops := t.Failure
	if result.Succeeded {
		ops = t.Success
	}
	// Both branches are checked, so that an error does not depend on the outcome.
	for _, branch := range [][]Op{t.Success, t.Failure} {
		if err := e.check(branch); err != nil {
			return TxnResult{}, err
		}
	}
	var events []Event
	for _, op := range ops {
		r, changes, err := e.run(op)
		if err != nil {
			return TxnResult{}, err
		}
		events = append(events, changes...)
		result.Results = append(result.Results, r)
	}
	e.commit(events)
	result.Revision = e.state.revision
	return result, nil
}

// Range reads keys.
func (e *Engine) Range(r Range) (RangeResult, int64, error) {
	t, err := e.Txn(Txn{Success: []Op{{Range: &r}}})
	if err != nil {
		return RangeResult{}, 0, err
	}
	return t.Results[0].Range, t.Revision, nil
}

// Put stores one key and returns the new revision.
func (e *Engine) Put(p Put) (int64, error) {
	t, err := e.Txn(Txn{Success: []Op{{Put: &p}}})
	return t.Revision, err
}

// Delete removes the keys of a range.
func (e *Engine) Delete(r KeyRange) (deleted, revision int64, err error) {
	t, err := e.Txn(Txn{Success: []Op{{Delete: &r}}})
	if err != nil {
		return 0, 0, err
	}
	return t.Results[0].Deleted, t.Revision, nil
}

func (e *Engine) check(ops []Op) error {
	if len(ops) > MaxTxnOps {
		return ErrTooManyOps
	}
	touched := make(map[string]bool)
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		switch {
		case op.Put.Key == "":
			return ErrEmptyKey
		case len(op.Put.Value) > MaxValue:
			return ErrTooLarge
		case op.Put.Lease != 0 && e.leases[op.Put.Lease] == nil:
			return ErrLeaseNotFound
		case touched[op.Put.Key]:
			return ErrDuplicateKey
		}
		touched[op.Put.Key] = true
	}
	for _, op := range ops {
		if op.Delete != nil && touches(touched, *op.Delete) {
			return ErrDuplicateKey
		}
	}
	return nil
}

func touches(keys map[string]bool, r KeyRange) bool {
	for k := range keys {
		if r.contains(k) {
			return true
		}
	}
	return false
}

// run carries out one operation on the state before the transaction and
// returns the changes it makes; no two operations touch the same key.
func (e *Engine) run(op Op) (OpResult, []Event, error) {
	next := e.state.revision + 1
	switch {
	case op.Put != nil:
		return OpResult{}, []Event{e.put(*op.Put, next)}, nil
	case op.Delete != nil:
		events := e.remove(e.state.span(*op.Delete), next)
		return OpResult{Deleted: int64(len(events))}, events, nil
	case op.Range != nil:
		r, err := e.read(*op.Range)
		return OpResult{Range: r}, nil, err
	}
	return OpResult{}, nil, nil
}

func (e *Engine) put(p Put, revision int64) Event {
	old := e.state.values[p.Key]
	kv := KeyValue{Key: p.Key, Value: bytes.Clone(p.Value), CreateRevision: old.CreateRevision,
		ModRevision: revision, Version: old.Version + 1, Lease: p.Lease}
	if old.Version == 0 {
		kv.CreateRevision = revision
	}
	e.attach(p.Key, old.Lease, p.Lease)
	return Event{KeyValue: kv}
}

func (e *Engine) remove(keys []string, revision int64) []Event {
	events := make([]Event, 0, len(keys))
	for _, k := range keys {
		e.attach(k, e.state.values[k].Lease, 0)
		events = append(events, Event{KeyValue: KeyValue{Key: k, ModRevision: revision}, Deleted: true})
	}
	return events
}

func (e *Engine) read(r Range) (RangeResult, error) {
	s := e.state
	if r.Revision != 0 && r.Revision != s.revision {
		var err error
		if s, _, err = e.at(r.Revision); err != nil {
			return RangeResult{}, err
		}
	}
	keys := s.span(r.KeyRange)
	result := RangeResult{Count: int64(len(keys))}
	if r.CountOnly {
		return result, nil
	}
	if r.Limit > 0 && int64(len(keys)) > r.Limit {
		keys, result.More = keys[:r.Limit], true
	}
	for _, k := range keys {
		kv := s.values[k]
		if r.KeysOnly {
			kv.Value = nil
		}
		result.Keys = append(result.Keys, kv)
	}
	return result, nil
}

func (e *Engine) holds(compares []Compare) bool {
	for _, c := range compares {
		if !c.holds(e.state.values[c.Key]) {
			return false
		}
	}
	return true
}

func (c Compare) holds(kv KeyValue) bool {
	var order int
	switch c.Target {
	case TargetValue:
		if kv.Version == 0 {
			return false
		}
		order = bytes.Compare(kv.Value, c.Value)
	case TargetCreate:
		order = cmp.Compare(kv.CreateRevision, c.Number)
	case TargetMod:
		order = cmp.Compare(kv.ModRevision, c.Number)
	case TargetLease:
		order = cmp.Compare(kv.Lease, c.Number)
	default:
		order = cmp.Compare(kv.Version, c.Number)
	}
	switch c.Relation {
	case RelationNotEqual:
		return order != 0
	case RelationGreater:
		return order > 0
	case RelationLess:
		return order < 0
	}
	return order == 0
}
