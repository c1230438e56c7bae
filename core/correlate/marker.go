package correlate

// Step is a request of a Marker.
type Step uint8

// The steps. Each pair leaves the connection as it was.
const (
	BeginRead Step = iota
	Rollback
	Prepare
	Deallocate
)

// Expected returns the answer to the step.
func (s Step) Expected() Expected {
	return Expected{Kind: Acknowledgement, InTransaction: s == BeginRead}
}

// MarkerBits is the number of random bits in a Marker.
const MarkerBits = 3

// Marker is a sequence of requests that are executed outside a transaction. Each of its bits is a pair of
// requests: an empty transaction, or a statement that is prepared and dropped.
type Marker uint8

// markerSteps is the number of requests in a Marker.
const markerSteps = 2 + 2*MarkerBits

// Steps returns the requests of the marker in order. The first pair cannot be refused, so that a refusal before
// its answers is not one of the marker.
func (m Marker) Steps() [markerSteps]Step {
	steps := [markerSteps]Step{Prepare, Deallocate}
	for i := range MarkerBits {
		pair := [2]Step{Prepare, Deallocate}
		if m>>i&1 == 1 {
			pair = [2]Step{BeginRead, Rollback}
		}
		copy(steps[2+2*i:], pair[:])
	}
	return steps
}
