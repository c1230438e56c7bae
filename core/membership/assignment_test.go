package membership

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"limpetspan/core"
)

// drawDaemons draws distinct daemons over zones of regions with three zones each.
func drawDaemons(t *rapid.T, maxDaemons int) []Daemon {
	zones := rapid.IntRange(1, 12).Draw(t, "zones")
	var list []Daemon
	for i := range rapid.IntRange(0, maxDaemons).Draw(t, "daemons") {
		z := rapid.IntRange(0, zones-1).Draw(t, "zone")
		list = append(list, Daemon{
			ID:     core.DaemonID(fmt.Sprintf("d%d", i)),
			Zone:   core.Zone(fmt.Sprintf("z%d", z)),
			Region: core.Region(fmt.Sprintf("r%d", z/3)),
			Weight: uint32(rapid.IntRange(0, 3).Draw(t, "weight")),
		})
	}
	return list
}

func drawGroups(t *rapid.T) []Group {
	var groups []Group
	for i := range rapid.IntRange(1, 15).Draw(t, "groups") {
		g := Group{ID: core.GroupID(fmt.Sprintf("g%d", i))}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			g.Zones = append(g.Zones, core.Zone(fmt.Sprintf("z%d", rapid.IntRange(0, 12).Draw(t, "member zone"))))
		}
		groups = append(groups, g)
	}
	return groups
}

func buildAssignment(groups []Group, daemons []Daemon) *Assignment {
	a := NewAssignment()
	a.SetGroups(groups)
	for i := range daemons {
		a.Add(&daemons[i])
	}
	a.Flush()
	return a
}

func candidateLists(a *Assignment, groups []Group) map[core.GroupID][]core.DaemonID {
	all := map[core.GroupID][]core.DaemonID{}
	for _, g := range groups {
		all[g.ID] = a.Candidates([]core.DaemonID{}, g.ID)
	}
	return all
}

var _ = Describe("Assignment", func() {
	It("depends only on the sets of groups and daemons, not on the order of changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			groups, daemons := drawGroups(t), drawDaemons(t, 30)
			a := buildAssignment(groups, daemons)
			b := NewAssignment()
			for _, i := range rapid.Permutation(indices(len(daemons))).Draw(t, "order") {
				d := daemons[i]
				d.Zone = "elsewhere" // corrected below
				b.Add(&d)
				b.Add(&Daemon{ID: d.ID + "x", Zone: daemons[i].Zone, Region: "rx"})
				if i%3 == 0 {
					b.Flush()
				}
			}
			b.SetGroups(groups[:len(groups)/2])
			for _, i := range rapid.Permutation(indices(len(daemons))).Draw(t, "order") {
				b.Remove(daemons[i].ID + "x")
				b.Add(&daemons[i])
				if i%2 == 0 {
					b.Flush()
				}
			}
			b.SetGroups(groups)
			if x, y := fmt.Sprint(candidateLists(a, groups)), fmt.Sprint(candidateLists(b, groups)); x != y {
				t.Fatalf("%s\n%s", x, y)
			}
		})
	})

	It("changes only the candidates of groups that a removed or added daemon affects", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			groups, daemons := drawGroups(t), drawDaemons(t, 30)
			if len(daemons) < 2 {
				return
			}
			a := buildAssignment(groups, daemons)
			before := candidateLists(a, groups)
			a.takeChanged(nil)
			removed := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "gone")]
			a.Remove(removed.ID)
			a.Flush()
			after := candidateLists(a, groups)
			changed := a.takeChanged(nil)
			regionsMoved := !slices.ContainsFunc(daemons, func(d Daemon) bool {
				return d.ID != removed.ID && d.Zone == removed.Zone && d.Region == removed.Region
			})
			for g := range before {
				if slices.Equal(before[g], after[g]) {
					continue
				}
				if !slices.Contains(changed, g) {
					t.Fatalf("the candidates of %s changed without being reported", g)
				}
				if regionsMoved {
					continue // the preferred regions of groups changed with it
				}
				if !slices.Contains(before[g], removed.ID) {
					t.Fatalf("the candidates of %s changed without a reason: %v to %v", g, before[g], after[g])
				}
				rest := slices.DeleteFunc(slices.Clone(before[g]), func(id core.DaemonID) bool { return id == removed.ID })
				kept := 0
				for _, id := range rest {
					if slices.Contains(after[g], id) {
						kept++
					}
				}
				if kept < len(rest) {
					t.Fatalf("%s lost more than %s: %v to %v", g, removed.ID, before[g], after[g])
				}
			}
			a.Add(&removed)
			a.Flush()
			if x, y := fmt.Sprint(before), fmt.Sprint(candidateLists(a, groups)); x != y {
				t.Fatalf("adding the daemon again did not restore the candidates\n%s\n%s", x, y)
			}
		})
	})

	It("spreads the candidates over as many zones as there are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			groups, daemons := drawGroups(t), drawDaemons(t, 30)
			zones := map[core.Zone]bool{}
			zoneOf := map[core.DaemonID]core.Zone{}
			for _, d := range daemons {
				zones[d.Zone], zoneOf[d.ID] = true, d.Zone
			}
			for g, list := range candidateLists(buildAssignment(groups, daemons), groups) {
				used := map[core.Zone]bool{}
				for _, id := range list {
					used[zoneOf[id]] = true
				}
				if len(list) != min(CandidateCount, len(daemons)) || len(used) != min(len(list), len(zones)) {
					t.Fatalf("%s: %v in %d of %d zones", g, list, len(used), len(zones))
				}
			}
		})
	})

	It("prefers the members' regions, shares evenly and respects weights", func() {
		var daemons []Daemon
		for i := range 120 {
			daemons = append(daemons, Daemon{ID: core.DaemonID(fmt.Sprintf("d%d", i)), Weight: uint32(1 + i%2),
				Zone: core.Zone(fmt.Sprintf("z%d", i%12)), Region: core.Region(fmt.Sprintf("r%d", i%12/3))})
		}
		var groups []Group
		for i := range 4000 {
			groups = append(groups, Group{ID: core.GroupID(fmt.Sprintf("g%d", i)), Zones: []core.Zone{"z0", "z1", "z2"}})
		}
		a := buildAssignment(groups, daemons)
		light, heavy := 0, 0
		for i, d := range daemons {
			n := len(a.GroupsOf(d.ID))
			if d.Region != "r0" {
				Expect(n).To(BeZero())
			} else if i%2 == 0 {
				light += n
			} else {
				heavy += n
			}
		}
		// Zones 0 and 2 hold the light daemons, zone 1 the heavy ones. Each zone
		// provides one candidate, so the weight shows only in which is first.
		Expect(light + heavy).To(Equal(3 * len(groups)))
		first := map[core.Zone]int{}
		for _, list := range candidateLists(a, groups) {
			for _, d := range daemons {
				if d.ID == list[0] {
					first[d.Zone]++
				}
			}
		}
		Expect(first["z1"]).To(BeNumerically("~", 2000, 150))
		Expect(first["z0"]).To(BeNumerically("~", 1000, 150))
		Expect(a.Watchers("r1")).To(HaveLen(WatcherCount))
	})
})

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
