package control

import (
	"fmt"
	"net/netip"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/gossip"
)

func (s *simulation) identity(i int, addr netip.AddrPort) fleet.Daemon {
	zone := i % s.options.Zones
	region := zone * s.options.Regions / s.options.Zones
	return fleet.Daemon{
		ID:           core.DaemonID(fmt.Sprintf("limpetspan-%d-%04d", zone, i)),
		Zone:         core.Zone(fmt.Sprintf("region-%d-zone-%d", region, zone)),
		Region:       core.Region(fmt.Sprintf("region-%d", region)),
		PeerAddr:     fmt.Sprintf("10.%d.%d.%d:7400", zone, i>>8, i&255),
		GossipAddr:   addr.String(),
		OperatorAddr: fmt.Sprintf("10.%d.%d.%d:7401", zone, i>>8, i&255),
		Incarnation:  firstIncarnation,
	}
}

// declareGroups makes groups of three members in three zones of one region.
func (s *simulation) declareGroups() {
	perRegion := max(1, s.options.Zones/s.options.Regions)
	for i := range s.size.groups {
		region := i % s.options.Regions
		g := membership.Group{ID: core.GroupID(fmt.Sprintf("group-%05d", i))}
		for z := range min(3, perRegion) {
			g.Zones = append(g.Zones, core.Zone(fmt.Sprintf("region-%d-zone-%d", region, region*perRegion+z)))
		}
		s.groups = append(s.groups, g)
		s.terms = append(s.terms, 2)
	}
}

// prepare encodes what a daemon learns when it joins.
func (s *simulation) prepare() ([][]byte, error) {
	a := membership.NewAssignment()
	codec := gossip.NewCodec(s.options.Key)
	const perDatagram = 5
	var messages []membership.Message
	add := func() *membership.Message {
		messages = append(messages, membership.Message{Kind: membership.KindEntries, From: "preparation"})
		return &messages[len(messages)-1]
	}
	for i, d := range s.daemons {
		if i%perDatagram == 0 {
			add()
		}
		m := membership.Daemon{
			ID: d.self.ID, Zone: d.self.Zone, Region: d.self.Region, PeerAddr: d.self.PeerAddr,
			GossipAddr: d.self.GossipAddr, OperatorAddr: d.self.OperatorAddr, Incarnation: firstIncarnation,
		}
		a.Add(&m)
		last := &messages[len(messages)-1]
		last.Daemons = append(last.Daemons, membership.DaemonUpdate{Daemon: m, Full: true})
	}
	a.SetGroups(s.groups)
	for i, g := range s.groups {
		if i%perDatagram == 0 {
			add()
		}
		last := &messages[len(messages)-1]
		last.Homes = append(last.Homes, membership.Home{Group: g.ID, Term: 2, Daemon: a.Candidates(nil, g.ID)[0], Primary: primaryOf(g.ID)})
	}
	var prepared [][]byte
	for i := range messages {
		b, err := codec.Encode(nil, &messages[i])
		if err != nil {
			return nil, err
		}
		prepared = append(prepared, b)
	}
	return prepared, nil
}

func primaryOf(g core.GroupID) core.MemberID { return core.MemberID(g) + "-member-1" }
