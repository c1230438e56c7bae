package entry

import (
	"bytes"
	"strings"

	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// The messages that carry SQL text.
const (
	messageQuery = 'Q'
	messageParse = 'P'
)

// transactionWords begin the statements that steer a transaction and belong to
// no kind of record.
var transactionWords = map[string]bool{
	"COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// steersTransaction reports whether every statement of the request does no
// more than end or subdivide the transaction. Such a request goes where the
// transaction is, whatever its directives route to: a COMMIT that is refused
// because of a connection-wide kind could never be sent.
func steersTransaction(req *exchange.Request) bool {
	found := false
	for _, p := range req.Prepared {
		if !steers(p.Parse) {
			return false
		}
		found = true
	}
	rest := req.Messages
	for len(rest) > 0 {
		message, next, err := pgframe.Split(rest, 0)
		if err != nil || message == nil {
			return false
		}
		rest = next
		if t := message.Type(); t != messageQuery && t != messageParse {
			continue
		}
		if !steers(message) {
			return false
		}
		found = true
	}
	return found
}

// steers looks at the first word of a Query or Parse message.
func steers(message []byte) bool {
	if len(message) < pgframe.HeaderLen {
		return false
	}
	text := message[pgframe.HeaderLen:]
	if message[0] == messageParse {
		_, text, _ = bytes.Cut(text, []byte{0})
	}
	text, _, _ = bytes.Cut(text, []byte{0})
	return transactionWords[firstWord(text)] && !severalStatements(text)
}

// firstWord returns the first word after comments, in upper case.
func firstWord(sql []byte) string {
	for {
		sql = bytes.TrimLeft(sql, " \t\r\n\f\v;")
		switch {
		case bytes.HasPrefix(sql, []byte("--")):
			_, sql, _ = bytes.Cut(sql, []byte{'\n'})
		case bytes.HasPrefix(sql, []byte("/*")):
			_, sql, _ = bytes.Cut(sql, []byte("*/"))
		default:
			end := bytes.IndexFunc(sql, func(r rune) bool { return !('a' <= r|0x20 && r|0x20 <= 'z') })
			if end < 0 {
				end = len(sql)
			}
			return strings.ToUpper(string(sql[:end]))
		}
	}
}

// severalStatements reports whether something follows a semicolon. One in a
// comment counts too, which errs on the side of routing.
func severalStatements(sql []byte) bool {
	_, rest, _ := bytes.Cut(sql, []byte{';'})
	return len(bytes.Trim(rest, " \t\r\n\f\v;")) > 0
}
