package control

import (
	"net/netip"

	"limpetspan/core"
)

// region cuts one region off until both sides hold the other for dead, and
// joins them again.
func (s *simulation) region() *Region {
	name := s.daemons[0].self.Region
	inside := s.up(func(d *daemon) bool { return d.self.Region == name })
	outside := s.up(func(d *daemon) bool { return d.self.Region != name })
	side := map[netip.AddrPort]bool{}
	for _, d := range inside {
		side[d.addr] = true
	}
	r := &Region{Cut: len(inside)}
	m := s.meter()
	cut := func(from, to netip.AddrPort) bool { return side[from] != side[to] }
	s.blocked.Store(&cut)
	took, ok := s.wait(detectLimit, func() bool {
		return complete(inside, len(inside)) && complete(outside, len(outside))
	})
	r.DetectS, r.Detected = took.Seconds(), ok
	r.SplitUsage = m.usage()

	m = s.meter()
	s.blocked.Store(nil)
	took, ok = s.wait(returnLimit, func() bool {
		r.Buried = max(r.Buried, buried(inside[0], inside), buried(outside[0], outside))
		return complete(s.daemons, len(s.daemons))
	})
	r.HealS, r.Healed = took.Seconds(), ok
	more, ok := s.waitAgree(returnLimit, s.daemons)
	r.EqualS, r.Equal = (took + more).Seconds(), ok
	r.HealUsage = m.usage()
	return r
}

// buried counts the daemons of the viewer's own side that it holds for dead.
func buried(viewer *daemon, side []*daemon) int {
	living := map[core.DaemonID]bool{}
	for _, d := range viewer.service.Daemons() {
		living[d.ID] = true
	}
	n := 0
	for _, d := range side {
		if !living[d.self.ID] {
			n++
		}
	}
	return n
}
