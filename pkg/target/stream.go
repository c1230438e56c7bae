package target

import (
	"errors"
	"fmt"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

// passing are the messages of an answer that need no look: they are passed on
// as they come. Every other type ends a chunk.
var passing = pgframe.Types(string([]byte{
	msgDataRow, msgCopyData, msgRowDescription, msgParseComplete, msgBindComplete,
	msgCloseComplete, msgNoData, msgParameterDescription, msgCopyOutResponse, msgCopyDone,
}))

// body are the messages after which an answer has begun for good, so that it
// cannot be replaced by that of another run.
var body = pgframe.Types(string([]byte{
	msgDataRow, msgCopyData, msgCopyOutResponse, msgFunctionCallResponse, msgCommandComplete,
}))

var stops = complement(passing)

func complement(t pgframe.TypeSet) pgframe.TypeSet {
	for i := range t {
		t[i] = ^t[i]
	}
	return t
}

// stream is the state of an answer under way.
type stream struct {
	// begun: a message of body was seen.
	begun bool
	// holding: nothing is written to Out any more.
	holding bool
	// open: a message that comes in pieces is not complete; discard drops it.
	open, discard bool
}

// readGroups reads as many ReadyForQuery messages as the messages asked for, and
// passes on what is the caller's.
func (r *Runner) readGroups() error {
	for group := 0; group < len(r.Plan.groups); {
		r.flushBeforeWait()
		chunk, err := r.reader.Chunk(stops)
		if err != nil {
			return err
		}
		ended, err := r.take(&chunk, group)
		if err != nil {
			return err
		}
		if ended {
			group++
		}
	}
	r.conn.txStatus = r.answer.TxStatus
	return nil
}

// take handles one chunk and reports whether it ended a group.
func (r *Runner) take(chunk *pgframe.Chunk, group int) (bool, error) {
	if r.stream.open {
		return false, r.takePiece(chunk)
	}
	if intersects(&chunk.Types, &body) {
		r.stream.begun = true
		r.answer.Rows = r.answer.Rows || chunk.Types.Has(msgDataRow) || chunk.Types.Has(msgCopyData)
	}
	if passing.Has(chunk.Last) {
		r.stream.open = chunk.Partial
		r.emit(chunk.Bytes)
		return false, nil
	}
	r.emit(chunk.Bytes[:chunk.LastStart])
	return r.takeLast(chunk, group)
}

func (r *Runner) takePiece(chunk *pgframe.Chunk) error {
	r.stream.open = chunk.Partial
	if !r.stream.discard {
		r.emit(chunk.Bytes)
	}
	if !chunk.Partial {
		r.stream.discard = false
	}
	return nil
}

// takeLast handles the message that ended a chunk because of its type.
func (r *Runner) takeLast(chunk *pgframe.Chunk, group int) (bool, error) {
	message := pgframe.Message(chunk.Bytes[chunk.LastStart:])
	switch chunk.Last {
	case msgParameterStatus, msgNotificationResponse:
		// They belong to the connection, which is not the caller's.
		r.stream.open, r.stream.discard = chunk.Partial, chunk.Partial
		return false, nil
	case msgNoticeResponse:
		r.stream.open = chunk.Partial
		r.emit(message)
		return false, nil
	case msgErrorResponse:
		return false, r.takeError(message, chunk.Partial)
	}
	if chunk.Partial {
		return false, fmt.Errorf("message %q of more than %d bytes", chunk.Last, readBuffer)
	}
	switch chunk.Last {
	case msgCommandComplete:
		r.takeResult(message)
		return false, nil
	case msgEmptyQueryResponse, msgPortalSuspended, msgFunctionCallResponse:
		r.stream.begun = true
		r.emit(message)
		return false, nil
	case msgCopyInResponse:
		return false, r.refuseCopy(group)
	case msgReadyForQuery:
		return true, r.takeReady(message)
	default:
		return false, fmt.Errorf("%w: message %q has no place in an answer", ErrOutOfStep, chunk.Last)
	}
}

func (r *Runner) takeResult(message pgframe.Message) {
	tag := message.Body()
	r.answer.Completed++
	if changesSession(tag) {
		r.conn.stateful = true
	}
	r.stream.holding = r.stream.holding || r.batch.Hold
	if r.batch.KeepTag {
		r.answer.Tag = string(tag[:max(0, len(tag)-1)])
	}
	r.emit(message)
}

func (r *Runner) takeReady(message pgframe.Message) error {
	if len(message.Body()) != 1 {
		return errors.New("malformed ReadyForQuery")
	}
	r.answer.TxStatus = message.Body()[0]
	r.stream.holding = r.stream.holding || r.batch.Hold
	r.keep(message)
	return nil
}

func (r *Runner) takeError(message pgframe.Message, partial bool) error {
	fields := parseError(message.Body())
	if r.answer.Code == "" || fields.fatal() {
		r.answer.Code = fields.code
	}
	if fields.fatal() {
		return fmt.Errorf("the member ended the connection: %s", fields.message)
	}
	r.stream.open = partial
	if r.copyRefused {
		r.copyRefused = false
		r.stream.discard = partial
		r.keep(r.copyError())
		return nil
	}
	r.emit(message)
	return nil
}

// emit passes a part of the answer on, or keeps it.
func (r *Runner) emit(part []byte) {
	if len(part) == 0 {
		return
	}
	if len(r.Tail) == 0 && r.mayWrite(len(part), streamThreshold) {
		r.writeOut(part)
		return
	}
	r.keep(part)
	if r.mayWrite(len(r.Tail), streamThreshold) {
		r.flush()
	}
}

// keep puts a part behind the tail. A held end beyond MaxHeld is dropped: the
// exchange is still read to its end, but its answer is lost, and the caller is
// told so.
func (r *Runner) keep(part []byte) {
	if r.stream.holding && len(r.Tail)+len(part) > MaxHeld {
		r.answer.Overflowed = true
	}
	if !r.answer.Overflowed {
		r.Tail = append(r.Tail, part...)
	}
}

// mayWrite reports whether the n bytes of the answer that are there may go out:
// the answer has begun, it is not held, they end with a complete message and are
// at least least. The first ones are also too many to be kept for the proof.
func (r *Runner) mayWrite(n, least int) bool {
	if !r.answer.Streamed {
		least = unprovedLimit
	}
	return n >= least && r.stream.begun && !r.stream.holding && !r.stream.open
}

// flushBeforeWait passes rows on before the next ones have to be waited for.
func (r *Runner) flushBeforeWait() {
	if r.reader.Buffered() == 0 && r.mayWrite(len(r.Tail), 1) {
		r.flush()
	}
}

func (r *Runner) flush() {
	r.writeOut(r.Tail)
	r.Tail = r.Tail[:0]
}

func (r *Runner) writeOut(part []byte) {
	r.answer.Streamed = true
	if r.answer.OutErr == nil {
		_, r.answer.OutErr = r.batch.Out.Write(part)
	}
}

func intersects(a, b *pgframe.TypeSet) bool {
	for i := range a {
		if a[i]&b[i] != 0 {
			return true
		}
	}
	return false
}

// refuseCopy ends a COPY FROM STDIN without data, as its data would come in
// further messages of the caller. In the extended protocol the member has
// skipped the Sync, so that another one is sent.
func (r *Runner) refuseCopy(group int) error {
	if r.sent.marker || group != len(r.Plan.groups)-1 {
		return errors.New("COPY FROM STDIN is not carried, and more was sent behind it")
	}
	r.copyRefused = true
	packet := []byte{msgCopyFail, 0, 0, 0, 5, 0}
	if r.Plan.groups[group] == msgSync {
		packet = append(packet, msgSync, 0, 0, 0, 4)
	}
	_, err := r.conn.net.Write(packet)
	return err
}

func (r *Runner) copyError() []byte {
	outcome := core.OutcomeNotRun
	if r.answer.Completed > 0 {
		outcome = core.OutcomeUnknown
	}
	refusal := errs.New(errs.Unsupported, outcome, "home.exchange", r.conn.addr, "COPY FROM STDIN is not carried")
	return pgframe.AppendError(nil, pgframe.SeverityError, refusal)
}
