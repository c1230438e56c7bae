package gossip

import (
	"fmt"
	"net"
	"net/netip"
)

// Transport moves datagrams, which may be lost, doubled or reordered.
type Transport interface {
	// Send sends one datagram and keeps nothing of b.
	Send(to netip.AddrPort, b []byte) error
	// Receive waits for a datagram; net.ErrClosed after Close.
	Receive(b []byte) (n int, from netip.AddrPort, err error)
	// LocalAddr is the address that others send to.
	LocalAddr() netip.AddrPort
	Close() error
}

type udpTransport struct{ conn *net.UDPConn }

// ListenUDP opens a UDP socket at an IP:port text; port 0 picks a free one.
func ListenUDP(addr string) (Transport, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: address %q is not IP:port: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	return &udpTransport{conn: conn}, nil
}

func (t *udpTransport) Send(to netip.AddrPort, b []byte) error {
	_, err := t.conn.WriteToUDPAddrPort(b, to)
	return err
}

func (t *udpTransport) Receive(b []byte) (int, netip.AddrPort, error) {
	n, from, err := t.conn.ReadFromUDPAddrPort(b)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err
}

func (t *udpTransport) LocalAddr() netip.AddrPort {
	a := t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (t *udpTransport) Close() error { return t.conn.Close() }
