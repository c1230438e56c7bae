package gossip_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/gossip"
)

func sample() *membership.Message {
	return &membership.Message{
		Kind: membership.KindDigest, From: "d1", ConfigRevision: 7, Seq: 9, Target: "d2", WantRecord: true, Root: 3,
		Buckets: []uint32{1, 2}, Pulls: []membership.Pull{{Bucket: 4, Known: []uint32{5}}},
		Daemons: []membership.DaemonUpdate{{Full: true, Record: 6, Daemon: membership.Daemon{
			ID: "d3", Zone: "z", Region: "r", PeerAddr: "p", GossipAddr: "10.0.0.1:1", OperatorAddr: "o", Weight: 2, State: membership.Suspect, Incarnation: 8}}},
		Homes:   []membership.Home{{Group: "g", Term: 2, Daemon: "d", Primary: "m", Released: true}},
		Targets: []membership.Target{{Addr: "t", Leaving: true, Version: 3, TTL: time.Minute}},
	}
}

var _ = Describe("Codec", func() {
	It("returns what was encoded", func() {
		for _, key := range [][]byte{nil, []byte("k")} {
			c := gossip.NewCodec(key)
			b, err := c.Encode(nil, sample())
			Expect(err).NotTo(HaveOccurred())
			var m membership.Message
			Expect(c.Decode(b, &m)).To(Succeed())
			Expect(&m).To(Equal(sample()))
		}
	})

	It("refuses what is not signed with the key, was changed, or is no gossip", func() {
		b, _ := gossip.NewCodec([]byte("k")).Encode(nil, sample())
		plain, _ := gossip.NewCodec(nil).Encode(nil, sample())
		c := gossip.NewCodec([]byte("other"))
		var m membership.Message
		Expect(c.Decode(b, &m)).To(MatchError(gossip.ErrUnsigned))
		Expect(c.Decode(plain, &m)).To(MatchError(gossip.ErrUnsigned))
		b[len(b)-1] ^= 1
		Expect(gossip.NewCodec([]byte("k")).Decode(b, &m)).To(MatchError(gossip.ErrUnsigned))
		Expect(c.Decode([]byte("GET / HTTP/1.1"), &m)).To(MatchError(gossip.ErrNotGossip))
		plain[2] = 9
		Expect(c.Decode(plain, &m)).To(MatchError(gossip.ErrVersion))
	})

	// The reducer fills messages by estimated sizes. An estimate below the true
	// size would make messages that fit no datagram: the updates in them would
	// never reach another daemon.
	It("fits every message that the reducer fills into a datagram", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			name := rapid.StringOfN(rapid.RuneFrom([]rune("abcdefgh0123456789")), 1, membership.MaxNameBytes, -1)
			var effects membership.Effects
			r := membership.New()
			settings := membership.DefaultSettings()
			self := membership.Daemon{ID: "self-" + core.DaemonID(name.Draw(t, "self")[:1]), Incarnation: 1 << 61, GossipAddr: "10.0.0.1:1"}
			r.Reduce(0, &membership.Start{Self: self, Settings: settings, Seed: rapid.Uint64().Draw(t, "seed")}, &effects)
			codec := gossip.NewCodec([]byte("k"))
			for i := range rapid.IntRange(1, 40).Draw(t, "news") {
				m := &membership.Message{From: core.DaemonID(name.Draw(t, "from")), ConfigRevision: 1 << 62}
				m.Daemons = []membership.DaemonUpdate{{Full: true, Daemon: membership.Daemon{
					ID: core.DaemonID(name.Draw(t, "id")), Zone: core.Zone(name.Draw(t, "zone")), Region: core.Region(name.Draw(t, "region")),
					PeerAddr: name.Draw(t, "peer"), GossipAddr: "10.0.0.2:2", OperatorAddr: name.Draw(t, "operator"),
					Weight: 16, Incarnation: 1<<62 - 1}}}
				m.Homes = []membership.Home{{Group: core.GroupID(name.Draw(t, "group")), Term: 1<<62 - 1,
					Daemon: core.DaemonID(name.Draw(t, "daemon")), Primary: core.MemberID(name.Draw(t, "primary")), Released: true}}
				m.Targets = []membership.Target{{Addr: name.Draw(t, "target"), Version: 1<<62 - 1, TTL: time.Hour}}
				m.Kind = membership.Kind(rapid.IntRange(0, 7).Draw(t, "kind"))
				if m.Kind == membership.KindPull {
					m.Pulls = []membership.Pull{{Bucket: uint32(i)}}
				}
				effects.Reset()
				r.Reduce(core.Time(i)*core.Time(time.Second), &membership.Received{From: netip.MustParseAddrPort("10.0.0.9:9"), Message: m}, &effects)
				for j := range effects.Sends {
					if _, err := codec.Encode(nil, &effects.Sends[j].Message); err != nil {
						t.Fatalf("%v", err)
					}
				}
			}
		})
	})
})

// FuzzReceive feeds datagrams to a daemon: none may crash it, change its own
// identity, or make it send more than a bounded number of answers.
func FuzzReceive(f *testing.F) {
	codec := gossip.NewCodec(nil)
	for kind := membership.KindUpdate; kind <= membership.KindDigestMatch; kind++ {
		m := sample()
		m.Kind = kind
		b, err := codec.Encode(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("ls\x01\x00"))
	f.Add([]byte("ls\x01\x01short"))
	f.Add([]byte(strings.Repeat("ls\x01\x00", 300)))
	f.Fuzz(func(t *testing.T, b []byte) {
		codec := gossip.NewCodec(nil)
		r := membership.New()
		var effects membership.Effects
		self := membership.Daemon{ID: "self", Incarnation: 5, GossipAddr: "10.0.0.1:1"}
		r.Reduce(0, &membership.Start{Self: self, Settings: membership.DefaultSettings()}, &effects)
		var m membership.Message
		if codec.Decode(b, &m) != nil {
			return
		}
		for i := range 3 {
			effects.Reset()
			r.Reduce(core.Time(i)*core.Time(time.Second), &membership.Received{From: netip.MustParseAddrPort("10.0.0.9:9"), Message: &m}, &effects)
			if len(effects.Sends) > 100 {
				t.Fatalf("%d answers to one datagram", len(effects.Sends))
			}
			for j := range effects.Sends {
				if _, err := codec.Encode(nil, &effects.Sends[j].Message); err != nil {
					t.Fatal(err)
				}
			}
		}
		if r.Self().ID != "self" {
			t.Fatal("identity changed")
		}
	})
}
