package control

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// headerBytes is what IPv4 and UDP add to a datagram.
const headerBytes = 28

// meter measures a part of a run.
type meter struct {
	fleet  *simulation
	start  time.Time
	cpu    time.Duration
	hosts  int64
	before map[*daemon]traffic
}

// traffic counts one daemon's datagrams and bytes.
type traffic struct{ sent, sentBytes, receivedBytes, refuted uint64 }

func (t traffic) bytes() uint64 { return t.sentBytes + t.receivedBytes }

func (t traffic) minus(o traffic) traffic {
	return traffic{t.sent - o.sent, t.sentBytes - o.sentBytes, t.receivedBytes - o.receivedBytes, t.refuted - o.refuted}
}

func (t traffic) plus(o traffic) traffic {
	return traffic{t.sent + o.sent, t.sentBytes + o.sentBytes, t.receivedBytes + o.receivedBytes, t.refuted + o.refuted}
}

// traffic is the daemon's over all its lives.
func (d *daemon) traffic() traffic {
	s := d.service.Stats()
	return d.earlier.plus(traffic{
		sent:          s.Sent,
		sentBytes:     s.SentBytes + headerBytes*s.Sent,
		receivedBytes: s.ReceivedBytes + headerBytes*s.Received,
		refuted:       s.Refuted,
	})
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the first one empties pools only in part
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (s *simulation) meter() *meter {
	m := &meter{fleet: s, before: make(map[*daemon]traffic, len(s.daemons))}
	for _, d := range s.daemons {
		m.before[d] = d.traffic()
	}
	m.hosts = s.hostCalls.Load()
	m.cpu = processCPU()
	m.start = time.Now()
	return m
}

// usage ends the measurement.
func (m *meter) usage() Usage {
	elapsed := time.Since(m.start).Seconds()
	cpu := (processCPU() - m.cpu).Seconds()
	calls := float64(m.fleet.hostCalls.Load() - m.hosts)
	n := float64(len(m.fleet.daemons))
	total, most := m.traffic(m.fleet.daemons)
	return Usage{
		Seconds:          elapsed,
		CPUPercentOfCore: 100 * cpu / elapsed / n,
		BytesPerS:        float64(total.bytes()) / elapsed / n,
		SentBytesPerS:    float64(total.sentBytes) / elapsed / n,
		MessagesPerS:     float64(total.sent) / elapsed / n,
		MostBytesPerS:    float64(most) / elapsed,
		HeapBytes:        max(0, liveHeap()-m.fleet.baseHeap) / n,
		StoreCallsPerS:   calls / elapsed,
		StoreWatches:     m.fleet.watchers(),
		Refuted:          int(total.refuted),
	}
}

func (m *meter) traffic(daemons []*daemon) (total traffic, most uint64) {
	for _, d := range daemons {
		t := d.traffic().minus(m.before[d])
		total = total.plus(t)
		most = max(most, t.bytes())
	}
	return total, most
}

func quantiles(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	at := func(q float64) float64 {
		return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
	}
	return Quantiles{Count: len(list), P50MS: at(0.5), P99MS: at(0.99), MaxMS: at(1)}
}
