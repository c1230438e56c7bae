package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"time"

	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/gossip/gossippb"
)

// The head of a datagram.
const (
	magic0, magic1 = 'l', 's'
	version        = 1
	headSize       = 4
	macSize        = sha256.Size
	flagSigned     = 1
)

// Errors of Codec.Decode.
var (
	ErrNotGossip = errors.New("gossip: not a gossip datagram")
	ErrVersion   = errors.New("gossip: unknown version of the envelope")
	ErrUnsigned  = errors.New("gossip: datagram is not signed with the fleet's key")
	ErrMalformed = errors.New("gossip: malformed message")
	ErrTooLarge  = errors.New("gossip: message exceeds a datagram")
)

// Codec turns messages into datagrams and back. It reuses its memory and is
// not safe for concurrent use.
type Codec struct {
	mac hash.Hash
	sum [macSize]byte
	out gossippb.Message
	// Pools of the messages nested in out.
	pulls   []*gossippb.Pull
	daemons []*gossippb.Daemon
	homes   []*gossippb.Home
	targets []*gossippb.Target
}

// NewCodec returns a codec that signs and checks with the key; empty: neither.
func NewCodec(key []byte) *Codec {
	c := &Codec{}
	if len(key) > 0 {
		c.mac = hmac.New(sha256.New, key)
	}
	return c
}

// Encode appends the datagram of m to dst.
func (c *Codec) Encode(dst []byte, m *membership.Message) ([]byte, error) {
	start := len(dst)
	var flags byte
	if c.mac != nil {
		flags = flagSigned
	}
	dst = append(dst, magic0, magic1, version, flags)
	if c.mac != nil {
		dst = append(dst, c.sum[:]...)
	}
	body := len(dst)
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, c.toProto(m))
	if err != nil {
		return dst[:start], fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(dst)-start > membership.MaxDatagramBytes {
		return dst[:start], ErrTooLarge
	}
	if c.mac != nil {
		copy(dst[start+headSize:], c.sign(dst[body:]))
	}
	return dst, nil
}

func (c *Codec) sign(body []byte) []byte {
	c.mac.Reset()
	_, _ = c.mac.Write([]byte{version})
	_, _ = c.mac.Write(body)
	return c.mac.Sum(c.sum[:0])
}

// Decode reads a datagram into m, which keeps nothing of b.
func (c *Codec) Decode(b []byte, m *membership.Message) error {
	if len(b) < headSize || b[0] != magic0 || b[1] != magic1 {
		return ErrNotGossip
	}
	if b[2] != version {
		return ErrVersion
	}
	signed := b[3]&flagSigned != 0
	b = b[headSize:]
	if signed {
		if len(b) < macSize {
			return ErrNotGossip
		}
	}
	if c.mac != nil {
		if !signed || !hmac.Equal(b[:macSize], c.sign(b[macSize:])) {
			return ErrUnsigned
		}
	}
	if signed {
		b = b[macSize:]
	}
	var in gossippb.Message
	if err := proto.Unmarshal(b, &in); err != nil {
		return ErrMalformed
	}
	fromProto(&in, m)
	return nil
}

func (c *Codec) toProto(m *membership.Message) *gossippb.Message {
	o := &c.out
	o.Kind, o.From, o.ConfigRevision, o.Seq = uint32(m.Kind), string(m.From), m.ConfigRevision, m.Seq
	o.Target, o.WantRecord, o.Root, o.Buckets = string(m.Target), m.WantRecord, m.Root, m.Buckets
	o.Pulls = o.Pulls[:0]
	for i := range m.Pulls {
		p := pooled(&c.pulls, i)
		p.Bucket, p.Known = m.Pulls[i].Bucket, m.Pulls[i].Known
		o.Pulls = append(o.Pulls, p)
	}
	o.Daemons = o.Daemons[:0]
	for i := range m.Daemons {
		u, p := &m.Daemons[i], pooled(&c.daemons, i)
		p.Id, p.Incarnation, p.State = string(u.ID), u.Incarnation, uint32(u.State)
		p.Record, p.Remembered, p.Full = u.Record, u.Remembered, u.Full
		p.Zone, p.Region, p.Weight = string(u.Zone), string(u.Region), u.Weight
		p.PeerAddr, p.GossipAddr, p.OperatorAddr = u.PeerAddr, u.GossipAddr, u.OperatorAddr
		o.Daemons = append(o.Daemons, p)
	}
	o.Homes = o.Homes[:0]
	for i := range m.Homes {
		h, p := &m.Homes[i], pooled(&c.homes, i)
		p.Group, p.Term, p.Daemon = string(h.Group), uint64(h.Term), string(h.Daemon)
		p.Primary, p.Released = string(h.Primary), h.Released
		o.Homes = append(o.Homes, p)
	}
	o.Targets = o.Targets[:0]
	for i := range m.Targets {
		t, p := &m.Targets[i], pooled(&c.targets, i)
		p.Addr, p.Version, p.Leaving, p.Ttl = t.Addr, t.Version, t.Leaving, uint32(t.TTL/time.Second)
		o.Targets = append(o.Targets, p)
	}
	return o
}

// pooled returns the i-th message of a pool that grows on demand.
func pooled[T any](pool *[]*T, i int) *T {
	if i == len(*pool) {
		*pool = append(*pool, new(T))
	}
	return (*pool)[i]
}

func fromProto(in *gossippb.Message, m *membership.Message) {
	*m = membership.Message{
		Kind: membership.Kind(min(in.Kind, maxKind)), From: core.DaemonID(in.From),
		ConfigRevision: in.ConfigRevision, Seq: in.Seq, Target: core.DaemonID(in.Target),
		WantRecord: in.WantRecord, Root: in.Root, Buckets: in.Buckets,
		Pulls: m.Pulls[:0], Daemons: m.Daemons[:0], Homes: m.Homes[:0], Targets: m.Targets[:0],
	}
	for _, p := range in.Pulls {
		m.Pulls = append(m.Pulls, membership.Pull{Bucket: p.Bucket, Known: p.Known})
	}
	for _, p := range in.Daemons {
		m.Daemons = append(m.Daemons, membership.DaemonUpdate{
			Daemon: membership.Daemon{
				ID: core.DaemonID(p.Id), Zone: core.Zone(p.Zone), Region: core.Region(p.Region),
				PeerAddr: p.PeerAddr, GossipAddr: p.GossipAddr, OperatorAddr: p.OperatorAddr,
				Weight: p.Weight, State: membership.State(min(p.State, maxState)), Incarnation: p.Incarnation,
			},
			Full: p.Full, Record: p.Record, Remembered: p.Remembered,
		})
	}
	for _, p := range in.Homes {
		m.Homes = append(m.Homes, membership.Home{
			Group: core.GroupID(p.Group), Term: core.Term(p.Term), Daemon: core.DaemonID(p.Daemon),
			Primary: core.MemberID(p.Primary), Released: p.Released,
		})
	}
	for _, p := range in.Targets {
		m.Targets = append(m.Targets, membership.Target{
			Addr: p.Addr, Version: p.Version, Leaving: p.Leaving, TTL: time.Duration(p.Ttl) * time.Second,
		})
	}
}

// Values above these are not defined; they are kept from wrapping around to a
// defined one.
const (
	maxKind  = 255
	maxState = 255
)
