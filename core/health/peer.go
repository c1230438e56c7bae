package health

import (
	"time"

	"limpetspan/core"
)

// Bounds of the times that are derived from observations.
const (
	// OverdueFloor and OverdueCeiling bound the silence after which a check starts. In between, it is
	// overdueFactor times the peer's median response time. With a lower floor each statement of usual
	// length (a median of 30 ms was observed) would start a check, with a higher ceiling a lost home
	// would hold its callers for longer than a retry elsewhere takes.
	OverdueFloor   = 40 * time.Millisecond
	OverdueCeiling = 100 * time.Millisecond
	overdueFactor  = 1.5
	// SilenceFloor and SilenceCeiling bound the silence towards echoes after which a peer is lost. In
	// between, it is silenceFactor times the slowest recent echoes. The floor exceeds a pause of 100 ms
	// by a processor quota. The ceiling is the silence that was tolerated before there were echoes.
	SilenceFloor   = 120 * time.Millisecond
	SilenceCeiling = 400 * time.Millisecond
	silenceFactor  = 1.5
	// echoesPerCheck is the number of echoes that have to be unanswered. If one datagram in ten is
	// lost, a live peer is lost from sight in one of 700 checks with it (4 echoes, each lost in one of
	// the two directions).
	echoesPerCheck = 4
	// RecheckInterval is the least time between two checks of a peer that answers.
	RecheckInterval = 100 * time.Millisecond
	// lateStep is how much later than planned a step may run before this process counts as paused.
	lateStep = 15 * time.Millisecond
	// PauseGrace is how long the verdict is postponed after a pause of this process, in which its
	// receive loop reads the answers that have arrived meanwhile. maxPostponements bounds how often.
	PauseGrace       = 30 * time.Millisecond
	maxPostponements = 3
	// SelfEchoTimeout bounds how long the verdict is postponed until this daemon has read an echo to
	// itself, which waits in its socket behind the answers that have arrived. It exceeds a pause of 187 ms,
	// which a goroutine takes that misses one run period at 0.134 of a core.
	SelfEchoTimeout = 200 * time.Millisecond
	// selfEchoInterval is the time between echoes to this daemon itself. The first one is read within a
	// millisecond if no answers wait.
	selfEchoInterval = 4 * time.Millisecond
	// DialFloor and DialCeiling bound the time for opening a link, which includes the handshake. In
	// between, it is dialFactor times the slowest recent ones.
	DialFloor   = 300 * time.Millisecond
	DialCeiling = time.Second
	dialFactor  = 3
	// maxDialTimeouts is the number of links in a row that a peer may fail to open in time while it
	// answers echoes.
	maxDialTimeouts = 3
)

// Cause is why a peer is in backoff.
type Cause uint8

// The causes of a backoff.
const (
	// Silent: the peer did not answer echoes.
	Silent Cause = iota
	// Unreachable: a connection was refused, as nothing listens there.
	Unreachable
	// DialSlow: links could not be opened in time, although echoes were answered.
	DialSlow
	// Refused: the peer accepts no sessions.
	Refused
)

// String returns the cause as it is logged.
func (c Cause) String() string {
	return [...]string{"silent", "unreachable", "slow to connect", "refused"}[c]
}

// endsWithEcho reports whether an answered echo disproves the cause.
func (c Cause) endsWithEcho() bool { return c == Silent || c == Unreachable }

// peer is what is known of one peer.
type peer struct {
	// heardAt is when it last answered anything.
	heardAt core.Time
	// median estimates the median response time to statements; echoPeak and dialPeak are the slowest
	// recent echoes and openings of links. All are 0 if unknown.
	median, echoPeak, dialPeak time.Duration
	// dialTimeouts counts links in a row that were not opened in time.
	dialTimeouts int
	// answersEchoes is set once it has answered an echo. Daemons of earlier versions do not.
	answersEchoes bool
	// cause is why it failed last. lostAt is when it was found silent, 0 if it has been heard since.
	// downSince is when it was last usable.
	cause             Cause
	lostAt, downSince core.Time
	check             *check
	// checkedAt is when the last check ended.
	checkedAt core.Time
	admission admission
}

// check is a running check of a peer.
type check struct {
	began, dueAt, deadline core.Time
	postponements          int
	// unsent is set if one of its echoes could not be sent.
	unsent bool
	// selfEchoAt is when the first echo to this daemon itself was sent after the deadline, 0 if none was.
	selfEchoAt core.Time
}

// peakDecay is the share by which a peak moves towards a lower observation. A peak is halved after
// five of them.
const peakDecay = 8

func updatePeak(peak *time.Duration, observed time.Duration) {
	if observed >= *peak {
		*peak = observed
		return
	}
	*peak -= (*peak - observed) / peakDecay
}

// medianStep is the share by which the median estimate moves with each observation.
const medianStep = 16

// updateMedian moves the estimate by a fixed share towards the observation, so that half of the
// observations lie on either side.
func updateMedian(median *time.Duration, observed time.Duration) {
	switch step := *median/medianStep + 1; {
	case *median == 0:
		*median = observed
	case observed > *median:
		*median += step
	case observed < *median:
		*median -= step
	}
}

// overdueAfter returns the silence after which a check starts.
func (p *peer) overdueAfter() time.Duration {
	return min(OverdueCeiling, max(OverdueFloor, time.Duration(overdueFactor*float64(p.median))))
}

// lostAfter returns the silence towards echoes after which the peer is lost.
func (p *peer) lostAfter() time.Duration {
	return min(SilenceCeiling, max(SilenceFloor, time.Duration(silenceFactor*float64(p.echoPeak))))
}

func (p *peer) dialLimit() time.Duration {
	return min(DialCeiling, max(DialFloor, dialFactor*p.dialPeak))
}
