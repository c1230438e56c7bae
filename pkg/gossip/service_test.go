package gossip_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/gossip"
	"limpetspan/pkg/gossip/memnet"
)

// bound is generous: it only ends a test that would otherwise hang.
const bound = 30 * time.Second

// quick makes the protocol fast enough for a test in real time.
func quick() membership.Settings {
	s := membership.DefaultSettings()
	s.ProbeInterval = 50 * time.Millisecond
	s.AckTimeout = 20 * time.Millisecond
	s.ProbeTimeout = 50 * time.Millisecond
	s.GossipInterval = 10 * time.Millisecond
	s.SyncInterval = 200 * time.Millisecond
	s.DiscoveryInterval = 200 * time.Millisecond
	return s
}

type running struct {
	*gossip.Service
	stop func()
}

func start(o gossip.Options) running {
	o.Settings = quick()
	s, err := gossip.New(o)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop := func() {
		cancel()
		Eventually(done, bound).Should(Receive())
	}
	DeferCleanup(cancel)
	return running{s, stop}
}

func self(i int) fleet.Daemon {
	return fleet.Daemon{
		ID: core.DaemonID(fmt.Sprintf("d%d", i)), Zone: core.Zone(fmt.Sprintf("z%d", i%4)), Region: "r",
		PeerAddr: fmt.Sprintf("10.9.0.%d:7000", i), OperatorAddr: fmt.Sprintf("10.9.0.%d:7001", i),
	}
}

func startFleet(n int, o gossip.Options, listen func() gossip.Transport) []running {
	var all []running
	for i := range n {
		o := o
		o.Self, o.Transport = self(i), listen()
		if i > 0 {
			o.Seeds = []string{all[0].Self().GossipAddr}
		}
		all = append(all, start(o))
	}
	for _, s := range all {
		Eventually(func() int { return len(s.Daemons()) }, bound).Should(Equal(n))
	}
	return all
}

func udp() gossip.Transport {
	t, err := gossip.ListenUDP("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return t
}

var _ = Describe("Service", func() {
	It("forms a signed fleet over UDP and agrees on homes, candidates and watchers", func() {
		all := startFleet(6, gossip.Options{Key: []byte("secret")}, udp)
		groups := []membership.Group{{ID: "g1"}, {ID: "g2"}}
		var news atomic.Int64
		all[5].Subscribe(func(c fleet.Change) {
			if len(c.Homes) > 0 {
				news.Add(1)
			}
		})
		for _, s := range all {
			s.SetGroups(groups)
		}
		all[0].AnnounceHome(fleet.Home{Group: "g1", Term: 2, Daemon: "d0", Primary: "m"})
		all[1].AnnounceLeaving("10.1.1.1:5432", true)
		for _, s := range all {
			Eventually(func() core.DaemonID { h, _ := s.Home("g1"); return h.Daemon }, bound).Should(Equal(core.DaemonID("d0")))
			Eventually(func() bool { return s.TargetLeaving("10.1.1.1:5432") }, bound).Should(BeTrue())
			Expect(s.Candidates("g1")).To(HaveLen(membership.CandidateCount))
			Eventually(func() []core.DaemonID { return ids(s.Candidates("g2")) }, bound).Should(Equal(ids(all[0].Candidates("g2"))))
			Expect(s.Watchers()).To(HaveLen(membership.WatcherCount))
		}
		Eventually(news.Load, bound).Should(BeNumerically(">", 0))
		for _, c := range all[0].Candidates("g1") {
			for _, s := range all {
				if s.Self().ID == c.ID {
					Expect(s.Assignment()).To(ContainElement(core.GroupID("g1")))
				}
			}
		}
	})

	It("survives loss and latency, and buries and readmits a daemon", func() {
		net := memnet.New(1, 0.05, time.Millisecond)
		all := startFleet(8, gossip.Options{}, net.Listen)
		addr := all[3].Self().GossipAddr
		all[3].stop()
		Eventually(func() int { return len(all[0].Daemons()) }, bound).Should(Equal(7))
		start(gossip.Options{Self: self(3), Transport: net.ListenAt(netip.MustParseAddrPort(addr)), Seeds: []string{all[1].Self().GossipAddr}})
		Eventually(func() int { return len(all[0].Daemons()) }, bound).Should(Equal(8))
	})

	It("finds the fleet through the platform's host list when the seeds are gone", func() {
		net := memnet.New(2, 0, 0)
		first := startFleet(2, gossip.Options{}, net.Listen)
		late := start(gossip.Options{
			Self: self(9), Transport: net.Listen(), Seeds: []string{"10.200.0.1:7946"},
			Hosts: func(context.Context) ([]netip.AddrPort, error) {
				return []netip.AddrPort{netip.MustParseAddrPort(first[1].Self().GossipAddr)}, nil
			},
		})
		Eventually(func() int { return len(late.Daemons()) }, bound).Should(Equal(3))
	})

	It("refuses settings that could not be spread", func() {
		_, err := gossip.New(gossip.Options{Self: fleet.Daemon{}})
		Expect(err).To(MatchError(ContainSubstring("daemon id is empty")))
		_, err = gossip.New(gossip.Options{Self: self(1), Seeds: []string{"localhost"}})
		Expect(err).To(MatchError(ContainSubstring("seed is not IP:port")))
	})
})

func ids(daemons []fleet.Daemon) []core.DaemonID {
	var list []core.DaemonID
	for _, d := range daemons {
		list = append(list, d.ID)
	}
	return list
}
