package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"
)

// The kinds of streams.
const (
	streamExchange byte = 'X'
	streamCall     byte = 'C'
)

// The types of frames.
const (
	// frameHeader is an ExchangeHeader.
	frameHeader byte = 'H'
	// frameMessages are raw frontend messages, more of which follow.
	frameMessages byte = 'M'
	// frameRun are the last raw frontend messages of the request.
	frameRun byte = 'R'
	// frameNumber is the number of the exchange that the answer belongs to, as a varint. It precedes
	// the answer.
	frameNumber byte = 'N'
	// frameData are complete backend messages of the answer.
	frameData byte = 'D'
	// frameEnd is an ExchangeEnd.
	frameEnd byte = 'E'
	// frameCall and frameReply are a Call and a Reply.
	frameCall  byte = 'Q'
	frameReply byte = 'A'
)

const (
	// lengthSize and frameOverhead are the sizes of a frame's fixed parts.
	lengthSize    = 4
	frameOverhead = lengthSize + 1
	// maxFrame bounds a frame, so that a broken peer cannot demand memory
	// without limit. It leaves room for the largest caller message.
	maxFrame = 1<<30 + 1<<20
	// keptBuffer is the largest buffer that is kept for reuse by an idle stream.
	// A daemon may have many of them to each of 1,700 others.
	keptBuffer = 64 << 10
	// smallBuffer is the size up to which yamux's buffer of a stream is kept too.
	smallBuffer = 16 << 10
	// growth is how much is allocated ahead of bytes that have not arrived.
	growth = 1 << 20
)

var errFrameSize = errors.New("frame length out of range")

// appendFrame appends a frame that holds the payload.
func appendFrame(buf []byte, kind byte, payload []byte) []byte {
	buf = appendFrameHead(buf, kind, len(payload))
	return append(buf, payload...)
}

func appendFrameHead(buf []byte, kind byte, size int) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(size+1))
	return append(buf, kind)
}

// appendMessage appends a frame that holds the protobuf message.
func appendMessage(buf []byte, kind byte, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = appendFrameHead(buf, kind, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return buf[:start], fmt.Errorf("marshal: %w", err)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthSize))
	return buf, nil
}

// readFrame reads one frame, its payload into buf's memory where that suffices.
func readFrame(r io.Reader, buf []byte) (byte, []byte, error) {
	kind, size, err := readHead(r)
	if err != nil {
		return 0, buf[:0], err
	}
	payload, err := readPayload(r, buf[:0], size)
	return kind, payload, err
}

// readHead reads a frame's fixed part.
func readHead(r io.Reader) (kind byte, size int, err error) {
	var head [frameOverhead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || length > maxFrame {
		return 0, 0, errFrameSize
	}
	return head[lengthSize], int(length) - 1, nil
}

// readPayload appends size bytes to buf. Memory grows with what has arrived,
// so that a length alone costs nothing.
func readPayload(r io.Reader, buf []byte, size int) ([]byte, error) {
	for size > 0 {
		step := min(size, growth)
		start := len(buf)
		buf = slices.Grow(buf, step)[:start+step]
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf[:start], err
		}
		size -= step
	}
	return buf, nil
}

// trim drops a buffer that has grown beyond what is worth keeping.
func trim(buf []byte) []byte {
	if cap(buf) > keptBuffer {
		return nil
	}
	return buf[:0]
}
