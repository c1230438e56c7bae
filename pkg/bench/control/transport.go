package control

import (
	"net/netip"
	"sync/atomic"

	"limpetspan/pkg/gossip"
)

// transport is a daemon's transport that can be cut off from others.
type transport struct {
	gossip.Transport
	// blocked tells whether an address is out of reach now.
	blocked *atomic.Pointer[func(from, to netip.AddrPort) bool]
}

func (t *transport) Send(to netip.AddrPort, b []byte) error {
	if f := t.blocked.Load(); f != nil && (*f)(t.LocalAddr(), to) {
		return nil // lost on the way, which the sender does not notice
	}
	return t.Transport.Send(to, b)
}
