package target

import (
	"errors"
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/pgframe"
)

// Reply is the answer of statements that limpetspan itself runs on a
// connection.
type Reply struct {
	TxStatus byte
	// Code is the SQLSTATE of the first ErrorResponse, empty without one.
	Code string
	// Message is the text of that error.
	Message string
	// Value is the first column of the last row that is neither a position nor a status.
	Value string

	// codes are those of the first parts of the answer.
	codes [maxReplyParts]string

	// rows counts the rows, positions those among them that are positions.
	rows        int
	positions   int
	position    core.Position
	positionErr error

	// statuses counts the rows that are a member's status.
	statuses  int
	status    core.Status
	statusErr error
}

// maxReplyParts is the largest number of parts of an answer whose errors are
// told apart.
const maxReplyParts = 4

// CodeWithin returns the SQLSTATE of the first error in the first n parts.
func (r *Reply) CodeWithin(n int) string {
	for _, code := range r.codes[:min(n, maxReplyParts)] {
		if code != "" {
			return code
		}
	}
	return ""
}

// isPosition reports whether the answer is that to a PositionQuery alone.
func (r *Reply) isPosition() bool { return r.rows == 1 && r.positions == 1 }

// isStatus reports whether the answer is a member's status alone.
func (r *Reply) isStatus() bool { return r.rows == 1 && r.statuses == 1 }

// Position returns the position of a PositionQuery among the statements, zero
// without one.
func (r *Reply) Position() core.Position { return r.position }

// PositionQuery is PositionSQL as a Query message. It must not be changed.
func PositionQuery() []byte { return positionQuery }

// Ask sends messages of limpetspan's own and reads their answer, of which
// nothing reaches a caller. groups is the number of ReadyForQuery messages the
// answer has. After an error, always a *Broken, the connection is aborted.
func (r *Runner) Ask(c *Conn, messages []byte, groups int) (Reply, error) {
	r.conn = c
	r.answer = Answer{}
	r.reader.Reset(c.net)
	if err := c.Check(); err != nil {
		return Reply{}, r.fail(err, false)
	}
	r.send = r.appendBehind(append(r.send[:0], messages...), false)
	if n, err := c.net.Write(r.send); err != nil {
		return Reply{}, r.fail(err, n > 0 || c.net != c.socket)
	}
	if err := r.ask(groups); err != nil {
		return Reply{}, r.fail(err, true)
	}
	if err := r.readMarker(r.reply.TxStatus); err != nil {
		return Reply{}, r.fail(err, true)
	}
	if r.reader.Buffered() > 0 {
		return Reply{}, r.fail(fmt.Errorf("%w: more than the answer", ErrOutOfStep), true)
	}
	c.txStatus = r.reply.TxStatus
	return r.reply, nil
}

// emptyQuery is answered without running anything.
var emptyQuery = pgframe.AppendQuery(nil, "")

// Ping asks for a sign of life over a connection outside a transaction. After an
// error, always a *Broken of which nothing was sent, the connection is aborted.
func (r *Runner) Ping(c *Conn, timeout time.Duration) error {
	_ = c.net.SetReadDeadline(time.Now().Add(timeout))
	_, err := r.Ask(c, emptyQuery, 1)
	if err == nil {
		return c.net.SetReadDeadline(time.Time{})
	}
	if broken, ok := errors.AsType[*Broken](err); ok {
		broken.Sent = false
	}
	return err
}

// ask reads the answer to statements of limpetspan's own into r.reply.
func (r *Runner) ask(groups int) error {
	r.reply = Reply{}
	r.tag = r.tag[:0]
	for part := 0; part < groups; {
		message, err := r.reader.Next()
		if err != nil {
			return err
		}
		switch message.Type() {
		case msgDataRow:
			if err := r.takeRow(message); err != nil {
				return err
			}
		case msgCommandComplete:
			r.tag = append(r.tag[:0], message.Body()...)
		case msgErrorResponse:
			if err := r.takeReplyError(message, part); err != nil {
				return err
			}
		case msgReadyForQuery:
			if len(message.Body()) != 1 {
				return errors.New("malformed ReadyForQuery")
			}
			r.reply.TxStatus = message.Body()[0]
			part++
		}
	}
	return nil
}

func (r *Runner) takeRow(message pgframe.Message) error {
	if err := r.row.Decode(message.Body()); err != nil {
		return fmt.Errorf("malformed row: %w", err)
	}
	r.reply.rows++
	switch len(r.row.Values) {
	case 0:
	case positionColumns:
		r.reply.positions++
		r.reply.position, r.reply.positionErr = parsePosition(r.row.Values)
	case statusColumns:
		r.reply.statuses++
		r.reply.status, r.reply.statusErr = parseStatus(r.row.Values)
	default:
		r.reply.Value = string(r.row.Values[0])
	}
	return nil
}

func (r *Runner) takeReplyError(message pgframe.Message, part int) error {
	fields := parseError(message.Body())
	if part < maxReplyParts && r.reply.codes[part] == "" {
		r.reply.codes[part] = fields.code
	}
	if r.reply.Code == "" {
		r.reply.Code, r.reply.Message = fields.code, fields.message
	}
	if fields.fatal() {
		r.answer.Code = fields.code
		return fmt.Errorf("the member ended the connection: %s", fields.message)
	}
	return nil
}

// readPrefix reads the answers of the messages that were sent before the
// caller's. An error among them answers the caller's messages too, because the
// member skips everything up to their Sync.
func (r *Runner) readPrefix() error {
	for i := 0; i < len(r.expected); {
		message, err := r.reader.Next()
		if err != nil {
			return err
		}
		switch message.Type() {
		case r.expected[i]:
			i++
		case msgNoticeResponse, msgParameterStatus, msgNotificationResponse:
		case msgErrorResponse:
			r.conn.prepared.forget(r.batch.Prepared)
			return r.takeError(message, false)
		default:
			return fmt.Errorf("%w: message %q in place of %q", ErrOutOfStep, message.Type(), r.expected[i])
		}
	}
	return nil
}
