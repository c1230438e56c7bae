package correlate

import (
	"hash/maphash"
	"slices"
)

// Kind is what an answer consists of.
type Kind uint8

// The kinds of answers.
const (
	// Receipt: the request ran, and the answer names the run.
	Receipt Kind = iota
	// Acknowledgement: the request was executed, and the answer names nothing.
	Acknowledgement
	// Report: rows without a receipt.
	Report
	// Refusal: an error.
	Refusal
	// Greeting: the answer to the opening of the connection.
	Greeting
	// Nothing is expected while no request is outstanding.
	Nothing
	kinds
)

// String returns the kind's name in metrics and log lines.
func (k Kind) String() string {
	switch k {
	case Receipt:
		return "receipt"
	case Acknowledgement:
		return "acknowledgement"
	case Report:
		return "report"
	case Refusal:
		return "refusal"
	case Greeting:
		return "greeting"
	case Nothing:
		return "nothing"
	}
	return "unknown"
}

// Answer is what a Matcher looks at.
type Answer struct {
	Kind Kind
	// Content is the receipt, the code of the refusal or the first row of the report.
	Content string
	// InTransaction is set if a transaction is open after the request.
	InTransaction bool
	// Position is the end of the peer's log after the request.
	Position string
}

// Expected is the answer to a request that was executed. InTransaction counts only for an
// acknowledgement. Commits is set if the request, once executed, moves the end of the peer's log.
type Expected struct {
	Kind                   Kind
	InTransaction, Commits bool
}

// Verdict says to which request an answer belongs.
type Verdict uint8

// The verdicts.
const (
	// Own: the answer belongs to the request, or has the same meaning for it.
	Own Verdict = iota
	// Surplus: the answer belongs to an earlier request.
	Surplus
	// Unproved: the answer belongs to the request or to an earlier one. A Marker tells which.
	Unproved
)

// RememberedReceipts is the number of receipts that a Matcher remembers.
const RememberedReceipts = 1024

// Matcher matches the answers of one connection. Its zero value is ready for use.
type Matcher struct {
	// seen holds the hashes of the last receipts, the oldest one at next once it is full.
	seen []uint64
	next int
	// given are the kinds of the connection's answers so far, refusals the numbers of its refusals by content.
	given    [kinds]bool
	refusals map[string]int
	// outOfStep is set once an answer was surplus and no repeat.
	outOfStep bool
}

var hashSeed = maphash.MakeSeed()

// Judge returns the verdict about the next answer of the connection.
func (m *Matcher) Judge(e Expected, a Answer) Verdict {
	repeated := m.isRepeated(a)
	v := judge(e, a, repeated)
	if v == Surplus && !repeated {
		m.outOfStep = true
	}
	m.given[a.Kind] = true
	if a.Kind == Refusal {
		m.countRefusal(a.Content)
	}
	return v
}

// maxRefusals bounds the contents of refusals that a Matcher counts. The others count as repeated.
const maxRefusals = 32

func (m *Matcher) countRefusal(content string) {
	if m.refusals == nil {
		m.refusals = make(map[string]int)
	}
	if _, known := m.refusals[content]; known || len(m.refusals) < maxRefusals {
		m.refusals[content]++
	}
}

// mayBeRepeated reports whether the refusal that was judged last can be the repeat of an earlier one.
func (m *Matcher) mayBeRepeated(refusal Answer) bool { return m.refusals[refusal.Content] != 1 }

func judge(e Expected, a Answer, repeated bool) Verdict {
	switch {
	case e.Kind == Nothing, a.Kind == Receipt && repeated:
		return Surplus
	case a.Kind == Refusal:
		return Unproved
	case a.Kind != e.Kind:
		return Surplus
	case a.Kind == Acknowledgement && a.InTransaction != e.InTransaction:
		return Surplus
	case a.Kind == Report:
		return Unproved
	}
	return Own
}

// isRepeated reports whether the answer can be the repeat of an earlier one. Only a receipt names it.
func (m *Matcher) isRepeated(a Answer) bool {
	if a.Kind == Receipt {
		return m.isReceiptRepeated(a.Content)
	}
	return a.Kind == Greeting || m.given[a.Kind]
}

// isReceiptRepeated reports whether the receipt was given before, and remembers it.
func (m *Matcher) isReceiptRepeated(receipt string) bool {
	h := maphash.String(hashSeed, receipt)
	if slices.Contains(m.seen, h) {
		return true
	}
	if len(m.seen) < RememberedReceipts {
		m.seen = append(m.seen, h)
		return false
	}
	m.seen[m.next] = h
	m.next = (m.next + 1) % RememberedReceipts
	return false
}

// InStep reports whether each answer so far belonged to a request. A connection that is not in step ends with
// the request or transaction in progress.
func (m *Matcher) InStep() bool { return !m.outOfStep }
