// Package boundedread reads answers whose size another process decides.
//
// A limit guards the memory of this process. An answer beyond it is an error of its own: its beginning
// would look like a malformed or, worse, a complete answer, and asking again brings the same one.
package boundedread

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLong means that an answer exceeds its limit.
var ErrTooLong = errors.New("answer is too long")

// UnknownSize is the size of an answer that did not announce it.
const UnknownSize = -1

// All reads r to its end, which is at most limit bytes away. size is the announced size or UnknownSize;
// an answer that announces too much is not read at all.
func All(r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes are announced, the limit is %d", ErrTooLong, size, limit)
	}
	var b bytes.Buffer
	if size > 0 {
		// Room for one more read, which finds the end.
		b.Grow(int(size) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		err = fmt.Errorf("%w: the limit is %d bytes", ErrTooLong, limit)
	}
	if err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
