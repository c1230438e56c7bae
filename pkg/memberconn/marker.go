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

// beginSteps are the statements behind a BEGIN that show that its transaction is open.
var beginSteps = [...]correlate.Step{correlate.Prepare, correlate.Deallocate, correlate.Prepare, correlate.Deallocate}

// appendBeginSteps appends the statements behind a BEGIN to out, and returns their answers for a BEGIN that is
// refused.
func (m *Conn) appendBeginSteps() (refused []correlate.Expected) {
	for _, step := range beginSteps {
		m.out = platform.AppendProxyStatement(m.out, stepTexts[step])
		refused = append(refused, step.Expected())
	}
	return refused
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
