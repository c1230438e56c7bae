package membership

import (
	"net/netip"
	"time"

	"limpetspan/core"
)

// discovery finds other daemons: at the start, and again after a partition of
// regions that lasted so long that each side considers the other dead.
type discovery struct {
	nextAt core.Time
	seeds  []netip.AddrPort
	// hostList is the platform's host list, as gossip addresses.
	hostList []netip.AddrPort
	// fastUntil is the end of a period of faster retries. The period begins when
	// a dead daemon returns, because after a partition the others return too.
	fastUntil core.Time
}

const (
	// isolatedInterval is the time between attempts while no other daemon is known.
	isolatedInterval = 500 * time.Millisecond
	// fastRetryInterval is the time between pings of dead daemons for
	// fastRetryDuration after one of them returned.
	fastRetryInterval = 200 * time.Millisecond
	fastRetryDuration = 30 * time.Second
	// maxPickAttempts bounds the random draws for a suitable daemon or address.
	maxPickAttempts = 8
)

func (d *discovery) startFastRetries(now core.Time) {
	d.fastUntil = now.Add(fastRetryDuration)
	d.nextAt = min(d.nextAt, now.Add(fastRetryInterval))
}

func (r *Reducer) discoveryTick() {
	d := &r.discovery
	if r.now < d.nextAt {
		return
	}
	r.pingDeadMember()
	switch {
	case len(r.live.list) == 0:
		d.nextAt = r.now.Add(isolatedInterval/2 + r.jitter(isolatedInterval))
		r.tryRandomAddress()
		r.tryRandomAddress()
	case r.now < d.fastUntil && len(r.dead.list) > 0:
		d.nextAt = r.now.Add(fastRetryInterval)
	default:
		d.nextAt = r.now.Add(r.settings.DiscoveryInterval/2 + r.jitter(r.settings.DiscoveryInterval))
		r.tryRandomAddress()
	}
}

// pingDeadMember pings one remembered dead daemon and includes the state
// recorded for it. If the daemon is alive, it refutes that state, and the
// refutation is disseminated.
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

// tryRandomAddress sends a digest request to a random seed or listed host that
// does not belong to a live daemon.
func (r *Reducer) tryRandomAddress() {
	d := &r.discovery
	total := len(d.seeds) + len(d.hostList)
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
