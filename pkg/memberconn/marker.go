package memberconn

import (
	"math/rand/v2"

	"limpetspan/core/correlate"
	"limpetspan/platform"
)

// markerStatement is the name and the shape of the prepared statement of markers.
const markerStatement = "marker"

// stepTexts are the statements of a marker's steps.
var stepTexts = [...]string{
	correlate.BeginRead:  platform.TextBeginRead,
	correlate.Rollback:   platform.TextRollback,
	correlate.Prepare:    platform.TextPrepare(markerStatement, false, markerStatement),
	correlate.Deallocate: platform.TextDeallocate(markerStatement),
}

// pairSteps is the number of statements of a pair.
const pairSteps = 2

// appendPair appends a statement that is prepared and dropped to out, and their answers outside a transaction
// to expected.
func (m *Conn) appendPair(expected []correlate.Expected) []correlate.Expected {
	for _, step := range [pairSteps]correlate.Step{correlate.Prepare, correlate.Deallocate} {
		m.out = platform.AppendProxyStatement(m.out, stepTexts[step])
		expected = append(expected, step.Expected())
	}
	return expected
}

// appendMarker appends the statements of a new marker to out, and their answers to expected.
func (m *Conn) appendMarker(expected []correlate.Expected) []correlate.Expected {
	marker := correlate.Marker(rand.N(1 << correlate.MarkerBits))
	for _, step := range marker.Steps() {
		m.out = platform.AppendProxyStatement(m.out, stepTexts[step])
		expected = append(expected, step.Expected())
	}
	return expected
}
