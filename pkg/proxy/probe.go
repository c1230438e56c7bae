package proxy

import (
	"net"

	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/pkg/proxy/reportpb"
)

// sendProbe sends a liveness check to the daemon at the address. It is a datagram, and may be lost. It
// returns false if it could not be sent.
func (s *peers) sendProbe(ip string) bool {
	addr := s.gossipAddr(ip)
	if addr == nil {
		return false
	}
	return s.sendProbeMessage(addr, &reportpb.Report{Probe: int64(now())})
}

// handleProbe answers a liveness check, or handles the answer to one. It returns false for a report.
func (s *peers) handleProbe(m *reportpb.Report, from net.Addr) bool {
	switch {
	case m.Probe != 0 && core.DaemonID(m.Daemon) == s.p.settings.Daemon:
		s.p.homes.health.selfEchoed(core.Time(m.Probe))
	case m.Probe != 0:
		s.p.stats.health.Add("probes answered", 1)
		s.sendProbeMessage(from, &reportpb.Report{ProbeAnswer: m.Probe})
	case m.ProbeAnswer != 0:
		s.p.homes.health.echoed(core.DaemonID(m.Daemon), core.Time(m.ProbeAnswer))
	default:
		return false
	}
	return true
}

// sendProbeMessage sends a liveness check or an answer to one. The stamp is for daemons of earlier
// versions, which take the datagram for a report: a report without one would make them date this
// daemon's next reports too early.
func (s *peers) sendProbeMessage(to net.Addr, m *reportpb.Report) (sent bool) {
	m.Daemon, m.Stamp = string(s.p.settings.Daemon), int64(now())
	data, err := proto.Marshal(m)
	if err != nil {
		s.p.log.Error("liveness check cannot be encoded", "error", err.Error())
		return false
	}
	if _, err := s.conn.WriteTo(data, to); err != nil {
		s.p.stats.reportsUnsent.Add(1)
		return false
	}
	return true
}
