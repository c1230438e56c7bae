package direct_test

import (
	"testing"

	"limpetspan/core"
	"limpetspan/core/direct"
)

// BenchmarkPlacePrimary measures the cost of a statement for the primary in the reducer before the
// statement is sent: its placement and the check of the lease.
func BenchmarkPlacePrimary(b *testing.B) {
	s := newScript()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.g.Place(s.at, direct.Requirement{Primary: true, Arrived: s.at}); !ok || !s.g.HasLease(s.at) {
			b.Fatal("no lease")
		}
	}
}

// BenchmarkPlaceShared measures the cost of placing a read by the load of eight homes.
func BenchmarkPlaceShared(b *testing.B) {
	s := sharedScript()
	for _, id := range []core.DaemonID{"d2", "d3", "d4", "d5", "d6", "d7", "d8"} {
		s.peerRuns(id, 0.3, 0.2, 0.2)
	}
	req := s.read(10_000 * ms)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.g.Place(s.at, req); !ok {
			b.Fatal("no member")
		}
	}
}

// BenchmarkHomeOrder measures the cost of choosing the order of daemons when an entry in a fleet of
// 300 opens a link.
func BenchmarkHomeOrder(b *testing.B) {
	all := daemons(6, 50)
	homes := direct.Homes("g", 131, fleetOf(len(all), all))
	b.ReportAllocs()
	for b.Loop() {
		if len(direct.HomeOrder("g", "d0-7", "0", homes, all)) != len(all)-1 {
			b.Fatal("daemons are missing")
		}
	}
}
