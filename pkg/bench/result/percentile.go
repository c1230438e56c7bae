package result

import (
	"math"
	"slices"
	"time"
)

// Percentile returns the value at the nearest rank, 0 of no values. q is a
// share, such as 0.99.
func Percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Milliseconds converts d.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Microseconds converts d.
func Microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Median returns the middle value, 0 of no values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Share is part of whole, 0 of none.
func Share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
