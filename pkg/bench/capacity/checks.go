package capacity

import (
	"fmt"

	"limpetspan/pkg/bench/control"
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
		return fmt.Sprintf("%.4g MB", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.4g KB", v/1e3)
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

// windowSeconds is the time over which the limits on bytes and processor are
// taken, as the plan names none.
const windowSeconds = 60

// overWindow is the mean over a minute that begins with the storm: its usage,
// and, if it was over sooner, the steady state for the rest.
func overWindow(during, secondsLong, steady float64) float64 {
	if secondsLong >= windowSeconds {
		return during
	}
	return (during*secondsLong + steady*(windowSeconds-secondsLong)) / windowSeconds
}

// stormChecks hold the limits against the worst minutes.
func (p *model) stormChecks() []check {
	bps := func(of func(*control.Zone, *control.Region) (float64, float64)) figure {
		return p.ofStorms(func(z *control.Zone, r *control.Region) float64 {
			v, s := of(z, r)
			return overWindow(v, s, p.steadyBytes.value)
		})
	}
	cpu := func(of func(*control.Zone, *control.Region) *control.Usage) figure {
		return p.ofStorms(func(z *control.Zone, r *control.Region) float64 {
			u := of(z, r)
			return overWindow(u.CPUPercentOfCore, u.Seconds, p.steadyCPU.value)
		})
	}
	bytesOf := func(of func(*control.Zone, *control.Region) *control.Usage) figure {
		return bps(func(z *control.Zone, r *control.Region) (float64, float64) {
			u := of(z, r)
			return u.BytesPerS, u.Seconds
		})
	}
	lost := func(z *control.Zone, _ *control.Region) *control.Usage { return &z.LossUsage }
	back := func(z *control.Zone, _ *control.Region) *control.Usage { return &z.ReturnUsage }
	apart := func(_ *control.Zone, r *control.Region) *control.Usage { return &r.SplitUsage }
	together := func(_ *control.Zone, r *control.Region) *control.Usage { return &r.HealUsage }
	returning := bps(func(z *control.Zone, _ *control.Region) (float64, float64) {
		return z.ReturnedBytesPerS, z.ReturnUsage.Seconds
	})
	const minute = "Membership and news, mean over the minute that begins with it."
	list := []check{
		{"bytes, a zone is lost", "12 KB/s", bytesOf(lost), limitBytesPerS, bytesPerS, minute},
		{"bytes, a zone returns at once, all daemons", "12 KB/s", bytesOf(back), limitBytesPerS, bytesPerS, minute},
		{"bytes, a zone returns at once, its own daemons", "12 KB/s", returning, limitBytesPerS, bytesPerS, minute},
		{"bytes, regions part", "12 KB/s", bytesOf(apart), limitBytesPerS, bytesPerS, minute},
		{"bytes, regions meet again", "12 KB/s", bytesOf(together), limitBytesPerS, bytesPerS, minute},
		{"processor, a zone is lost", "3.4 % of a core", cpu(lost), limitCPUPercent, percent, minute},
		{"processor, a zone returns at once", "3.4 % of a core", cpu(back), limitCPUPercent, percent, minute},
		{"processor, regions part", "3.4 % of a core", cpu(apart), limitCPUPercent, percent, minute},
		{"processor, regions meet again", "3.4 % of a core", cpu(together), limitCPUPercent, percent, minute},
	}
	const all = "As above, with the homes' probing of targets at rest."
	for _, c := range list[:5] {
		list = append(list, check{c.what + ", all control", c.limit, c.value.plus(p.homeBytes), c.bound, c.format, all})
	}
	return append(list, check{"daemons of the own side called dead while regions meet", "0",
		p.ofStorms(func(_ *control.Zone, r *control.Region) float64 { return float64(r.Buried) }), 0,
		func(v float64) string { return fmt.Sprintf("%.0f", v) },
		"At two viewers; they come back when they refute. All daemons share the bench's processors."})
}

func (p *model) storeChecks() []check {
	const calculated = "calculated from the design"
	reads := known(storeReads()+hostListReads(), calculated)
	peak := p.hostListPeak()
	back := known(2*watchesOfWatcher*watchersOfFleet+storeReads(), calculated)
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

func (p *model) hostListPeak() figure {
	return p.ofStorms(func(z *control.Zone, _ *control.Region) float64 { return float64(z.PeakHostListCallsPS) })
}

func (p *model) latencyNote() string {
	if p.m.Latency == nil {
		return ""
	}
	return fmt.Sprintf("%g ms one way between any two daemons, %g ms for the fetch.", p.m.Latency.LatencyMS, p.m.Latency.FetchDelayMS)
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
		{"the same over a network with latency, p99 of daemons", "8 s", p.latencyReach, limitConfigMS, seconds, p.latencyNote()},
		{"the same, last daemon of the slowest change", "8 s", p.latencyAll, limitConfigMS, seconds, p.latencyNote()},
		{"configuration from accepted to in force", "8 s", p.configWhole, limitConfigMS, seconds, "Through the store and real fetches."},
	}
}
