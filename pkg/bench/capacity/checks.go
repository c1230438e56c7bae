package capacity

import (
	"fmt"

	"limpetspan/pkg/confstore"
)

// check is one limit held against a figure.
type check struct {
	what   string
	limit  string
	value  figure
	bound  float64
	format func(float64) string
	note   string
}

func (c *check) row() []string {
	if !c.value.known {
		return []string{c.what, c.limit, "not measured", "not measured", c.note}
	}
	verdict := "pass"
	if c.value.value > c.bound {
		verdict = "**miss**"
	}
	return []string{c.what, c.limit, c.format(c.value.value), verdict, c.value.source + ". " + c.note}
}

func percent(v float64) string { return fmt.Sprintf("%.2g %%", v) }
func perSecond(v float64) string {
	if v < 10 {
		return fmt.Sprintf("%.2g/s", v)
	}
	return fmt.Sprintf("%.0f/s", v)
}
func seconds(ms float64) string { return fmt.Sprintf("%.2g s", ms/1000) }

func bytes(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.3g MB", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3g KB", v/1e3)
	}
	return fmt.Sprintf("%.3g B", v)
}

func bytesPerS(v float64) string { return bytes(v) + "/s" }

func (p *model) checks() []check {
	list := p.budgetChecks()
	list = append(list, p.stormChecks()...)
	list = append(list, p.storeChecks()...)
	return append(list, p.timeChecks()...)
}

func (p *model) budgetChecks() []check {
	const gossipOnly = "Membership and news only."
	const all = "With the homes' probing of targets."
	cpu, bps := p.steadyCPU.plus(p.newsCPU), p.steadyBytes.plus(p.newsBytes)
	return []check{
		{"processor, membership and news", "3.4 % of a core", cpu, limitCPUPercent, percent, gossipOnly},
		{"memory, membership and news", "32 MB", p.heap, limitMemoryBytes, bytes, "Live heap; the runtime holds up to twice that."},
		{"bytes, membership and news", "12 KB/s", bps, limitBytesPerS, bytesPerS, "Both directions, with IP and UDP headers."},
		{"processor, all control", "3.4 % of a core", cpu.plus(p.homeCPU), limitCPUPercent, percent, all},
		{"memory, all control", "32 MB", p.heap.plus(p.homeHeap), limitMemoryBytes, bytes, all},
		{"bytes, all control", "12 KB/s", bps.plus(p.homeBytes), limitBytesPerS, bytesPerS, all},
	}
}

// stormChecks hold the mean limits against the worst minutes.
func (p *model) stormChecks() []check {
	of := func(f func(*zoneFigures) float64) figure {
		return p.ofRun(func(r *runOf) (float64, bool) {
			if r.Zone == nil || r.Region == nil {
				return 0, false
			}
			return f(&zoneFigures{r.Zone, r.Region}), true
		})
	}
	const mean = "The limit is taken as one for any window, not only for the mean of a day."
	return []check{
		{"bytes, a zone lost", "12 KB/s", of(func(z *zoneFigures) float64 { return z.Zone.LossUsage.BytesPerS }), limitBytesPerS, bytesPerS, mean},
		{"bytes, a zone returns at once, mean of all", "12 KB/s", of(func(z *zoneFigures) float64 { return z.Zone.ReturnUsage.BytesPerS }), limitBytesPerS, bytesPerS, mean},
		{"bytes, a zone returns at once, those that return", "12 KB/s", of(func(z *zoneFigures) float64 { return z.Zone.ReturnedBytesPerS }), limitBytesPerS, bytesPerS, mean},
		{"bytes, regions part", "12 KB/s", of(func(z *zoneFigures) float64 { return z.Region.SplitUsage.BytesPerS }), limitBytesPerS, bytesPerS, mean},
		{"bytes, regions meet again", "12 KB/s", of(func(z *zoneFigures) float64 { return z.Region.HealUsage.BytesPerS }), limitBytesPerS, bytesPerS, mean},
		{"processor, a zone returns at once", "3.4 % of a core", of(func(z *zoneFigures) float64 { return z.Zone.ReturnUsage.CPUPercentOfCore }), limitCPUPercent, percent, mean},
		{"processor, regions meet again", "3.4 % of a core", of(func(z *zoneFigures) float64 { return z.Region.HealUsage.CPUPercentOfCore }), limitCPUPercent, percent, mean},
	}
}

func (p *model) storeChecks() []check {
	const calculated = "calculated from the design"
	reads := known(storeReads()+hostListReads(), calculated)
	peak := p.ofRun(func(r *runOf) (float64, bool) {
		if r.Zone == nil {
			return 0, false
		}
		return float64(r.Zone.PeakHostListCallsPS), true
	})
	back := known(2*watchersOfFleet+storeReads(), calculated)
	return []check{
		{"store reads, watches counted", "2,000/s", reads, limitStoreReads, perSecond,
			"Watches and reads by the watchers, the others' rare looks, and the host list."},
		{"store writes", "300/s", known(storeWrites(), calculated), limitStoreWrites, perSecond,
			"Configuration changes only, at two swaps each; take-over and heartbeats write none or are not in it."},
		{"host list, a zone returns at once", "2,000/s", peak, limitStoreReads, perSecond, "Most calls in one second, seeds reachable."},
		{"store reads in the second in which it returns after an hour", "2,000/s", back, limitStoreReads, perSecond,
			"Each watcher reads once and watches again, on top of the calls at rest; the other daemons keep to their interval."},
		{"store reads while a zone starts at once", "2,000/s", known(zoneDaemons/confstore.DefaultTiming().Grace.Seconds()+storeReads(), calculated), limitStoreReads, perSecond,
			"Each daemon of the zone reads once within about the grace time, on top of the calls at rest."},
		{"store calls of a configuration change", "2,000/s", p.m.largest(fileConfig, "store_calls_per_change").times(changesPerDay / secondsPerDay),
			limitStoreReads, perSecond, "At the plan's rate of changes."},
		{"store writes of a take-over", "300/s", p.m.largest(fileTakeover, "store_writes_per_s"), limitStoreWrites, perSecond, ""},
	}
}

func (p *model) timeChecks() []check {
	worst := p.failoverMax
	if !worst.known {
		worst = p.failoverP99
	}
	return []check{
		{"primary change over", "18 s", worst, limitPrimaryMS, seconds, "Largest value in the file."},
		{"news of a configuration, p99 of daemons", "8 s", p.configReach, limitConfigMS, seconds,
			"On loopback; the fetch is a fixed delay."},
		{"news of a configuration, last daemon of the slowest change", "8 s", p.configAll, limitConfigMS, seconds,
			"On loopback; the fetch is a fixed delay."},
		{"configuration from accepted to in force", "8 s", p.configWhole, limitConfigMS, seconds, "Through the store and real fetches."},
	}
}
