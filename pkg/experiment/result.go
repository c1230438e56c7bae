package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"limpetspan/core/policy"
)

// Result is what the callers of one run got.
type Result struct {
	Pattern *Pattern
	// Kinds are the counts by kind of callers, in the pattern's order; Times those of
	// all kinds by the second in which operations began.
	Kinds []Count
	Times []Count
	// byForecast counts refusals on arrival, promised and kept the returns.
	byForecast, promised, kept int
	// heldTooLong counts refusals that came later than a quarter of the aim.
	heldTooLong                          int
	dials, resets, crossings, statements int
	// work is the time for which each member's slots were in use, slots their number.
	work      []time.Duration
	slots     []int
	latencies map[string][]time.Duration
}

// Count is what became of operations.
type Count struct {
	Name                                 string
	Asked, InAim, Late, Refused, Unknown int
	// Owed is the value of all, Earned of those that were served.
	Owed, Earned float64
	P50, P99     time.Duration
}

func newResult(p *Pattern) *Result {
	r := &Result{Pattern: p, latencies: make(map[string][]time.Duration)}
	for _, c := range p.Callers {
		r.Kinds = append(r.Kinds, Count{Name: c.Name})
	}
	for i := range p.Seconds + 1 {
		r.Times = append(r.Times, Count{Name: fmt.Sprint(i)})
	}
	return r
}

// counts are those to which the operation adds.
func (r *Result) counts(op *operation) []*Count {
	kind := slices.IndexFunc(r.Kinds, func(c Count) bool { return c.Name == op.kind.Name })
	second := int(op.began.Sub(epoch.Add(warmUp)) / time.Second)
	return []*Count{&r.Kinds[kind], &r.Times[min(second, len(r.Times)-1)]}
}

func (r *Result) asked(op *operation) {
	for _, c := range r.counts(op) {
		c.Asked++
		c.Owed += op.kind.Value
	}
}

func (r *Result) served(op *operation) {
	took := op.w.now.Sub(op.began)
	r.latencies[op.kind.Name] = append(r.latencies[op.kind.Name], took)
	for _, c := range r.counts(op) {
		if took <= op.kind.Aim {
			c.InAim++
			c.Earned += op.kind.Value
		} else {
			c.Late++
			c.Earned += op.kind.Late
		}
	}
}

func (r *Result) failed(op *operation, unknown bool) {
	if op.w.now.Sub(op.began) > op.kind.Aim/4 {
		r.heldTooLong++
	}
	for _, c := range r.counts(op) {
		if unknown {
			c.Unknown++
		} else {
			c.Refused++
		}
	}
}

// Value is the share of what was owed that was earned.
func (r *Result) Value() float64 {
	owed, earned := 0.0, 0.0
	for _, c := range r.Kinds {
		owed += c.Owed
		earned += c.Earned
	}
	return earned / max(1, owed)
}

// Served is the share of operations that were served, in time or late.
func (r *Result) Served() float64 {
	asked, served := 0, 0
	for _, c := range r.Kinds {
		asked += c.Asked
		served += c.InAim + c.Late
	}
	return float64(served) / float64(max(1, asked))
}

// InTime is the share of operations that were served in time.
func (r *Result) InTime() float64 {
	asked, inTime := 0, 0
	for _, c := range r.Kinds {
		asked += c.Asked
		inTime += c.InAim
	}
	return float64(inTime) / float64(max(1, asked))
}

// Crossings is the share of statements that ran in another zone than their daemon's.
func (r *Result) Crossings() float64 { return float64(r.crossings) / float64(max(1, r.statements)) }

// HeldTooLong is the share of operations that were refused after more than a quarter of their aim.
func (r *Result) HeldTooLong() float64 {
	asked := 0
	for _, c := range r.Kinds {
		asked += c.Asked
	}
	return float64(r.heldTooLong) / float64(max(1, asked))
}

// Imbalance is the largest use of a member's slots divided by the mean of all slots.
func (r *Result) Imbalance() float64 {
	busiest, work, slots := 0.0, 0.0, 0.0
	for i, w := range r.work {
		busiest = max(busiest, float64(w)/float64(r.slots[i]))
		work += float64(w)
		slots += float64(r.slots[i])
	}
	return busiest / max(1, work) * slots
}

// Resets is how many connections members refused at their limit.
func (r *Result) Resets() int { return r.resets }

// Table is the result for people.
func (r *Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %7s %7s %6s %7s %7s %6s %8s %8s\n", "callers", "asked", "in aim", "late", "refused", "unknown", "value", "p50 ms", "p99 ms")
	for _, c := range r.Kinds {
		list := r.latencies[c.Name]
		slices.Sort(list)
		fmt.Fprintf(&b, "%-20s %7d %7d %6d %7d %7d %6.3f %8.1f %8.1f\n", c.Name, c.Asked, c.InAim, c.Late, c.Refused, c.Unknown,
			c.Earned/max(1, c.Owed), ms(quantile(list, 0.5)), ms(quantile(list, 0.99)))
	}
	fmt.Fprintf(&b, "\nvalue %.4f; %.3f of the statements in another zone; %.4f refused late; %d connections opened, %d refused\n",
		r.Value(), r.Crossings(), r.HeldTooLong(), r.dials, r.resets)
	if r.Pattern.OverloadControl {
		fmt.Fprintf(&b, "%.4f served; %d refused by forecast; %d returns promised, %d kept\n", r.Served(), r.byForecast, r.promised, r.kept)
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// Difference is a mean difference over seeds with half the width of its confidence
// interval at 95 %.
type Difference struct{ Mean, Interval float64 }

// Differences are those of two sets of mechanisms.
type Differences struct {
	Value, Served, Crossings, HeldTooLong, Resets Difference
}

// Compare plays the pattern with both sets on the same seeds; each difference is that
// of set to other.
func Compare(p *Pattern, set, other policy.Set, first uint64, seeds int) Differences {
	var value, served, crossings, held, resets []float64
	for i := range seeds {
		a, b := Run(p, set, first+uint64(i)), Run(p, other, first+uint64(i))
		value = append(value, a.Value()-b.Value())
		served = append(served, a.Served()-b.Served())
		crossings = append(crossings, a.Crossings()-b.Crossings())
		held = append(held, a.HeldTooLong()-b.HeldTooLong())
		resets = append(resets, float64(a.resets-b.resets))
	}
	return Differences{difference(value), difference(served), difference(crossings), difference(held), difference(resets)}
}

// normal95 is the quantile of the normal distribution for an interval at 95 %.
const normal95 = 1.96

func difference(list []float64) Difference {
	mean := 0.0
	for _, x := range list {
		mean += x / float64(len(list))
	}
	squares := 0.0
	for _, x := range list {
		squares += (x - mean) * (x - mean)
	}
	if len(list) < 2 {
		return Difference{Mean: mean}
	}
	deviation := math.Sqrt(squares / float64(len(list)-1))
	return Difference{mean, normal95 * deviation / math.Sqrt(float64(len(list)))}
}
