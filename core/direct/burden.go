package direct

import (
	"time"

	"limpetspan/core"
)

// Burden is how overloaded a host is as a home, in steps. Each step halves the share of groups and
// sessions that the host gets. The zero value is that of a host that is not overloaded.
type Burden uint8

// Parameters of the burden.
const (
	// maxBurden leaves an overloaded host a quarter of its share, so that its load still shows
	// whether it has recovered.
	maxBurden Burden = 2
	// burdenRaiseUse is the use of a host's capacity from which callers wait for it, burdenLowerUse
	// the use at which twice the share is still well below that.
	burdenRaiseUse = 0.85
	burdenLowerUse = 0.4
	// burdenRaiseDelay is how long the use must be high before the burden rises. It is longer than a
	// host is frozen and than a burst builds up connections. burdenLowerDelay is how long it must be
	// low before the burden falls: a few periods in which load varies. Together they bound the writes
	// to the store to one in five seconds.
	burdenRaiseDelay = 5 * time.Second
	burdenLowerDelay = 30 * time.Second
)

// BurdenMeter derives a host's burden from its use.
type BurdenMeter struct {
	burden Burden
	// highSince and lowSince are the times since which the use has been high or low without a break;
	// 0 if it is not.
	highSince, lowSince core.Time
}

// Observe records the use of the host's capacity since the last observation, from 0 to 1, and returns
// the burden.
func (m *BurdenMeter) Observe(now core.Time, use float64) Burden {
	m.highSince = since(m.highSince, now, use >= burdenRaiseUse)
	m.lowSince = since(m.lowSince, now, use <= burdenLowerUse)
	switch {
	case m.highSince != 0 && now.Sub(m.highSince) >= burdenRaiseDelay && m.burden < maxBurden:
		m.burden++
		m.highSince = now
	case m.lowSince != 0 && now.Sub(m.lowSince) >= burdenLowerDelay && m.burden > 0:
		m.burden--
		m.lowSince = now
	}
	return m.burden
}

// since returns the time since which a condition has held, given that it holds now or does not.
func since(before, now core.Time, holds bool) core.Time {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

// homeWeight is the daemon's weight in the choice of homes: its computing power, reduced by its
// burden.
func (d Daemon) homeWeight() float64 { return d.Weight / float64(uint(1)<<min(d.Burden, maxBurden)) }

// homeScore is rankScore with the daemon's weight as a home.
func homeScore(group core.GroupID, d Daemon) float64 {
	d.Weight = d.homeWeight()
	return rankScore(group, d)
}
