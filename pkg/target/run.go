package target

import (
	"errors"
	"fmt"

	"limpetspan/pkg/pgframe"
)

// positionQuery is PositionSQL as a message.
var positionQuery = pgframe.AppendQuery(nil, PositionSQL)

// Run carries the batch over the connection and reads exactly its answer. After
// an error, always a *Broken, the connection is aborted and some of the answer
// may have been written to Out.
func (r *Runner) Run(c *Conn, b *Batch) (Answer, error) {
	r.begin(c, b)
	if err := c.Check(); err != nil {
		return r.answer, r.fail(err, false)
	}
	r.compose()
	if err := r.write(); err != nil {
		return r.answer, err
	}
	if err := r.read(); err != nil {
		return r.answer, r.fail(err, true)
	}
	c.prepared.settle(r.Plan.definitions, r.answer.Code != "")
	return r.answer, nil
}

func (r *Runner) begin(c *Conn, b *Batch) {
	r.conn, r.batch = c, b
	r.reader.Reset(c.net)
	r.answer = Answer{TxStatus: c.txStatus}
	r.Tail = r.Tail[:0]
	r.stream = stream{}
	r.sent = behind{}
	r.copyRefused = false
}

// behind is what was sent behind the messages of an exchange, in the same write.
type behind struct{ position, marker bool }

// mayCopy reports whether the exchange may begin a COPY FROM STDIN. The member would read what follows as its data.
func (r *Runner) mayCopy() bool {
	if r.Plan.copies {
		return true
	}
	for i := range r.batch.Prepared {
		if mentionsCopy(r.batch.Prepared[i].Parse) {
			return true
		}
	}
	return false
}

// appendBehind appends the position query, if it is wanted, and a marker.
func (r *Runner) appendBehind(dst []byte, position bool) []byte {
	if position {
		dst = append(dst, positionQuery...)
	}
	r.conn.marker++
	return appendMarker(dst, r.conn.marker, r.conn.markerDigits)
}

// compose builds the prefix that the connection lacks, the messages, the
// position query and the marker in r.send, so that they leave in one write.
// Large messages are not copied.
func (r *Runner) compose() {
	c, b := r.conn, r.batch
	r.send, r.expected, r.behind = r.send[:0], r.expected[:0], r.behind[:0]
	if !r.mayCopy() {
		r.sent.marker = true
		r.sent.position = b.WantPosition && c.txStatus == pgframe.StatusIdle && !r.Plan.leads
		r.behind = r.appendBehind(r.behind, r.sent.position)
	}
	r.send, r.expected = c.prepared.appendMissing(r.send, r.expected, &r.Plan, b.Prepared)
	r.send, r.expected = c.prepared.appendClosed(r.send, r.expected, &r.Plan, b.Prepared)
	if len(b.Messages) > copyThreshold {
		return
	}
	r.send = append(r.send, b.Messages...)
	r.send = append(r.send, r.behind...)
}

// write sends the batch. A large one is sent beside the reading: the member may
// stop reading until its own answers are read.
func (r *Runner) write() error {
	c, messages := r.conn, r.batch.Messages
	if len(messages) <= copyThreshold {
		if n, err := c.net.Write(r.send); err != nil {
			return r.fail(err, n > 0 || c.net != c.socket)
		}
		return nil
	}
	r.writes = make(chan error, 1)
	prefix, behind, done := r.send, r.behind, r.writes
	go func() { done <- writeAll(c, prefix, messages, behind) }()
	return nil
}

func writeAll(c *Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := c.net.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// read reads the complete answer: that of the prefix, which is nobody's, then the
// caller's, then what proves it.
func (r *Runner) read() error {
	if err := r.readPrefix(); err != nil {
		return err
	}
	if err := r.readGroups(); err != nil {
		return err
	}
	if err := r.finishWrite(); err != nil {
		return err
	}
	if err := r.readBehind(); err != nil {
		// The code may be that of another exchange, and must not tell that this one did not run.
		r.answer.Code = ""
		return err
	}
	if r.reader.Buffered() > 0 {
		return fmt.Errorf("%w: more than the answer", ErrOutOfStep)
	}
	return nil
}

// finishWrite waits for a write that ran beside the reading.
func (r *Runner) finishWrite() error {
	if r.writes == nil {
		return nil
	}
	err := <-r.writes
	r.writes = nil
	return err
}

// readBehind reads the answers of what was sent behind the messages, and sends
// in a round trip of its own what could not be sent along.
func (r *Runner) readBehind() error {
	if r.sent.marker {
		if err := r.readProof(r.sent.position); err != nil {
			return err
		}
	}
	position := r.batch.WantPosition && !r.sent.position && r.answer.TxStatus == pgframe.StatusIdle
	if r.sent.marker && !position {
		return nil
	}
	r.behind = r.appendBehind(r.behind[:0], position)
	if _, err := r.conn.net.Write(r.behind); err != nil {
		return err
	}
	return r.readProof(position)
}

// readProof reads the answer of the position query, if there was one, and that of the marker.
func (r *Runner) readProof(position bool) error {
	if position {
		if err := r.readPosition(); err != nil {
			return err
		}
	}
	return r.readMarker(r.answer.TxStatus)
}

// readPosition reads the answer of the position query. Inside a transaction the
// position says nothing.
func (r *Runner) readPosition() error {
	if err := r.ask(1); err != nil {
		return err
	}
	if r.answer.TxStatus != pgframe.StatusIdle {
		return nil
	}
	if r.reply.Code == "" && !r.reply.isPosition() {
		return fmt.Errorf("%w: another answer in place of the position", ErrOutOfStep)
	}
	if r.reply.positionErr != nil || r.reply.Code != "" {
		// An unknown position must not pass for "unchanged": the session's next
		// read would be served by a replica that lacks this write.
		return errors.Join(fmt.Errorf("the member gave no position (SQLSTATE %q)", r.reply.Code), r.reply.positionErr)
	}
	r.answer.Position = r.reply.position
	return nil
}

// fail aborts the connection. Nothing after a deviation can be matched to its
// request any more: a late answer would reach the connection's next user.
func (r *Runner) fail(err error, sent bool) error {
	c := r.conn
	c.broken = true
	c.Abort()
	if r.writes != nil {
		<-r.writes
		r.writes = nil
	}
	broken := &Broken{Sent: sent, Err: err, Started: r.answer.Completed > 0 || r.answer.Rows || r.answer.Streamed}
	broken.Code = r.answer.Code
	var last *Broken
	if errors.As(err, &last) {
		broken.Code, broken.Err = last.Code, last.Err
	}
	return broken
}
