package correlate

// Progress is the state of a Confirmation.
type Progress uint8

// The states of a Confirmation.
const (
	// Pending: further answers are needed.
	Pending Progress = iota
	// Dropped: the answer just judged was surplus, and further ones are needed.
	Dropped
	// Confirmed: the unproved answer, or the one that has superseded it, belongs to the request.
	Confirmed
	// Superseded: the answer just judged belongs to the request, the unproved one to an earlier request. The
	// rest of the marker's answers are still to come.
	Superseded
	// Refuted: no answer is known to belong to the request.
	Refuted
)

// Confirmation judges the answers that follow an unproved one up to the end of a marker.
type Confirmation struct {
	matcher  *Matcher
	request  Expected
	unproved Answer
	// remaining are the expected answers to the marker's requests.
	remaining []Expected
	// unmoved is set if the peer's log must end where it did at the unproved answer.
	unmoved bool
}

// Confirm begins the confirmation of an unproved answer to the request. expected are the answers to the
// requests that follow it.
func (m *Matcher) Confirm(request Expected, unproved Answer, expected []Expected) *Confirmation {
	// The answer to a request that committed may be lost, with a repeated refusal in its place.
	unmoved := request.Commits && unproved.Kind == Refusal && m.mayBeRepeated(unproved)
	return &Confirmation{matcher: m, request: request, unproved: unproved, remaining: expected, unmoved: unmoved}
}

// Judge returns the state after the next answer.
func (c *Confirmation) Judge(a Answer) Progress {
	accepted := c.accepts(a)
	switch {
	case accepted && c.unmoved && a.Position != c.unproved.Position:
		c.matcher.outOfStep = true
		return Refuted
	case accepted:
		c.matcher.given[a.Kind] = true
		c.remaining = c.remaining[1:]
		if len(c.remaining) == 0 {
			return Confirmed
		}
		return Pending
	}
	switch {
	case a.Kind == Receipt && c.matcher.isRepeated(a), a.Kind == Greeting:
		return Dropped
	case a.Kind == Receipt && c.request.Kind == Receipt && !a.InTransaction && c.matcher.mayBeRepeated(c.unproved):
		c.request, c.unmoved = Expected{Kind: Nothing}, false
		return Superseded
	case a.Kind == c.unproved.Kind && a.Content == c.unproved.Content:
		// One of the two answers the request, and both say the same.
		return Dropped
	}
	c.matcher.outOfStep = true
	return Refuted
}

// accepts reports whether the answer fits the marker's next request. A busy peer may refuse to begin a
// transaction, as it refused the request. Another refusal could be the answer to the request.
func (c *Confirmation) accepts(a Answer) bool {
	e := c.remaining[0]
	switch a.Kind {
	case Acknowledgement:
		return a.InTransaction == e.InTransaction
	case Refusal:
		return e.InTransaction && (c.unproved.Kind == Report || a.Content == c.unproved.Content)
	}
	return false
}
