package takeover

import "strconv"

// isLaterMarker reports whether change marker a is after b. Markers are integers
// or texts that sort as they are.
func isLaterMarker(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	if errA == nil && errB == nil {
		return x > y
	}
	return a > b
}

// LatestMarker returns the later of two change markers; empty is the earliest.
func LatestMarker(a, b string) string {
	if a == "" || b != "" && isLaterMarker(b, a) {
		return b
	}
	return a
}
