package control

import (
	"net/netip"
	"sync/atomic"

	"limpetspan/pkg/gossip"
)

// transport is a daemon's transport that delivers prepared datagrams first,
// which give the daemon the view it would have after hours of running, and
// that can be cut off from others.
type transport struct {
	gossip.Transport
	prepared [][]byte
	next     int
	// blocked tells whether an address is out of reach now.
	blocked *atomic.Pointer[func(from, to netip.AddrPort) bool]
}

func (t *transport) Receive(b []byte) (int, netip.AddrPort, error) {
	if t.next < len(t.prepared) {
		n := copy(b, t.prepared[t.next])
		t.next++
		return n, t.LocalAddr(), nil
	}
	t.prepared = nil
	return t.Transport.Receive(b)
}

func (t *transport) Send(to netip.AddrPort, b []byte) error {
	if f := t.blocked.Load(); f != nil && (*f)(t.LocalAddr(), to) {
		return nil // lost on the way, which the sender does not notice
	}
	return t.Transport.Send(to, b)
}
