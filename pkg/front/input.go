package front

import (
	"fmt"
	"io"

	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

// The frontend message types.
const (
	messageBind        byte = 'B'
	messageClose       byte = 'C'
	messageCopyData    byte = 'd'
	messageCopyDone    byte = 'c'
	messageCopyFail    byte = 'f'
	messageDescribe    byte = 'D'
	messageExecute     byte = 'E'
	messageFlush       byte = 'H'
	messageFunction    byte = 'F'
	messageParse       byte = 'P'
	messageQuery       byte = 'Q'
	messageSync        byte = 'S'
	messageTerminate   byte = 'X'
	objectStatement    byte = 'S'
	objectPortal       byte = 'P'
	initialInput            = 4 << 10
	keptInput               = 64 << 10
	maxBatchGrowthStep      = 1 << 20
)

var (
	frontendTypes = pgframe.Types("BCdcfDEHFPQSX")
	// endTypes end a batch.
	endTypes = pgframe.Types("QSHFX")
	// copyTypes carry COPY data. PostgreSQL drops them outside a COPY, as what
	// is left of a refused one.
	copyTypes = pgframe.Types("dcf")
)

// input collects the messages of one batch in one buffer.
type input struct {
	buf []byte
	// buf[start:next] are complete messages of the batch, buf[next:end] is unscanned.
	start, next, end int
	maxMessage       int
	maxBatch         int
}

// empty reports whether nothing is buffered.
func (in *input) empty() bool { return in.start == in.end }

// batch returns the messages scanned so far.
func (in *input) batch() []byte { return in.buf[in.start:in.next] }

// syncAt reports whether a Sync is buffered at the offset.
func (in *input) syncAt(offset int) bool {
	return offset < in.end && in.buf[offset] == messageSync
}

// flushToSync turns the Flush that ends the batch into a Sync of the same size.
func (in *input) flushToSync() { in.buf[in.next-pgframe.HeaderLen] = messageSync }

// scan moves over complete messages until one ends the batch, and returns its
// type, or 0 when more bytes are needed.
func (in *input) scan() (byte, *errs.Error) {
	for in.next < in.end {
		rest := in.buf[in.next:in.end]
		kind := rest[0]
		if !frontendTypes.Has(kind) {
			return 0, notRun(errs.BadRequest, stepMessage, "unexpected message type %q", kind)
		}
		size, err := pgframe.Size(rest, in.maxMessage)
		if err != nil {
			return 0, badFrame(err)
		}
		if in.next-in.start+size > in.maxBatch {
			return 0, notRun(kindLimit, stepMessage, "the messages up to Query or Sync exceed %d bytes", in.maxBatch)
		}
		if size == 0 || size > len(rest) {
			return 0, nil
		}
		if copyTypes.Has(kind) || kind == messageFlush && in.syncAt(in.next+size) {
			in.cut(size)
			continue
		}
		in.next += size
		if endTypes.Has(kind) {
			return kind, nil
		}
	}
	return 0, nil
}

// badFrame refuses a message whose length cannot be.
func badFrame(err error) *errs.Error {
	if tooLarge, ok := err.(*pgframe.TooLargeError); ok {
		return notRun(errs.BadRequest, stepMessage, "message %q of %d bytes exceeds the bound of %d bytes",
			tooLarge.Type, tooLarge.Size, tooLarge.Max)
	}
	return notRun(errs.BadRequest, stepMessage, "malformed message length")
}

// cut removes the next size bytes.
func (in *input) cut(size int) {
	if in.next == in.start {
		in.start += size
		in.next = in.start
		in.rewind()
		return
	}
	in.end = in.next + copy(in.buf[in.next:], in.buf[in.next+size:in.end])
}

// done drops the batch.
func (in *input) done() {
	in.start = in.next
	in.rewind()
}

func (in *input) rewind() {
	if in.start == in.end {
		in.start, in.next, in.end = 0, 0, 0
	}
}

// fill reads once behind what is buffered. The buffer doubles as bytes arrive,
// never by what a length field claims.
func (in *input) fill(conn io.Reader) error {
	if in.end == len(in.buf) {
		in.makeRoom()
	}
	n, err := conn.Read(in.buf[in.end:])
	in.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return fmt.Errorf("front: %w", io.ErrNoProgress)
	}
	return err
}

func (in *input) makeRoom() {
	buf := in.buf
	if in.start == 0 {
		buf = make([]byte, len(in.buf)+min(len(in.buf), maxBatchGrowthStep))
	}
	n := copy(buf, in.buf[in.start:in.end])
	in.buf, in.next, in.end, in.start = buf, in.next-in.start, n, 0
}
