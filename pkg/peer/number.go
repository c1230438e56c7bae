package peer

import (
	"encoding/binary"
	"errors"
	"fmt"

	"limpetspan/core/pipeline"
)

var errMalformedNumber = errors.New("malformed number of an answer")

// number records that a request is about to be sent, and returns its number on the stream.
func (x *stream) number() uint64 {
	x.requests.Sent(1)
	return x.requests.Expected()
}

// accept returns an error unless the answer with the number belongs to the request that awaits one. number is 0 if the
// answer has none. The first answer on a stream shows whether the daemon numbers its answers.
func (x *stream) accept(number uint64) error {
	if x.requests.Expected() == 1 {
		x.requests = pipeline.NewRequests(number != 0)
		x.requests.Sent(1)
	}
	return x.requests.Accept(number)
}

// beginAnswer reads the number of an exchange's answer, if it has one, and returns the first frame that follows.
func (x *stream) beginAnswer(s *session) (kind byte, payload []byte, err error) {
	if kind, payload, err = x.nextFrame(s); err != nil {
		return kind, payload, err
	}
	if kind != frameNumber {
		return kind, payload, x.accept(0)
	}
	number, n := binary.Uvarint(payload)
	if n != len(payload) || number == 0 {
		return kind, payload, fmt.Errorf("%w: %x", errMalformedNumber, payload)
	}
	if err := x.accept(number); err != nil {
		return kind, payload, err
	}
	return x.nextFrame(s)
}

// nextFrame reads the next frame of an answer.
func (x *stream) nextFrame(s *session) (kind byte, payload []byte, err error) {
	kind, payload, err = readFrame(x, x.frameBuf)
	x.frameBuf = payload
	if err == nil {
		s.noteHeard()
	}
	return kind, payload, err
}

// appendNumber appends the frame that precedes the answer to the exchange with the number, none for 0.
func appendNumber(buf []byte, number uint64) []byte {
	if number == 0 {
		return buf
	}
	var payload [binary.MaxVarintLen64]byte
	return appendFrame(buf, frameNumber, payload[:binary.PutUvarint(payload[:], number)])
}
