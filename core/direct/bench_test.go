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
		if _, ok := s.g.Place(s.at, direct.Need{Primary: true, Arrived: s.at}); !ok || !s.g.Leased(s.at) {
			b.Fatal("no lease")
		}
	}
}
