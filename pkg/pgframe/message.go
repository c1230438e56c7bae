package pgframe

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// HeaderLen is the size of a message's type byte and length, in bytes.
const HeaderLen = 5

// minLength is the least value of the length field, which counts itself.
const minLength = 4

// ErrMalformed says that a length field is below its own size.
var ErrMalformed = errors.New("pgframe: malformed message length")

// TooLargeError refuses a message above the bound.
type TooLargeError struct {
	Type byte
	// Size and Max are in bytes, header included.
	Size, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("pgframe: message %q of %d bytes exceeds the bound of %d bytes", e.Type, e.Size, e.Max)
}

// Message is one raw message, header included.
type Message []byte

// Type returns the type byte.
func (m Message) Type() byte { return m[0] }

// Body returns the bytes after the header.
func (m Message) Body() []byte { return m[HeaderLen:] }

// Size returns the full size in bytes of the message that begins b, header
// included, or 0 when b does not hold its header yet. A size above max is
// refused; max 0 means no bound.
func Size(b []byte, max int) (int, error) {
	if len(b) < HeaderLen {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(b[1:HeaderLen])
	if length < minLength || length > 1<<31-2 {
		return 0, ErrMalformed
	}
	size := int(length) + 1
	if max > 0 && size > max {
		return 0, &TooLargeError{Type: b[0], Size: size, Max: max}
	}
	return size, nil
}

// Split cuts the first complete message off b. Without one it returns a nil
// message and b.
func Split(b []byte, max int) (Message, []byte, error) {
	size, err := Size(b, max)
	if err != nil || size == 0 || size > len(b) {
		return nil, b, err
	}
	return Message(b[:size]), b[size:], nil
}

// TypeSet is a set of message type bytes.
type TypeSet [4]uint64

// Types returns the set of the bytes of s.
func Types(s string) TypeSet {
	var t TypeSet
	for i := range len(s) {
		t.Add(s[i])
	}
	return t
}

// Add puts a type byte into the set.
func (t *TypeSet) Add(b byte) { t[b>>6] |= 1 << (b & 63) }

// Has reports whether the type byte is in the set.
func (t *TypeSet) Has(b byte) bool { return t[b>>6]&(1<<(b&63)) != 0 }
