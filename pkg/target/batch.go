package target

import (
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// Sizes of the data path, in bytes.
const (
	readBuffer = 16 << 10
	// maxMessage bounds one message of a member.
	maxMessage = 64 << 20
	// streamThreshold is the size from which parts of an answer are passed on
	// before it is complete.
	streamThreshold = 4 << 10
	// MaxHeld bounds the held end of an answer.
	MaxHeld = 1 << 20
	// unprovedLimit bounds what is kept of an answer until its marker proves that it is the exchange's. A longer
	// answer is passed on as it comes.
	unprovedLimit = 32 << 10
	// copyThreshold is the size up to which a batch is sent in one write.
	copyThreshold = 64 << 10
	// maxKept bounds the memory a pooled Runner keeps.
	maxKept = 64 << 10
)

// Batch is one exchange on a connection.
type Batch struct {
	// Messages are the ones that the Runner's Plan was parsed from.
	Messages []byte
	Prepared []exchange.Prepared
	// WantPosition asks for the member's position behind an exchange that
	// ends outside a transaction.
	WantPosition bool
	// Hold keeps the answer back from its first result on.
	Hold bool
	// KeepTag asks for Answer.Tag.
	KeepTag bool
	// Out receives the parts of the answer that are not held back.
	Out exchange.Writer
}

// Answer is what is known once all of an exchange's ReadyForQuery messages
// have arrived. The last of them always stands in the Runner's Tail.
type Answer struct {
	TxStatus byte
	Position core.Position
	// Code is the SQLSTATE of the first ErrorResponse, empty without one.
	Code string
	// Completed counts the statements that ended with a result.
	Completed int
	// Tag is the command tag of the last one.
	Tag string
	// Rows: the answer has rows.
	Rows bool
	// Streamed: something was written to Out.
	Streamed bool
	// Overflowed: the held end was larger than MaxHeld and is lost.
	Overflowed bool
	// OutErr is the error of Out. The answer is read to its end nevertheless,
	// so that the connection stays clean.
	OutErr error
}

// Runner runs batches. It owns the memory of the data path, which returns to a
// pool with Free.
type Runner struct {
	Plan Plan
	// Tail is the end of the answer that was not written to Out.
	Tail []byte

	reader *pgframe.Reader
	send   []byte
	// behind follows the messages of an exchange.
	behind   []byte
	proof    []byte
	expected []byte
	row      pgproto3.DataRow

	conn   *Conn
	batch  *Batch
	answer Answer
	stream stream
	writes chan error
	sent   behind
	// copyRefused: the next error is the member's answer to the refusal of a COPY.
	copyRefused bool
	reply       Reply
	// tag is the command tag of the reply's last statement, with its closing zero.
	tag []byte
}

var runners = sync.Pool{New: func() any {
	return &Runner{reader: pgframe.NewReader(nil, readBuffer, maxMessage)}
}}

// NewRunner takes a Runner from the pool.
func NewRunner() *Runner { return runners.Get().(*Runner) }

// Free returns the Runner and its Tail to the pool.
func (r *Runner) Free() {
	r.reader.Reset(nil)
	r.conn, r.batch, r.writes = nil, nil, nil
	r.stream = stream{}
	r.reply = Reply{}
	clear(r.row.Values)
	if cap(r.Tail) > maxKept {
		r.Tail = nil
	}
	if cap(r.send) > maxKept {
		r.send = nil
	}
	r.Tail, r.send = r.Tail[:0], r.send[:0]
	runners.Put(r)
}
