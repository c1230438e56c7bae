package boundedread_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"limpetspan/pkg/boundedread"
)

// Guards against an answer that is cut at its limit and then taken for a whole one.
func TestAll(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int64{boundedread.UnknownSize, 0, 5} {
		data, err := boundedread.All(strings.NewReader("abcde"), size, 5)
		g.Expect(string(data), err).To(Equal("abcde"))
		_, err = boundedread.All(strings.NewReader("abcdef"), size, 5)
		g.Expect(err).To(MatchError(boundedread.ErrTooLong))
	}
	unread := strings.NewReader("abcdef")
	_, err := boundedread.All(unread, 6, 5)
	g.Expect(err).To(MatchError(boundedread.ErrTooLong))
	g.Expect(unread.Len()).To(Equal(6))
	lost := errors.New("connection lost")
	_, err = boundedread.All(iotest.ErrReader(lost), boundedread.UnknownSize, 5)
	g.Expect(err).To(MatchError(lost))
}
