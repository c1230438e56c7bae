package takeover

import "strconv"

// isLaterMarker reports whether change marker a is later than b. Markers are
// integers, or strings in lexical order.
func isLaterMarker(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	if errA == nil && errB == nil {
		return x > y
	}
	return a > b
}

// LatestMarker returns the later of two change markers; an empty one is the
// earliest.
func LatestMarker(a, b string) string {
	if a == "" || b != "" && isLaterMarker(b, a) {
		return b
	}
	return a
}
