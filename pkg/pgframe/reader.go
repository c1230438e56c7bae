package pgframe

import (
	"io"
)

// Reader reads messages from a stream into one reusable buffer. What it
// returns aliases that buffer and is valid until the next call. Next and Chunk
// may be mixed, except that Next is not allowed between the pieces of a
// message. A Reader is used by one goroutine at a time.
type Reader struct {
	src io.Reader
	buf []byte
	// buf[start:end] holds bytes that were read but not returned.
	start, end int
	max        int
	// left counts the bytes still to come of a message that Chunk passes in
	// pieces; its type is current.
	left    int
	current byte
}

// NewReader returns a Reader with a buffer of size bytes (at least HeaderLen)
// that refuses messages above max bytes; max 0 means no bound.
func NewReader(src io.Reader, size, max int) *Reader {
	return &Reader{src: src, buf: make([]byte, size), max: max}
}

// Reset drops what is buffered and reads from src from now on.
func (r *Reader) Reset(src io.Reader) {
	r.src, r.start, r.end, r.left = src, 0, 0, 0
}

// Buffered returns how many bytes were read but not returned. A clean
// connection between two answers has none.
func (r *Reader) Buffered() int { return r.end - r.start }

// Next returns one complete message. The buffer grows to hold it. io.EOF means
// that the stream ended between messages, io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() (Message, error) {
	for {
		message, _, err := Split(r.buf[r.start:r.end], r.max)
		if err != nil {
			return nil, err
		}
		if message != nil {
			r.start += len(message)
			return message, nil
		}
		if err := r.makeRoom(); err != nil {
			return nil, err
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// makeRoom lets all of the message at start fit into the buffer.
func (r *Reader) makeRoom() error {
	size, err := Size(r.buf[r.start:r.end], r.max)
	if err != nil {
		return err
	}
	need := max(size, HeaderLen)
	if need > len(r.buf) {
		grown := make([]byte, need)
		r.end = copy(grown, r.buf[r.start:r.end])
		r.buf, r.start = grown, 0
		return nil
	}
	if r.start == r.end || r.start+need > len(r.buf) {
		r.compact()
	}
	return nil
}

func (r *Reader) compact() {
	r.end = copy(r.buf, r.buf[r.start:r.end])
	r.start = 0
}

// fill reads once; the buffer must have room.
func (r *Reader) fill() error {
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	if err == io.EOF && (r.start != r.end || r.left > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Chunk is a run of consecutive messages, raw.
type Chunk struct {
	// Bytes holds complete messages only, unless a message larger than the
	// buffer passes in pieces.
	Bytes []byte
	// Count is the number of messages that begin in Bytes.
	Count int
	// Types are their types.
	Types TypeSet
	// Last is the type of the last message, also when it began in an earlier chunk.
	Last byte
	// LastStart is the offset at which the last message begins, -1 when it
	// began in an earlier chunk.
	LastStart int
	// Partial is set when the last message goes on in the next chunk.
	Partial bool
}

// LastMessage returns the complete last message, nil if the chunk holds only a
// piece of it.
func (c *Chunk) LastMessage() Message {
	if c.Partial || c.LastStart < 0 {
		return nil
	}
	return Message(c.Bytes[c.LastStart:])
}

// Chunk returns the messages at hand, waiting for one if there is none. It
// ends after the first message whose type is in stop, so that such a message
// is always the last one of its chunk. A message larger than the buffer is
// returned in pieces.
func (r *Reader) Chunk(stop TypeSet) (Chunk, error) {
	if r.left > 0 {
		return r.piece()
	}
	for {
		chunk, err := r.complete(&stop)
		if err != nil || chunk.Count > 0 {
			return chunk, err
		}
		if size, _ := Size(r.buf[r.start:r.end], r.max); size > len(r.buf) {
			return r.firstPiece(size), nil
		}
		if err := r.makeRoom(); err != nil {
			return Chunk{}, err
		}
		if err := r.fill(); err != nil {
			return Chunk{}, err
		}
	}
}

// complete takes the complete messages that are buffered. A malformed message is
// reported when it comes first, so that those before it are not lost.
func (r *Reader) complete(stop *TypeSet) (Chunk, error) {
	var chunk Chunk
	rest := r.buf[r.start:r.end]
	first := r.start
	for {
		message, next, err := Split(rest, r.max)
		if err != nil && chunk.Count == 0 {
			return Chunk{}, err
		}
		if message == nil {
			break
		}
		chunk.Count++
		chunk.Types.Add(message.Type())
		chunk.Last = message.Type()
		chunk.LastStart = r.start - first
		r.start += len(message)
		rest = next
		if stop.Has(chunk.Last) {
			break
		}
	}
	chunk.Bytes = r.buf[first:r.start]
	return chunk, nil
}

// firstPiece returns what is buffered of a message that does not fit.
func (r *Reader) firstPiece(size int) Chunk {
	piece := r.buf[r.start:r.end]
	r.current, r.left = piece[0], size-len(piece)
	r.start = r.end
	chunk := Chunk{Bytes: piece, Count: 1, Last: r.current, Partial: true}
	chunk.Types.Add(r.current)
	return chunk
}

// piece returns the next bytes of a message that passes in pieces.
func (r *Reader) piece() (Chunk, error) {
	if r.start == r.end {
		r.start, r.end = 0, 0
		if err := r.fill(); err != nil {
			return Chunk{}, err
		}
	}
	piece := r.buf[r.start:min(r.end, r.start+r.left)]
	r.start += len(piece)
	r.left -= len(piece)
	return Chunk{Bytes: piece, Last: r.current, LastStart: -1, Partial: r.left > 0}, nil
}
