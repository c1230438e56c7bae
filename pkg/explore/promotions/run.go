package promotions

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetspan/core/direct"
	"limpetspan/pkg/explore"
)

// Options of an exploration.
type Options struct {
	// Seed is the first seed; each run takes the next one.
	Seed uint64
	Runs int
	// Duration is the model's time with faults in one run, FaultEvery the mean
	// time between them.
	Duration, FaultEvery time.Duration
	// Sync has commits wait for one replica; then no promotion may lose one.
	Sync bool
	// Crowded lets members refuse connections for commands at times.
	Crowded bool
	// Restores lets the store be restored from older copies of itself.
	Restores bool
	// Splits lets all replicas be away for so long that the store drops their entries, and return while
	// the primary and some daemons are cut off from the store and from everything else.
	Splits bool
	// Pairs lets some splits cut off a replica together with the primary.
	Pairs bool
	// Disabled are checks of the reducer that are switched off, shell those of the
	// code around it.
	Disabled direct.Guard
	shell    shellGuard
	// Trace, if set, is called with one line for each notable event.
	Trace func(string)
}

// DefaultOptions are a short exploration.
func DefaultOptions() Options {
	return Options{Seed: 1, Runs: 30, Duration: 30 * time.Second, FaultEvery: 700 * time.Millisecond}
}

// shellGuard is a check that package proxy makes around the reducer.
type shellGuard uint8

const (
	// shellAckLease: a commit is acknowledged only while the lease on its member as primary is held.
	shellAckLease shellGuard = 1 << iota
	// shellSendWindow: no promotion request is sent once another daemon could hold its promotion lock.
	shellSendWindow
	// shellOrderReset: a promotion request that a cut holds up is discarded when its call ends.
	shellOrderReset
	// shellOrderExpiry: no order to a member is sent once another daemon could hold the promotion lock.
	shellOrderExpiry
	// shellLockLife: a promotion lock that its holder has not released counts as held until it has
	// expired.
	shellLockLife
	// shellSettled: no daemon claims, or relies on a read of the promotion lock, before the store's
	// era has settled.
	shellSettled
	// shellEraToken: fencing tokens increase from one era to the next.
	shellEraToken
	// shellLostLocks: a promotion lock of an earlier era may not have been the last one.
	shellLostLocks
)

func (o *Options) without(g shellGuard) bool { return o.shell&g != 0 }

// guard is one check that can be switched off.
type guard struct {
	name    string
	reducer direct.Guard
	shell   shellGuard
	// sync is set if the check matters only when commits wait for a replica, crowded if only when
	// members refuse connections for commands, restores if only when the store is restored from older
	// copies, and splits if only when replicas return behind a partition.
	sync, crowded, restores, splits bool
}

var guards = []guard{
	{name: "ack-lease", shell: shellAckLease},
	{name: "fences", reducer: direct.GuardFences},
	{name: "heard", reducer: direct.GuardKnownTerm, crowded: true},
	{name: "leads", reducer: direct.GuardPrimaryRole},
	{name: "lone-member", reducer: direct.GuardLoneMember, splits: true},
	{name: "outrun", reducer: direct.GuardNewerTerm},
	{name: "outwait", reducer: direct.GuardLeaseWait},
	{name: "own-fences", reducer: direct.GuardOwnFences},
	{name: "read-lease", reducer: direct.GuardReadLease},
	{name: "restart", reducer: direct.GuardRestart},
	{name: "same-term", reducer: direct.GuardSameTerm},
	{name: "send-window", reducer: direct.GuardSendWindow, shell: shellSendWindow},
	{name: "session-position", reducer: direct.GuardSessionPosition},
	{name: "sync", reducer: direct.GuardSync, sync: true},
	{name: "settled", reducer: direct.GuardMemberList},
	{name: "superseded", reducer: direct.GuardSuperseded},
	{name: "order-reset", shell: shellOrderReset},
	{name: "order-expiry", shell: shellOrderExpiry},
	{name: "lock-life", shell: shellLockLife},
	{name: "lock-era", reducer: direct.GuardLockEra, restores: true},
	{name: "era-settled", shell: shellSettled, restores: true},
	{name: "era-token", shell: shellEraToken, restores: true},
	{name: "era-lost-locks", shell: shellLostLocks, restores: true},
	{name: "lock-term", reducer: direct.GuardLockTerm},
	{name: "unbroken-lease", reducer: direct.GuardUnbrokenLease},
}

// GuardNames lists the checks that can be switched off.
func GuardNames() []string {
	var names []string
	for _, g := range guards {
		names = append(names, g.name)
	}
	return names
}

// SwitchOff switches the named checks off.
func (o *Options) SwitchOff(names ...string) error {
	for _, name := range names {
		i := slices.IndexFunc(guards, func(g guard) bool { return g.name == name })
		if i < 0 {
			return fmt.Errorf("unknown guard %q; known are %v", name, GuardNames())
		}
		o.Disabled |= guards[i].reducer
		o.shell |= guards[i].shell
		o.Sync = o.Sync || guards[i].sync
		o.Crowded = o.Crowded || guards[i].crowded
		o.Restores = o.Restores || guards[i].restores
		o.Splits = o.Splits || guards[i].splits
	}
	return nil
}

// Report is the result of an exploration.
type Report struct {
	Runs       int                     `json:"runs"`
	Counts     map[string]int          `json:"counts"`
	Violations []explore.SeedViolation `json:"violations"`
}

// Run explores, as many runs at once as there are processors; it stops early when
// ctx ends.
func Run(ctx context.Context, o Options) Report {
	worlds := make([]*world, o.Runs)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range worlds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			w := newWorld(o.Seed+uint64(i), o)
			w.run()
			worlds[i] = w
			return nil
		})
	}
	report := Report{Counts: make(map[string]int), Violations: []explore.SeedViolation{}}
	// A run that was not made is left out of the report; the caller has ended ctx.
	_ = group.Wait()
	for i, w := range worlds {
		if w == nil {
			continue
		}
		report.Runs++
		for name, n := range w.counts {
			report.Counts[name] += n
		}
		for _, v := range w.violations {
			report.Violations = append(report.Violations, explore.SeedViolation{Seed: o.Seed + uint64(i), Violation: v})
		}
	}
	return report
}

// guardBatch is how many runs are made at once while a violation is looked for.
const guardBatch = 16

// GuardResult says whether the exploration noticed a check that was switched off.
type GuardResult struct {
	Guard string `json:"guard"`
	// Runs is how many runs it took, or were made in vain.
	Runs      int                    `json:"runs"`
	Violation *explore.SeedViolation `json:"violation,omitempty"`
}

// ProveGuards switches the checks off one at a time and explores until a
// violation shows or o.Runs have been made.
func ProveGuards(ctx context.Context, o Options) []GuardResult {
	var results []GuardResult
	for _, g := range guards {
		broken := o
		broken.Disabled, broken.shell, broken.Runs = g.reducer, g.shell, guardBatch
		broken.Sync = broken.Sync || g.sync
		broken.Crowded = broken.Crowded || g.crowded
		broken.Restores = broken.Restores || g.restores
		broken.Splits = broken.Splits || g.splits
		result := GuardResult{Guard: g.name}
		for result.Runs < o.Runs && result.Violation == nil && ctx.Err() == nil {
			broken.Seed = o.Seed + uint64(result.Runs)
			report := Run(ctx, broken)
			result.Runs += report.Runs
			if len(report.Violations) > 0 {
				result.Violation = &report.Violations[0]
			}
		}
		results = append(results, result)
	}
	return results
}
