package health

import (
	"time"

	"limpetspan/core"
)

// Table holds what one daemon knows of the health of all others. It is not safe for concurrent use.
type Table struct {
	peers map[core.DaemonID]*peer
	// down holds backoffs of peers, groups those of groups that a peer refused, and teams those of
	// teams whose operations a peer declined to count.
	down   backoffs[core.DaemonID]
	groups backoffs[groupAt]
	teams  backoffs[teamAt]
	// selfEchoed is when the last echo was sent that this daemon has read from itself.
	selfEchoed core.Time
}

type groupAt struct {
	group core.GroupID
	peer  core.DaemonID
}

type teamAt struct {
	team core.TeamID
	peer core.DaemonID
}

// NewTable returns a table in which all peers are considered alive.
func NewTable() *Table {
	return &Table{
		peers: make(map[core.DaemonID]*peer), down: make(backoffs[core.DaemonID]),
		groups: make(backoffs[groupAt]), teams: make(backoffs[teamAt]),
	}
}

func (t *Table) peer(id core.DaemonID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// Retain forgets all peers that keep does not accept.
func (t *Table) Retain(keep func(core.DaemonID) bool) {
	for id := range t.peers {
		if !keep(id) {
			delete(t.peers, id)
			delete(t.down, id)
		}
	}
	for k := range t.groups {
		if !keep(k.peer) {
			delete(t.groups, k)
		}
	}
	for k := range t.teams {
		if !keep(k.peer) {
			delete(t.teams, k)
		}
	}
}

// Answered records that the peer has answered a statement that took so long. It returns whether
// this ended a backoff.
func (t *Table) Answered(now core.Time, id core.DaemonID, took time.Duration) (revived bool) {
	p := t.peer(id)
	updateMedian(&p.median, took)
	p.heardAt = now
	// An answer on an open link does not tell whether the peer accepts new ones.
	return p.cause == Silent && t.revive(now, id)
}

// Echoed records the answer to an echo that was sent at the given time. It returns whether this ended
// a backoff.
func (t *Table) Echoed(now core.Time, id core.DaemonID, sent core.Time) (revived bool) {
	took := now.Sub(sent)
	if took < 0 {
		return false
	}
	p := t.peer(id)
	updatePeak(&p.echoPeak, min(took, SilenceCeiling))
	p.answersEchoes = true
	if took > SilenceCeiling {
		// It was alive when it answered, which may be long ago.
		return false
	}
	p.heardAt = now
	return p.cause.endsWithEcho() && t.revive(now, id)
}

// Connected records that a link was opened, which took so long. It returns whether this ended a
// backoff.
func (t *Table) Connected(now core.Time, id core.DaemonID, took time.Duration) (revived bool) {
	p := t.peer(id)
	updatePeak(&p.dialPeak, took)
	p.heardAt, p.dialTimeouts = now, 0
	if !t.revive(now, id) {
		return false
	}
	t.Replaced(id)
	return true
}

// Replaced records that another version may run at the peer from now on, which may answer no echoes: it
// is leaving, has closed a link, or accepts sessions again.
func (t *Table) Replaced(id core.DaemonID) { t.peer(id).answersEchoes = false }

// Alive records that the peer has answered a request for its configuration after it answered no echoes.
// It returns whether this ended a backoff.
func (t *Table) Alive(now core.Time, id core.DaemonID) (revived bool) {
	p := t.peer(id)
	p.heardAt, p.answersEchoes = now, false
	return p.cause.endsWithEcho() && t.revive(now, id)
}

// HeardSince reports whether the peer has answered anything since the given time.
func (t *Table) HeardSince(id core.DaemonID, since core.Time) bool {
	return t.peer(id).heardAt >= since
}

// NeedsFirstEcho reports whether it is unknown if the peer answers echoes.
func (t *Table) NeedsFirstEcho(id core.DaemonID) bool { return !t.peer(id).answersEchoes }

func (t *Table) revive(now core.Time, id core.DaemonID) bool {
	if t.down[id] == nil {
		return false
	}
	delete(t.down, id)
	p := t.peer(id)
	p.lostAt = 0
	if p.cause != DialSlow {
		// Nobody waits for a peer that is slow to connect.
		p.admit(now)
	}
	return true
}

// Failed records a verdict that the peer cannot be used.
func (t *Table) Failed(now core.Time, id core.DaemonID, cause Cause) {
	p := t.peer(id)
	if t.down[id] == nil {
		p.downSince = now
	}
	p.cause, p.dialTimeouts, p.admission = cause, 0, admission{}
	switch cause {
	case Silent:
		p.lostAt = now
	case Unreachable:
		t.Replaced(id)
	}
	t.down.fail(now, id)
}

// DialTimedOut records that a link was not opened in time, although the peer is not known to be lost.
// It returns whether the peer is to be considered slow to connect because of it. The cause of a backoff
// that the peer is in stays: this is a failed trial.
func (t *Table) DialTimedOut(now core.Time, id core.DaemonID) (slow bool) {
	if t.down[id] != nil {
		t.down.fail(now, id)
		return false
	}
	p := t.peer(id)
	p.dialTimeouts++
	return p.dialTimeouts >= maxDialTimeouts
}

// DialLimit returns how long opening a link to the peer may take, with its handshake. remaining is the
// time that the statement has left. If others can be asked, half of it is left for them.
func (t *Table) DialLimit(id core.DaemonID, remaining time.Duration, others bool) time.Duration {
	limit := t.peer(id).dialLimit()
	if others {
		limit = min(limit, max(DialFloor, remaining/2))
	}
	return min(limit, remaining)
}

// GroupRefused records that the peer does not serve the group for now.
func (t *Table) GroupRefused(now core.Time, id core.DaemonID, group core.GroupID) {
	t.groups.fail(now, groupAt{group, id})
}

// GroupAccepted records that the peer has accepted a session of the group.
func (t *Table) GroupAccepted(now core.Time, id core.DaemonID, group core.GroupID) {
	if k := (groupAt{group, id}); t.groups[k] != nil {
		delete(t.groups, k)
		t.peer(id).admit(now)
	}
}

// TeamDeclined records that the peer does not run the team's statements: it does not count the team's
// operations, or is cut off from the primary. The team is empty for sessions without one.
func (t *Table) TeamDeclined(now core.Time, id core.DaemonID, team core.TeamID) {
	t.teams.fail(now, teamAt{team, id})
}

// TeamAccepted records that the peer has run a statement of the team. It returns whether this ended a
// backoff. Before the end of the backoff it does not, unless a session has tried the peer since: the
// statement may be one that the peer would not have declined, such as a read at a peer that is cut off
// from the primary.
func (t *Table) TeamAccepted(now core.Time, id core.DaemonID, team core.TeamID) (revived bool) {
	k := teamAt{team, id}
	b := t.teams[k]
	if b == nil || now < b.until && !b.tried {
		return false
	}
	delete(t.teams, k)
	return true
}

// OwnerNamed records that the peer is said to count the team's operations. It returns whether this
// ended a backoff.
func (t *Table) OwnerNamed(id core.DaemonID, team core.TeamID) (revived bool) {
	k := teamAt{team, id}
	revived = t.teams[k] != nil
	delete(t.teams, k)
	return revived
}

// IsDown reports whether the peer is in backoff, for whatever cause.
func (t *Table) IsDown(id core.DaemonID) bool { return t.down[id] != nil }

// IsLostSince reports whether the peer has been found silent at or after the given time. Other causes
// of a backoff do not end the waits for its answers: a peer that refuses new sessions, or opens links
// slowly, may still answer on those that it has.
func (t *Table) IsLostSince(id core.DaemonID, since core.Time) bool {
	p := t.peer(id)
	return p.lostAt != 0 && p.lostAt >= since
}

// DownPeer describes a peer that is in backoff.
type DownPeer struct {
	Cause string `json:"cause"`
	// DownMs is how long ago it was last usable, BackoffMs the length of its present backoff.
	DownMs    int64 `json:"down_ms"`
	BackoffMs int64 `json:"backoff_ms"`
	// EchoMs is the slowest of its recent echoes, 0 if unknown.
	EchoMs int64 `json:"echo_ms"`
}

// Down describes the peers that are in backoff.
func (t *Table) Down(now core.Time) map[core.DaemonID]DownPeer {
	list := make(map[core.DaemonID]DownPeer, len(t.down))
	for id, b := range t.down {
		p := t.peer(id)
		list[id] = DownPeer{p.cause.String(), now.Sub(p.downSince).Milliseconds(), b.length.Milliseconds(), p.echoPeak.Milliseconds()}
	}
	return list
}

// DownFor returns how long ago the peer was last found lost or refused after it had been usable.
func (t *Table) DownFor(now core.Time, id core.DaemonID) time.Duration {
	return now.Sub(t.peer(id).downSince)
}

// OverdueIn returns in how long the peer is to be checked if a statement that was sent at the given
// time is not answered, at most 0 if it is overdue.
func (t *Table) OverdueIn(now core.Time, id core.DaemonID, sent core.Time) time.Duration {
	p := t.peer(id)
	overdue := max(sent, p.heardAt).Add(p.overdueAfter())
	return max(overdue, p.checkedAt.Add(RecheckInterval)).Sub(now)
}
