package soak

import (
	"math/rand/v2"
	"strings"
)

// texts draws fields of statements.
type texts struct {
	random *rand.Rand
	// fragments are what the fields are made of.
	fragments []string
}

// wordFragments make up fields of printable text.
var wordFragments = []string{"a", "Zq", "0", "7.1", "-", "_x", "é", "\"", "\\n", "READ", "COMPLETE", "DATAROW"}

// byteFragments make up fields of any bytes that a message may contain: line breaks that do not end
// it, blanks in a row, other control bytes, invalid UTF-8, and what looks like a message.
var byteFragments = append([]string{"\r", "\n", "\n\r", "\r\r", "\n\n", " ", "  ", "\t", "\v", "\x00", "\x1b", "\x7f", "\xff\xfe", "\xc3", "\u2028",
	"COMPLETE r0", "\nCOMPLETE r0\nREADY I 1.1\n", "\rREADY I -\r", "\nERROR BUSY\n", "QUERY x.1 WRITE y z", "\nQUERY x.1 WRITE y z\n",
	"\nTERMINATE\n", "\nDATAROW x\n", " SINCE 1.0 READ x"}, wordFragments...)

// maxFragments bounds the fragments of a field.
const maxFragments = 6

// text draws the last field of a message, which may contain blanks. It is not empty.
func (t *texts) text() string {
	var b strings.Builder
	for range 1 + t.random.IntN(maxFragments) {
		b.WriteString(t.fragments[t.random.IntN(len(t.fragments))])
	}
	t.pad(&b)
	return withoutEnd(b.String())
}

// pad lengthens one text in 25 to about the size of a buffer, so that its line breaks are at the
// buffer's end.
func (t *texts) pad(b *strings.Builder) {
	if t.random.IntN(25) != 0 {
		return
	}
	size := []int{1024, 4096}[t.random.IntN(2)] - 60 + t.random.IntN(80)
	end := b.String()
	if missing := size - len(end); missing > 0 {
		b.Reset()
		b.WriteString(strings.Repeat("p", missing) + end)
	}
}

// field draws a field without blanks that is not empty.
func (t *texts) field() string {
	return strings.ReplaceAll(t.fragments[t.random.IntN(len(t.fragments))], " ", "_")
}

// withoutEnd returns the text without CR LF, which would end the message.
func withoutEnd(text string) string {
	for strings.Contains(text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n\r")
	}
	return text
}
