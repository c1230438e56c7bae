package membership

import (
	"net/netip"
	"time"

	"limpetspan/core"
)

// discovery is how a daemon finds others: at first, and again after regions
// were separated so long that each holds the other for dead.
type discovery struct {
	nextAt core.Time
	seeds  []netip.AddrPort
	// hostList is the platform's host list.
	hostList []netip.AddrPort
	// fastUntil is the end of quicker tries, begun when a dead daemon
	// returned: after a separation the others are back, too.
	fastUntil core.Time
}

const (
	// isolatedInterval is the time between tries while no other daemon is known.
	isolatedInterval = 500 * time.Millisecond
	// fastRetryInterval and fastRetryDuration are the quicker tries of dead daemons.
	fastRetryInterval = 200 * time.Millisecond
	fastRetryDuration = 30 * time.Second
	// maxPickAttempts bounds the search for an address worth a try.
	maxPickAttempts = 8
)

func (c *discovery) startFastRetries(now core.Time) {
	c.fastUntil = now.Add(fastRetryDuration)
	c.nextAt = min(c.nextAt, now.Add(fastRetryInterval))
}

func (r *Reducer) discoveryTick() {
	c := &r.discovery
	if r.now < c.nextAt {
		return
	}
	r.pingDeadMember()
	switch {
	case len(r.live.list) == 0:
		c.nextAt = r.now.Add(isolatedInterval/2 + r.jitter(isolatedInterval))
		r.tryRandomAddress()
		r.tryRandomAddress()
	case r.now < c.fastUntil && len(r.dead.list) > 0:
		c.nextAt = r.now.Add(fastRetryInterval)
	default:
		c.nextAt = r.now.Add(r.settings.DiscoveryInterval/2 + r.jitter(r.settings.DiscoveryInterval))
		r.tryRandomAddress()
	}
}

// pingDeadMember pings one remembered dead daemon and tells it that it is held for
// dead: if it lives, it refutes that and all learn that it is back.
func (r *Reducer) pingDeadMember() {
	for range maxPickAttempts {
		if len(r.dead.list) == 0 {
			return
		}
		m := r.dead.list[r.random.IntN(len(r.dead.list))]
		if m.leftPlanned {
			continue
		}
		r.probe.seq++
		msg := r.newMessage(m.addr, KindPing)
		msg.Seq = r.probe.seq
		msg.Target = m.ID
		r.appendAccusation(msg, m)
		msg.Daemons = append(msg.Daemons, r.self.fullUpdate())
		return
	}
}

// tryRandomAddress asks a random seed or listed host that belongs to no live daemon.
func (r *Reducer) tryRandomAddress() {
	c := &r.discovery
	total := len(c.seeds) + len(c.hostList)
	for range maxPickAttempts {
		if total == 0 {
			return
		}
		addr := r.addressAt(r.random.IntN(total))
		if r.isLiveAddress(addr) {
			continue
		}
		m := r.requestDigest(addr)
		m.Daemons = append(m.Daemons, r.self.fullUpdate())
		return
	}
}

func (r *Reducer) addressAt(i int) netip.AddrPort {
	if i < len(r.discovery.seeds) {
		return r.discovery.seeds[i]
	}
	return r.discovery.hostList[i-len(r.discovery.seeds)]
}

func (r *Reducer) isLiveAddress(addr netip.AddrPort) bool {
	if !addr.IsValid() || addr == r.self.addr {
		return true
	}
	for _, m := range r.live.list {
		if m.addr == addr {
			return true
		}
	}
	return false
}
