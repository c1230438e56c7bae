package front

import (
	"encoding/binary"
	"io"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

// answerBuffer is the size of the buffer that collects a small answer, in bytes.
const answerBuffer = 16 << 10

// The backend message types that the front looks at.
const (
	answerParseComplete byte = '1'
	answerCloseComplete byte = '3'
	answerError         byte = 'E'
	answerReady         byte = 'Z'
	answerCopyIn        byte = 'G'
	answerCopyBoth      byte = 'W'
	// readyLen is the size of a ReadyForQuery message.
	readyLen = 6
	// fieldCode is the SQLSTATE field of an ErrorResponse.
	fieldCode = 'C'
)

// answer passes the backend messages of one exchange to the caller. Small
// answers are collected, so that the target's connection is free before the
// caller's socket is written, and the caller gets them in one piece.
type answer struct {
	conn io.Writer
	buf  []byte
	err  error
	// buffered keeps everything in buf until the end.
	buffered bool
	// onError gets the SQLSTATE of each error.
	onError func(state string)

	// The message in progress: its type, how much of it is to come, and its
	// header as far as it arrived.
	kind   byte
	left   int
	header [pgframe.HeaderLen]byte
	got    int

	// What was seen so far.
	parses, closes int
	failed         bool
	// ready is the status of the last ReadyForQuery, 0 if there was none.
	ready byte
}

func (a *answer) reset(conn io.Writer) {
	*a = answer{conn: conn, buf: a.buf[:0]}
}

// Write takes messages of the answer; part of exchange.Writer. Large messages
// may come in pieces.
func (a *answer) Write(messages []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if err := a.track(messages); err != nil {
		return 0, err
	}
	if !a.buffered && len(a.buf)+len(messages) > answerBuffer {
		a.flush()
		if len(messages) >= answerBuffer {
			a.send(messages)
			return len(messages), a.err
		}
	}
	a.buf = append(a.buf, messages...)
	return len(messages), a.err
}

// flush sends what is collected.
func (a *answer) flush() {
	if len(a.buf) > 0 {
		a.send(a.buf)
	}
	a.buf = a.buf[:0]
}

func (a *answer) send(b []byte) {
	if a.err == nil {
		_, a.err = a.conn.Write(b)
	}
}

// complete reports whether the answer stands between two messages.
func (a *answer) complete() bool { return a.left == 0 && a.got == 0 }

// dropReady takes the ReadyForQuery at the end back; buffered must be set.
func (a *answer) dropReady() { a.buf = a.buf[:len(a.buf)-readyLen] }

// track follows the message borders.
func (a *answer) track(b []byte) error {
	for len(b) > 0 {
		if a.left > 0 {
			n := min(a.left, len(b))
			if a.kind == answerReady {
				a.ready = b[n-1]
			}
			a.left -= n
			b = b[n:]
			continue
		}
		n := copy(a.header[a.got:], b)
		a.got += n
		b = b[n:]
		if a.got < pgframe.HeaderLen {
			return nil
		}
		if err := a.begin(b); err != nil {
			return err
		}
	}
	return nil
}

// begin notes a message whose header is complete; body is what follows.
func (a *answer) begin(body []byte) error {
	a.got = 0
	a.kind = a.header[0]
	length := binary.BigEndian.Uint32(a.header[1:])
	if length < 4 || length > 1<<31-1 {
		return errs.New(errs.Internal, core.OutcomeUnknown, stepAnswer, "", "malformed message in an answer")
	}
	a.left = int(length) - 4
	switch a.kind {
	case answerParseComplete:
		a.parses++
	case answerCloseComplete:
		a.closes++
	case answerError:
		a.failed = true
		if a.onError != nil {
			a.onError(sqlState(body[:min(a.left, len(body))]))
		}
	case answerCopyIn, answerCopyBoth:
		return errs.New(errs.Unsupported, core.OutcomeUnknown, stepAnswer, "",
			"COPY FROM STDIN is not carried; use INSERT with several rows or a batch")
	}
	return nil
}

// sqlState finds the code among an ErrorResponse's fields; "unknown" if the
// field is not there or has not arrived yet.
func sqlState(fields []byte) string {
	for len(fields) > 1 && fields[0] != 0 {
		value, rest, ok := cutString(fields[1:])
		if !ok {
			break
		}
		if fields[0] == fieldCode {
			return string(value)
		}
		fields = rest
	}
	return "unknown"
}
