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
	asked := b.WantPosition && c.txStatus == pgframe.StatusIdle && !r.Plan.leads
	r.compose(asked)
	if err := r.write(); err != nil {
		return r.answer, err
	}
	if err := r.read(asked); err != nil {
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
	r.copies = copyState{}
}

// compose builds the prefix that the connection lacks, the messages and the
// position query in r.send, so that they leave in one write. Large messages are
// not copied.
func (r *Runner) compose(asked bool) {
	c, b := r.conn, r.batch
	r.send, r.expected = r.send[:0], r.expected[:0]
	r.send, r.expected = c.prepared.appendMissing(r.send, r.expected, &r.Plan, b.Prepared)
	r.send, r.expected = c.prepared.appendClosed(r.send, r.expected, &r.Plan, b.Prepared)
	if len(b.Messages) > copyThreshold {
		return
	}
	r.send = append(r.send, b.Messages...)
	if asked {
		r.send = append(r.send, positionQuery...)
	}
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
	asked := r.batch.WantPosition && c.txStatus == pgframe.StatusIdle && !r.Plan.leads
	prefix, done := r.send, r.writes
	go func() { done <- writeAll(c, prefix, messages, asked) }()
	return nil
}

func writeAll(c *Conn, prefix, messages []byte, asked bool) error {
	if _, err := c.net.Write(prefix); err != nil {
		return err
	}
	if _, err := c.net.Write(messages); err != nil {
		return err
	}
	if !asked {
		return nil
	}
	_, err := c.net.Write(positionQuery)
	return err
}

// read reads the complete answer: that of the prefix, which is nobody's, then the
// caller's, then that of the position query.
func (r *Runner) read(asked bool) error {
	r.copies.asked = asked
	if err := r.readPrefix(); err != nil {
		return err
	}
	if err := r.readGroups(); err != nil {
		return err
	}
	if err := r.finishWrite(); err != nil {
		return err
	}
	if err := r.readPosition(asked); err != nil {
		return err
	}
	if r.reader.Buffered() > 0 {
		return errors.New("the member sent more than the answer")
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

// readPosition reads the answer of the position query, and asks for it in a
// round trip of its own when it was not sent along. Inside a transaction the
// position says nothing.
func (r *Runner) readPosition(asked bool) error {
	idle := r.answer.TxStatus == pgframe.StatusIdle
	if !r.batch.WantPosition || (!asked && !idle) {
		return nil
	}
	if !asked {
		if _, err := r.conn.net.Write(positionQuery); err != nil {
			return err
		}
	}
	if err := r.ask(1); err != nil {
		return err
	}
	if !idle {
		return nil
	}
	if r.reply.positionErr != nil || r.reply.Code != "" || !r.reply.isPosition() {
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
