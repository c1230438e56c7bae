package pipeline

import "fmt"

// OutOfTurnError is the error of an answer that belongs to another request than the one that awaits
// one, or to none.
type OutOfTurnError struct {
	// Expected is the number of the request that awaits an answer, 0 if there is none.
	Expected uint64
	// Received is the number of the answer, 0 if it has none.
	Received uint64
}

func (e *OutOfTurnError) Error() string {
	if e.Expected == 0 {
		return fmt.Sprintf("answer %d came while no request awaits one", e.Received)
	}
	return fmt.Sprintf("answer %d came in place of answer %d", e.Received, e.Expected)
}

// Requests matches the answers on a connection to its requests. The zero value is that of a connection
// without numbered answers.
type Requests struct {
	numbered bool
	// sent and answered are the numbers of the last request and of the last request whose answer was
	// read to its end.
	sent, answered uint64
	// reading is set while an accepted answer has not been read to its end.
	reading bool
	broken  bool
}

// NewRequests returns the Requests of a new connection.
func NewRequests(numbered bool) Requests { return Requests{numbered: numbered} }

// Numbered reports whether answers have numbers.
func (r *Requests) Numbered() bool { return r.numbered }

// Sent records that the next n requests are about to be sent.
func (r *Requests) Sent(n int) { r.sent += uint64(n) }

// Accept decides whether the answer that begins belongs to the oldest request without one. number is
// ignored if answers have none.
func (r *Requests) Accept(number uint64) error {
	expected := r.Expected()
	if !r.numbered {
		number = expected
	}
	if expected == 0 || number != expected {
		r.broken = true
		return &OutOfTurnError{Expected: expected, Received: number}
	}
	r.reading = true
	return nil
}

// Complete records that the accepted answer has been read to its end.
func (r *Requests) Complete() {
	if r.reading && !r.broken {
		r.reading = false
		r.answered++
	}
}

// Expected returns the number of the request that awaits an answer, 0 if there is none.
func (r *Requests) Expected() uint64 {
	if r.broken || r.reading || r.answered == r.sent {
		return 0
	}
	return r.answered + 1
}

// Idle reports whether all requests have their answers.
func (r *Requests) Idle() bool { return !r.broken && !r.reading && r.answered == r.sent }

// Answers numbers the answers of a server on one connection. The zero value is that of a connection
// without numbered answers.
type Answers struct {
	numbered bool
	last     uint64
}

// NewAnswers returns the Answers of a new connection.
func NewAnswers(numbered bool) Answers { return Answers{numbered: numbered} }

// Next returns the number of the answer to the next request. ok is false if answers have none.
func (a *Answers) Next() (number uint64, ok bool) {
	if !a.numbered {
		return 0, false
	}
	a.last++
	return a.last, true
}
