// Package spread derives pseudo-random numbers from names. They are the same in every process. They
// serve to choose daemons, on which all processes have to agree, and to spread delays that must not
// end everywhere at the same moment.
package spread

import "hash/fnv"

// Unit returns a number between 0 and 1, both excluded, that depends only on the names.
func Unit(names ...string) float64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(name))
	}
	// FNV maps names that differ only at their end to hashes that are close together. Mixing the
	// bits spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}
