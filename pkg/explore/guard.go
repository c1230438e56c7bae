package explore

import (
	"context"
	"fmt"
	"slices"

	"limpetspan/core/group"
)

// guards are the names of the checks that can be switched off.
var guards = map[string]group.Guard{
	"lease-at-arrival": group.GuardLeaseAtArrival,
	"lease-at-ack":     group.GuardLeaseAtAck,
	"session-floor":    group.GuardSessionFloor,
	"claim-wait":       group.GuardClaimWait,
	"durable-confirm":  group.GuardDurableConfirm,
	"term-start":       group.GuardTermStart,
	"pinned":           group.GuardPinned,
	"budget":           group.GuardBudget,
	"majority":         group.GuardMajority,
	"furthest":         group.GuardFurthest,
	"retry-proof":      group.GuardRetryProof,
}

// GuardNames lists the guards in order.
func GuardNames() []string {
	var names []string
	for name := range guards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ParseGuards returns the set of the named guards.
func ParseGuards(names []string) (group.Guard, error) {
	var set group.Guard
	for _, name := range names {
		g, ok := guards[name]
		if !ok {
			return 0, fmt.Errorf("unknown guard %q; known are %v", name, GuardNames())
		}
		set |= g
	}
	return set, nil
}

// GuardResult says whether the exploration noticed a guard that was switched off.
type GuardResult struct {
	Guard  string `json:"guard"`
	Caught bool   `json:"caught"`
	// Runs is how many runs it took, or were made in vain.
	Runs      int            `json:"runs"`
	Violation *SeedViolation `json:"violation,omitempty"`
}

// ProveGuards switches the guards off one at a time and explores until a
// violation shows or o.Runs have been made.
func ProveGuards(ctx context.Context, o Options) []GuardResult {
	var results []GuardResult
	for _, name := range GuardNames() {
		result := GuardResult{Guard: name}
		broken := o
		broken.Tuning.DisabledGuards = guards[name]
		for i := 0; i < o.Runs && ctx.Err() == nil && !result.Caught; i++ {
			seed := o.Seed + uint64(i)
			w := runSeed(seed, broken, nil)
			result.Runs++
			if len(w.violations) > 0 {
				result.Caught = true
				result.Violation = &SeedViolation{seed, w.violations[0]}
			}
		}
		results = append(results, result)
		if o.Progress != nil {
			o.Progress(len(results), len(guards))
		}
	}
	return results
}
