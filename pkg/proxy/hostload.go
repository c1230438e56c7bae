package proxy

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/platform"
)

// hostLoadInterval is the time over which the use of the host is measured. The accounting of
// processor time and quotas works in periods of 100 ms, so a shorter time varies by itself.
const hostLoadInterval = time.Second

// hostLoad measures how much of its host this daemon uses, and derives the host's burden as a home.
type hostLoad struct {
	p *Proxy
	// lateNs is the time by which ticks were late since the last measurement.
	lateNs atomic.Int64

	mu    sync.Mutex
	meter direct.BurdenMeter
	// measuredAt and processorTime are those of the last measurement.
	measuredAt    core.Time
	processorTime time.Duration
	view          HostLoadView
}

// HostLoadView is the use of the host, for the metrics.
type HostLoadView struct {
	// Processor is the share of the host's weight that this process uses, Late the share of time by
	// which its ticks are late because the process waits for a processor.
	Processor float64       `json:"processor"`
	Late      float64       `json:"late"`
	Burden    direct.Burden `json:"burden"`
}

// recordTick records the time since the previous tick.
func (h *hostLoad) recordTick(gap time.Duration) {
	if late := gap - 2*tickInterval; late > 0 {
		h.lateNs.Add(int64(late))
	}
}

// observe measures the use if that is due, and returns the host's burden. It is 0 where homes are not
// chosen by load.
func (h *hostLoad) observe(at core.Time) direct.Burden {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := at.Sub(h.measuredAt)
	if elapsed < hostLoadInterval {
		return h.view.Burden
	}
	processorTime := ownProcessorTime()
	used, first := processorTime-h.processorTime, h.measuredAt == 0
	h.measuredAt, h.processorTime = at, processorTime
	late := time.Duration(h.lateNs.Swap(0))
	if first {
		return 0
	}
	h.view.Processor = float64(used) / (float64(elapsed) * max(h.p.settings.Weight, minHostWeight))
	h.view.Late = min(1, float64(late)/float64(elapsed))
	if !h.p.policy.Has(policy.HomesByLoad) || !h.p.homes.areHomesByLoad() {
		h.meter, h.view.Burden = direct.BurdenMeter{}, 0
		return 0
	}
	before := h.view.Burden
	h.view.Burden = h.meter.Observe(at, max(h.view.Processor, h.view.Late))
	if h.view.Burden != before {
		h.p.log.Info("burden of the host", "burden", h.view.Burden, "before", before, "processor", percent(h.view.Processor), "late", percent(h.view.Late))
	}
	return h.view.Burden
}

// minHostWeight bounds the weight of a host whose settings give none.
const minHostWeight = 0.01

func percent(share float64) int { return int(math.Round(100 * share)) }

// snapshot returns the last measurement.
func (h *hostLoad) snapshot() HostLoadView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// ownProcessorTime returns the processor time that this process has used.
func ownProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		// The call fails only for arguments that are not used here.
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// updateBurden writes the entry again if its burden has changed. While the store is down, it retries
// at the interval of renewals.
func (r *registration) updateBurden(at core.Time, burden direct.Burden) {
	if r.lease == 0 {
		// The entry is written with the burden when this daemon registers.
		r.burden = burden
		return
	}
	if r.burden == burden || r.burdenTriedAt != 0 && at.Sub(r.burdenTriedAt) < renewalInterval {
		return
	}
	r.burdenTriedAt = at
	value, err := json.Marshal(r.entry(burden))
	if err == nil {
		ctx, cancel := context.WithTimeout(r.p.ctx, storeTimeout)
		defer cancel()
		_, err = r.p.client.Put(ctx, nil, []platform.Write{{Key: platform.DaemonsPrefix + string(r.p.settings.Daemon), Value: value, Lease: r.lease}})
	}
	if err != nil {
		r.p.log.Warn("the host's burden was not written", "burden", burden, "error", err.Error())
		return
	}
	r.burden = burden
}

// entry returns this daemon's entry with the burden.
func (r *registration) entry(burden direct.Burden) daemonEntry {
	s := r.p.settings
	return daemonEntry{IP: s.IP, Zone: s.Zone, Weight: s.Weight, Burden: burden}
}
