// Package spread draws numbers that differ between names and are the same in every
// process: for the choice of daemons, on which all have to agree, and for pauses that must
// not end everywhere in one moment.
package spread

import "hash/fnv"

// Unit is a number between 0 and 1, both excluded, that depends on the names alone.
func Unit(names ...string) float64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(name))
	}
	// FNV leaves names that differ at their end close together; this spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}
