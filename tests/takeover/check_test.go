package takeover_test

import (
	"fmt"
	"regexp"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
)

// writeSQL finds the callers' writes in the logs of the groups.
var writeSQL = regexp.MustCompile(`^/\*kind='lot',key='([^']+)'[^*]*\*/ UPDATE lot SET n = (\d+),`)

// shownViolations bounds what a failure prints.
const shownViolations = 12

// finish ends the callers, repeats every must-not-repeat key through other
// daemons, and compares both sides with what callers were told.
func (w *world) finish() {
	GinkgoHelper()
	w.callers.halt()
	repeater := w.newCaller(callerCount)
	defer repeater.close()
	for key, ran := range w.ledger.allCharges() {
		for _, once := range ran {
			if !repeater.repeat(key, once) {
				w.ledger.violated("charge %s of %s gets no answer", once, key)
			}
		}
	}
	t := w.document().Takeovers[kind]
	sides := map[core.GroupID]map[string]record{rival: w.held(rival), ring: w.held(ring)}
	owned := make(map[string]record)
	for i := range records {
		side, key := rival, recordKey(i)
		if config.HasBit(t.Flipped, config.Bucket(key, buckets)) {
			side = ring
		}
		if r, ok := sides[side][key]; ok {
			owned[key] = r
		}
	}
	w.ledger.compare(owned, w.ranWrites())
	Expect(w.ledger.reads).To(BeNumerically(">", 0))
	Expect(w.ledger.acknowledgedWrites()).To(BeNumerically(">", 0))
	v := w.ledger.violations
	if len(v) > 0 {
		Fail(fmt.Sprintf("%d broken promises:\n%v\ncallers saw %d failures, last:\n%v\ntake-over:\n%s", len(v), lines(v), len(w.ledger.errors),
			lines(w.ledger.errors[max(0, len(w.ledger.errors)-shownViolations):]), w.steps))
	}
}

func lines(list []string) (out string) {
	for _, s := range list[:min(len(list), shownViolations)] {
		out += "  " + s + "\n"
	}
	return out
}

func (l *ledger) allCharges() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]string, len(l.charges))
	for key, ran := range l.charges {
		all[key] = append([]string(nil), ran...)
	}
	return all
}

// ranWrites counts how often each write stands in the logs of both groups. A
// write that ran on a side that did not own its record shows as acknowledged
// with another value on the owning side, or as run twice.
func (w *world) ranWrites() map[write]int {
	GinkgoHelper()
	ran := make(map[write]int)
	for _, id := range []core.GroupID{rival, ring} {
		for _, r := range w.primary(id).Log() {
			for _, s := range r.Statements {
				found := writeSQL.FindStringSubmatch(s.SQL)
				if found == nil {
					continue
				}
				n, err := strconv.ParseInt(found[2], 10, 64)
				Expect(err).NotTo(HaveOccurred())
				ran[write{found[1], n}]++
			}
		}
	}
	return ran
}
