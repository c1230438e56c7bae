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
const MarkerBits = 4

// Marker is a sequence of requests that are executed outside a transaction. Each of its bits is a pair of
// requests: an empty transaction, or a statement that is prepared and dropped.
type Marker uint8

// Steps returns the requests of the marker in order.
func (m Marker) Steps() [2 * MarkerBits]Step {
	var steps [2 * MarkerBits]Step
	for i := range MarkerBits {
		pair := [2]Step{Prepare, Deallocate}
		if m>>i&1 == 1 {
			pair = [2]Step{BeginRead, Rollback}
		}
		steps[2*i], steps[2*i+1] = pair[0], pair[1]
	}
	return steps
}
