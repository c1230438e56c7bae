package membership

import (
	"fmt"
	"testing"

	"limpetspan/core"
)

// plannedFleet returns a fleet of the planned size: 1,700 daemons and 2,800 groups in
// four regions.
func plannedFleet() ([]Daemon, []Group) {
	var daemons []Daemon
	for i := range 1700 {
		z := i % 12
		daemons = append(daemons, Daemon{ID: core.DaemonID(fmt.Sprintf("limpetspan-%04d", i)), Zone: core.Zone(fmt.Sprintf("zone-%d", z)), Region: core.Region(fmt.Sprintf("region-%d", z/3))})
	}
	var groups []Group
	for i := range 2800 {
		r := i % 4
		g := Group{ID: core.GroupID(fmt.Sprintf("group-%d", i))}
		for z := range 3 {
			g.Zones = append(g.Zones, core.Zone(fmt.Sprintf("zone-%d", 3*r+z)))
		}
		groups = append(groups, g)
	}
	return daemons, groups
}

// BenchmarkAssignment measures the removal and addition of a daemon, and a full
// computation, at the planned fleet size.
func BenchmarkAssignment(b *testing.B) {
	daemons, groups := plannedFleet()
	b.Run("arrival and departure", func(b *testing.B) {
		a := buildAssignment(groups, daemons)
		for i := 0; b.Loop(); i++ {
			d := &daemons[i%len(daemons)]
			a.Remove(d.ID)
			a.Flush()
			a.Add(d)
			a.Flush()
			clear(a.changed)
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			a := NewAssignment()
			for i := range daemons {
				a.Add(&daemons[i])
			}
			a.SetGroups(groups)
		}
	})
}
