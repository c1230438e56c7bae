// Package memnet is a network of gossip transports in one process, for tests
// and benches: datagrams are lost, delayed and cut off as asked.
package memnet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/pkg/gossip"
)

// queueLength is how many datagrams wait at one transport before more are lost.
const queueLength = 512

// Network connects transports.
type Network struct {
	latency time.Duration
	loss    float64

	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[netip.AddrPort]*node
	nextHost uint32

	// reachable decides whether datagrams pass from one address to another.
	reachable atomic.Pointer[func(from, to netip.AddrPort) bool]
}

// New returns a network that loses the given share of datagrams and delivers
// the others after the latency.
func New(seed uint64, loss float64, latency time.Duration) *Network {
	return &Network{
		latency: latency,
		loss:    loss,
		random:  rand.New(rand.NewPCG(seed, seed)),
		nodes:   map[netip.AddrPort]*node{},
	}
}

// gossipPort is the port of all transports; they differ by address.
const gossipPort = 7946

// Listen returns a transport at a fresh address.
func (n *Network) Listen() gossip.Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextHost++
	h := n.nextHost
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(h >> 16), byte(h >> 8), byte(h)}), gossipPort)
	return n.listenLocked(addr)
}

// ListenAt returns a transport at the address, as a restarted process has it.
func (n *Network) ListenAt(addr netip.AddrPort) gossip.Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listenLocked(addr)
}

func (n *Network) listenLocked(addr netip.AddrPort) gossip.Transport {
	t := &node{network: n, addr: addr, queue: make(chan datagram, queueLength), done: make(chan struct{})}
	n.nodes[addr] = t
	return t
}

// Reachable sets which datagrams pass; nil: all.
func (n *Network) Reachable(f func(from, to netip.AddrPort) bool) {
	if f == nil {
		n.reachable.Store(nil)
		return
	}
	n.reachable.Store(&f)
}

// route returns the receiver; nil when the datagram is lost.
func (n *Network) route(from, to netip.AddrPort) *node {
	if f := n.reachable.Load(); f != nil && !(*f)(from, to) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loss > 0 && n.random.Float64() < n.loss {
		return nil
	}
	return n.nodes[to]
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

type node struct {
	network *Network
	addr    netip.AddrPort
	queue   chan datagram
	done    chan struct{}
	once    sync.Once
}

func (t *node) Send(to netip.AddrPort, b []byte) error {
	receiver := t.network.route(t.addr, to)
	if receiver == nil {
		return nil
	}
	d := datagram{from: t.addr, data: append([]byte(nil), b...)}
	if t.network.latency == 0 {
		receiver.deliver(d)
		return nil
	}
	time.AfterFunc(t.network.latency, func() { receiver.deliver(d) })
	return nil
}

func (t *node) deliver(d datagram) {
	select {
	case t.queue <- d:
	default: // the receiver's buffer is full
	}
}

func (t *node) Receive(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-t.queue:
		return copy(b, d.data), d.from, nil
	case <-t.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (t *node) LocalAddr() netip.AddrPort { return t.addr }

func (t *node) Close() error {
	t.once.Do(func() {
		close(t.done)
		t.network.mu.Lock()
		defer t.network.mu.Unlock()
		if t.network.nodes[t.addr] == t {
			delete(t.network.nodes, t.addr)
		}
	})
	return nil
}
