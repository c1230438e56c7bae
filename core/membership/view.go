package membership

import (
	"time"

	"limpetspan/core"
)

// Daemon returns the record of a daemon.
func (r *Reducer) Daemon(id core.DaemonID) (Daemon, bool) {
	m := r.members[id]
	if m == nil {
		return Daemon{}, false
	}
	return m.Daemon, true
}

// Self returns the record of this daemon.
func (r *Reducer) Self() Daemon {
	if r.self == nil {
		return Daemon{}
	}
	return r.self.Daemon
}

// Daemons appends all daemons that are not dead, including this one, in no
// particular order.
func (r *Reducer) Daemons(dst []Daemon) []Daemon {
	if r.self == nil {
		return dst
	}
	dst = append(dst, r.self.Daemon)
	for _, m := range r.live.list {
		dst = append(dst, m.Daemon)
	}
	return dst
}

// Home returns the newest known home of a group.
func (r *Reducer) Home(group core.GroupID) (Home, bool) {
	h := r.homes[group]
	if h == nil {
		return Home{}, false
	}
	return h.Home, true
}

// TargetLeaving reports whether the target host is known to be leaving.
func (r *Reducer) TargetLeaving(addr string) bool {
	t := r.targets[addr]
	return t != nil && t.Leaving
}

// Assignment returns the candidates; it must not be modified.
func (r *Reducer) Assignment() *Assignment { return r.assignment }

// RootDigest returns the digest of the whole view; it is equal in equal views.
func (r *Reducer) RootDigest() uint64 { return r.digest.root() }

// A view that never matched another one counts as complete readyDelay after the
// start, or readyAloneDelay after it if no other live daemon is known.
const (
	readyAloneDelay = 5 * time.Second
	readyDelay      = 30 * time.Second
)

// Ready reports whether the view is complete enough to act on behalf of the fleet.
// A daemon that has just started knows few others and would conclude that it has to
// watch the store; when a zone restarts, all its daemons would.
func (r *Reducer) Ready(now core.Time) bool {
	age := now.Sub(r.startedAt)
	return r.sync.synced || age >= readyDelay || age >= readyAloneDelay && len(r.live.list) == 0
}

// LiveCount returns the number of daemons that are not dead, including this one.
func (r *Reducer) LiveCount() int { return len(r.live.list) + 1 }

// IsIdle reports whether there is no update left to send.
func (r *Reducer) IsIdle() bool { return !r.hasUpdates() }

// LeavingTargets returns the addresses of the leaving target hosts.
func (r *Reducer) LeavingTargets() map[string]struct{} {
	leaving := map[string]struct{}{}
	for addr, t := range r.targets {
		if t.Leaving {
			leaving[addr] = struct{}{}
		}
	}
	return leaving
}
