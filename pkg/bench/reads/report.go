package reads

import (
	"time"

	"limpetspan/pkg/bench/result"
)

// Report is the result of a measurement.
type Report struct {
	result.Head
	Profile string `json:"profile"`
	// Figures of limpetspan over all scenarios.
	Figures
	// Baselines over all scenarios.
	Baselines []PolicyFigures `json:"baselines"`
	// Scenarios hold the figures of each policy in each scenario.
	Scenarios []ScenarioFigures `json:"scenarios"`
	// Broken tells of the first few stale reads.
	Broken []string `json:"broken,omitempty"`
}

// Figures are what one policy gave.
type Figures struct {
	// Reads were answered; ReplicaShare of them by replicas. All reads of the
	// load are eligible: each is declared, or would be under limpetspan.
	Reads        int     `json:"reads"`
	ReplicaShare float64 `json:"replica_share"`
	// StaleReads missed a write of their own session that was acknowledged
	// before, or showed data older than the stated age.
	StaleReads int `json:"stale_reads"`
	// Backwards are read-your-writes reads that showed less than an earlier
	// one of the session, ListingsBackwards listings that did. A read of a
	// stated age promises no order, so the latter are no fault.
	Backwards         int     `json:"backwards"`
	ListingsBackwards int     `json:"listings_backwards"`
	P50Ms             float64 `json:"p50_ms"`
	P99Ms             float64 `json:"p99_ms"`
	// OwnP50Ms is the median of the read-your-writes reads alone.
	OwnP50Ms float64 `json:"own_p50_ms"`
	Failed   int     `json:"failed"`
}

// PolicyFigures are the figures of a policy.
type PolicyFigures struct {
	Policy Policy `json:"policy"`
	Figures
}

// ScenarioFigures are the figures of all policies in a scenario.
type ScenarioFigures struct {
	Scenario
	Policies []PolicyFigures `json:"policies"`
}

// tally sums up slices of one policy.
type tally struct {
	own, listings   []time.Duration
	replica         int
	stale, backward int
	// listingsBackward as in Figures.
	listingsBackward int
	failed           int
}

func (t *tally) add(o *tally) {
	t.own, t.listings = append(t.own, o.own...), append(t.listings, o.listings...)
	t.replica += o.replica
	t.stale += o.stale
	t.backward += o.backward
	t.listingsBackward += o.listingsBackward
	t.failed += o.failed
}

func (t *tally) figures() Figures {
	all := append(append([]time.Duration(nil), t.own...), t.listings...)
	return Figures{
		Reads: len(all), ReplicaShare: result.Share(t.replica, len(all)+t.failed),
		StaleReads: t.stale, Backwards: t.backward, ListingsBackwards: t.listingsBackward, Failed: t.failed,
		P50Ms:    result.Milliseconds(result.Percentile(all, 0.5)),
		P99Ms:    result.Milliseconds(result.Percentile(all, 0.99)),
		OwnP50Ms: result.Milliseconds(result.Percentile(t.own, 0.5)),
	}
}

// tallies by scenario and policy.
type tallies map[string]map[Policy]*tally

func (t tallies) of(scenario string, p Policy) *tally {
	if t[scenario] == nil {
		t[scenario] = map[Policy]*tally{}
	}
	if t[scenario][p] == nil {
		t[scenario][p] = &tally{}
	}
	return t[scenario][p]
}

// fill puts the sums into the report.
func (t tallies) fill(r *Report) {
	for _, s := range scenarios {
		one := ScenarioFigures{Scenario: s}
		for _, p := range policies {
			one.Policies = append(one.Policies, PolicyFigures{Policy: p, Figures: t.of(s.Name, p).figures()})
		}
		r.Scenarios = append(r.Scenarios, one)
	}
	for _, p := range policies {
		sum := &tally{}
		for _, s := range scenarios {
			sum.add(t.of(s.Name, p))
		}
		if p == Tracked {
			r.Figures = sum.figures()
			continue
		}
		r.Baselines = append(r.Baselines, PolicyFigures{Policy: p, Figures: sum.figures()})
	}
}

// Plot draws the shares.
func (r *Report) Plot(file string) error {
	bars := []result.Bar{{Name: string(Tracked), Value: r.ReplicaShare}}
	for _, b := range r.Baselines {
		bars = append(bars, result.Bar{Name: string(b.Policy), Value: b.ReplicaShare})
	}
	return result.Bars(file, "Reads served by replicas, "+r.Profile, "share", bars)
}
