package explore

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Violation is a promise found broken.
type Violation struct {
	Promise string        `json:"promise"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

func (w *world) violate(promise, format string, args ...any) {
	w.violations = append(w.violations, Violation{promise, time.Duration(w.now), fmt.Sprintf(format, args...)})
}

// acknowledged checks an answer at the moment the daemon releases it.
func (w *world) acknowledged(d *daemon, op *operation) {
	term := op.term
	// A read that began before the replacement may end after it: nothing that
	// its caller knows of was acknowledged in between.
	final := op.kind == opWrite || op.kind == opCommit || op.kind == opRegister
	if final && term < w.highestServed {
		w.violate("replaced", "%s acknowledged a %s in term %d after term %d had served", d.id, op.kind, term, w.highestServed)
	}
	w.highestServed = max(w.highestServed, term)
	c := op.caller
	switch op.kind {
	case opRead:
		for _, id := range c.owed {
			if !contains(op.saw, id) {
				w.violate("read-your-writes", "%s read through %s without its write %d (term %d)", c.name, d.id, id, term)
			}
		}
	case opWrite:
		w.checkRan(op)
		w.durable[op.id] = op.durable
		c.owed = append(c.owed, op.id)
	case opBegin:
		c.inTransaction, c.home, c.transaction = true, d, nil
	case opTransactionWrite:
		c.transaction = append(c.transaction, op.id)
	case opCommit:
		for _, id := range c.transaction {
			w.durable[id] = op.durable
		}
		c.owed = append(c.owed, c.transaction...)
		c.endTransaction()
	}
}

// checkRan holds an acknowledged write against the members' runs of it. One that
// ran on two members, the second after a promotion, shows here first.
func (w *world) checkRan(op *operation) {
	switch runs := w.runs[op.id]; {
	case runs == 0:
		w.violate("acknowledged", "write %d was acknowledged and did not run", op.id)
	case runs > 1:
		w.violate("doubled", "write %d was acknowledged after %d runs", op.id, runs)
	}
}

// checkNotRun holds a "not run" against what the members did.
func (w *world) checkNotRun(d *daemon, op *operation) {
	if op.kind == opWrite && w.runs[op.id] > 0 {
		w.violate("not run", "%s said that write %d of %s did not run, but it did", d.id, op.id, op.caller.name)
	}
}

// settled keeps an ended operation for the check of linearizability.
func (w *world) settled(op *operation) {
	w.operations = append(w.operations, op)
	w.counts[op.kind.String()]++
	if op.acknowledged {
		w.counts[op.kind.String()+" acknowledged"]++
	}
}

// checkEnd holds the settled logs against the acknowledgments.
func (w *world) checkEnd() {
	primary := w.primary()
	if primary == nil {
		w.violate("recovery", "no primary at the end of the run")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.durable)) {
		if w.durable[id] && !primary.has(id) {
			w.violate("lost", "durable write %d was acknowledged and is not in the log of %s", id, primary.id)
		}
	}
	w.checkLinearizable()
}

// registerOperation is a durable write or a read of the last write by the primary.
type registerOperation struct {
	write bool
	id    int
}

// checkLinearizable holds the durable single writes and primary reads against
// a register: a read returns the set of writes before it. Only the presence of
// each write is modelled, one key for each, so that porcupine can split them.
func (w *world) checkLinearizable() {
	model := porcupine.Model{
		Init: func() any { return false },
		Step: func(state, input, output any) (bool, any) {
			if input.(registerOperation).write {
				return true, true
			}
			return output.(bool) == state.(bool), state
		},
	}
	for _, write := range w.operations {
		if write.kind != opWrite || !write.durable || w.runs[write.id] == 0 {
			continue
		}
		if !porcupine.CheckOperations(model, w.historyOf(write)) {
			w.violate("linearizable", "write %d and the reads of it by the primary", write.id)
			return
		}
	}
}

// historyOf is a write and all acknowledged durable primary reads.
func (w *world) historyOf(write *operation) []porcupine.Operation {
	end := int64(write.ended)
	if !write.acknowledged {
		end = math.MaxInt64
	}
	history := []porcupine.Operation{{ClientId: 0, Input: registerOperation{true, write.id},
		Call: int64(write.began), Return: end}}
	for i, op := range w.operations {
		if op.kind == opRegister && op.acknowledged && op.durable {
			history = append(history, porcupine.Operation{ClientId: i + 1, Input: registerOperation{},
				Output: contains(op.saw, write.id), Call: int64(op.began), Return: int64(op.ended)})
		}
	}
	return history
}
