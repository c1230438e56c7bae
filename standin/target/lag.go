package target

import (
	"math/rand/v2"
	"time"

	"limpetspan/core"
)

// Lag says how long after a commit a replica applies it.
type Lag struct {
	// Fixed delays every record.
	Fixed time.Duration `json:"fixed"`
	// Jitter adds a random delay below it, drawn from the group's seed.
	Jitter time.Duration `json:"jitter"`
	// Spike is added during the first SpikeLength of every SpikeEvery since
	// the group started.
	Spike       time.Duration `json:"spike"`
	SpikeEvery  time.Duration `json:"spike_every"`
	SpikeLength time.Duration `json:"spike_length"`
	// Stuck stops the replica from applying anything.
	Stuck bool `json:"stuck"`
}

// of returns the delay of the record that ends at lsn and was committed so
// long after the start of the group. It is a pure function, so that a replica
// which asks twice is told the same.
func (l Lag) of(seed uint64, lsn core.LSN, sinceStart time.Duration) time.Duration {
	delay := l.Fixed
	if l.Jitter > 0 {
		delay += time.Duration(rand.New(rand.NewPCG(seed, uint64(lsn))).Int64N(int64(l.Jitter)))
	}
	if l.SpikeEvery > 0 && sinceStart%l.SpikeEvery < l.SpikeLength {
		delay += l.Spike
	}
	return delay
}

// memberSeed derives a member's seed from the group's.
func memberSeed(seed uint64, id core.MemberID) uint64 {
	for _, b := range []byte(id) {
		seed = seed*fnvPrime ^ uint64(b)
	}
	return seed
}

// fnvPrime is the 64-bit FNV prime.
const fnvPrime = 1099511628211
