package health

import "limpetspan/core"

// maxAdmitted is the number of links that are opened at the same time to a peer that is up again, above
// which the number is not limited any more. An entry has a few dozen sessions.
const maxAdmitted = 32

// admission limits how many links are opened at the same time to a peer whose backoff has ended. All
// sessions of all entries wait for that, and a peer with 0.134 of a core that they ask at once answers
// none of them in time. It ends after DialFloor: a session must not wait for longer than opening a link
// may take.
type admission struct {
	// limit is the number of links, 0 if there is no limit. dialing is the number of those being opened.
	limit, dialing int
	until          core.Time
}

// admit begins to limit the links to the peer.
func (p *peer) admit(now core.Time) {
	p.admission = admission{limit: 1, until: now.Add(DialFloor)}
}

// isFull reports whether no link to the peer is to be opened for the moment.
func (t *Table) isFull(now core.Time, id core.DaemonID) bool {
	a := &t.peer(id).admission
	return a.limit > 0 && now < a.until && a.dialing >= a.limit
}

// BeginDial records that a session opens a link to the peer. It returns false if it is not to. If counted
// is set, the session reports the outcome with EndDial.
func (t *Table) BeginDial(now core.Time, id core.DaemonID) (counted, ok bool) {
	if t.isFull(now, id) {
		return false, false
	}
	a := &t.peer(id).admission
	if a.limit == 0 || now >= a.until {
		return false, true
	}
	a.dialing++
	return true, true
}

// EndDial records the outcome of a counted attempt to open a link. Each link that is opened doubles the
// limit.
func (t *Table) EndDial(id core.DaemonID, opened bool) {
	a := &t.peer(id).admission
	a.dialing = max(0, a.dialing-1)
	if opened {
		a.limit *= 2
	}
	if a.limit > maxAdmitted {
		*a = admission{}
	}
}
