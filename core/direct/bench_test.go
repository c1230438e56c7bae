package direct_test

import (
	"testing"

	"limpetspan/core/direct"
)

// BenchmarkPlacePrimary is what a statement for the primary costs in the reducer
// before it is sent: its place, and the check of the lease.
func BenchmarkPlacePrimary(b *testing.B) {
	s := newScript()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.g.Place(s.at, direct.Requirement{Primary: true, Arrived: s.at}); !ok || !s.g.HasLease(s.at) {
			b.Fatal("no lease")
		}
	}
}

// BenchmarkOrder is what an entry of a fleet of 300 pays to open a link: whom it asks for
// a group, in which order.
func BenchmarkOrder(b *testing.B) {
	all := daemons(6, 50)
	homes := direct.Homes("g", 131, fleetOf(len(all), all))
	b.ReportAllocs()
	for b.Loop() {
		if len(direct.HomeOrder("g", "d0-7", "0", homes, all)) != len(all)-1 {
			b.Fatal("daemons are missing")
		}
	}
}
