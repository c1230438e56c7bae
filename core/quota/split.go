package quota

import (
	"slices"

	"limpetspan/core"
)

// Part is the part of a team's limit that the holder of a key may give out.
type Part int

const (
	// Whole is the whole limit: the limits of the fleet are not split.
	Whole Part = iota
	// FirstPart belongs to the holder of a slot, SecondPart to the holder of its second slot.
	FirstPart
	SecondPart
)

// Shares of the parts.
const (
	// secondRateShare is the second part's share of the rate. The first part keeps more than the
	// 0.6 of a limit that teams usually use, including a variation of the load by a sixth, so that
	// calm teams stay at one home.
	secondRateShare = 0.3
	// secondBurstShare is the second part's share of the burst. When the first holder is lost, a second
	// holder that has held its slot for a window and whose bucket is full has this many operations,
	// which bridge most of LeaseTTL for a team at 0.6 of its limit whose burst is two seconds of its
	// rate. Until its key records the use of the burst it gives out only the unreported part.
	secondBurstShare = 0.5
	// firstMinBurst is the number of operations of a burst that the first part keeps before the
	// second part gets more than one. With less, the operations of a small team would often find
	// no token at the first holder.
	firstMinBurst = 8.0
	// secondSlackShare is the second part's share of the slack, from which the start tokens of a
	// holder are taken.
	secondSlackShare = 0.25
)

// Second returns the slot's second slot, whose holder gives out the second parts of the limits of
// the slot's teams. Slots from SlotCount on belong to no team of their own, so a daemon that does
// not know second slots ignores their keys.
func (s Slot) Second() Slot { return s + SlotCount }

// IsSecond reports whether the slot is a second slot.
func (s Slot) IsSecond() bool { return s >= SlotCount }

// first returns the slot whose second slot this is.
func (s Slot) first() Slot { return s - SlotCount }

// Of returns the part of the limit. Each part of a limit that allows operations allows one at a
// time: the bursts of both parts add up to at most one operation more than the whole burst.
func (l Limit) Of(p Part) Limit {
	second := max(min(l.Burst, 1), min(secondBurstShare*l.Burst, l.Burst-firstMinBurst))
	switch p {
	case FirstPart:
		return Limit{Rate: (1 - secondRateShare) * l.Rate, Burst: max(min(l.Burst, 1), l.Burst-second)}
	case SecondPart:
		return Limit{Rate: secondRateShare * l.Rate, Burst: second}
	}
	return l
}

// Of returns the tolerance of the part.
func (t Tolerance) Of(p Part) Tolerance {
	switch p {
	case FirstPart:
		t.Slack *= 1 - secondSlackShare
	case SecondPart:
		t.Slack *= secondSlackShare
	}
	return t
}

// SecondHolder returns the daemon that should hold the second slot of a slot that first holds or
// should hold. order lists the homes that are available for the slot's teams, best first. A single
// home holds both.
func SecondHolder(order []core.DaemonID, first core.DaemonID) core.DaemonID {
	if i := slices.IndexFunc(order, func(d core.DaemonID) bool { return d != first }); i >= 0 {
		return order[i]
	}
	return first
}
