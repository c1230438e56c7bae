package target

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"limpetspan/pkg/pgframe"
)

// ErrBadMessages says that a request's messages are not a complete exchange.
var ErrBadMessages = errors.New("target: the messages are not a complete exchange")

// Plan is what has to be known of a request's messages before they are sent:
// how many answers they have, and what they do to the prepared statements. Its
// memory is reused by Parse.
type Plan struct {
	// groups has the type of the message that ends each part with a
	// ReadyForQuery of its own: Query, Sync or FunctionCall.
	groups []byte
	// Executes counts the messages that run a statement.
	Executes int
	// DescribesStatement: the answer holds a statement's description.
	DescribesStatement bool
	definitions        []definition
	// leads is set when a statement begins with a keyword after which another
	// statement must not be sent at once, see leadingKeywords.
	leads bool
	// copies is set when a statement may be COPY FROM STDIN.
	copies bool
}

// definition is a prepared statement that the messages define or close.
type definition struct {
	name string
	hash uint64
}

// Parse reads the messages. It refuses what does not consist of complete messages
// or does not end with one that is answered by a ReadyForQuery: sent like that,
// it would let one caller's bytes run into the next one's.
func (p *Plan) Parse(messages []byte) error {
	*p = Plan{groups: p.groups[:0], definitions: p.definitions[:0]}
	rest := messages
	var last byte
	for len(rest) > 0 {
		message, next, err := pgframe.Split(rest, 0)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBadMessages, err)
		}
		if message == nil {
			return fmt.Errorf("%w: the last message is cut short", ErrBadMessages)
		}
		last = message.Type()
		if err := p.add(message); err != nil {
			return err
		}
		rest = next
	}
	if len(p.groups) == 0 || !endsGroup(last) {
		return fmt.Errorf("%w: the last message is not Query or Sync", ErrBadMessages)
	}
	return nil
}

// Groups returns how many ReadyForQuery messages the answer has.
func (p *Plan) Groups() int { return len(p.groups) }

func endsGroup(t byte) bool { return t == msgQuery || t == msgSync || t == msgFunctionCall }

func (p *Plan) add(message pgframe.Message) error {
	body := message.Body()
	switch message.Type() {
	case msgQuery:
		p.Executes++
		p.leads = p.leads || hasLeadingKeyword(body)
		p.copies = p.copies || mentionsCopy(body)
		p.groups = append(p.groups, msgQuery)
	case msgFunctionCall:
		p.Executes++
		p.groups = append(p.groups, msgFunctionCall)
	case msgSync:
		p.groups = append(p.groups, msgSync)
	case msgExecute:
		p.Executes++
	case msgParse:
		return p.define(message)
	case msgClose:
		p.closes(body)
	case msgDescribe:
		p.DescribesStatement = p.DescribesStatement || (len(body) > 0 && body[0] == closeStatement)
	case msgBind, 'H', 'd', 'c', msgCopyFail:
	default:
		return fmt.Errorf("%w: message %q has no place in an exchange", ErrBadMessages, message.Type())
	}
	return nil
}

func (p *Plan) define(message pgframe.Message) error {
	name, sql, ok := cutString(message.Body())
	if !ok {
		return fmt.Errorf("%w: Parse without a name", ErrBadMessages)
	}
	p.leads = p.leads || hasLeadingKeyword(sql)
	p.copies = p.copies || mentionsCopy(sql)
	if len(name) > 0 {
		p.definitions = append(p.definitions, definition{name: string(name), hash: hashParse(message)})
	}
	return nil
}

func (p *Plan) closes(body []byte) {
	if len(body) == 0 || body[0] != closeStatement {
		return
	}
	if name, _, ok := cutString(body[1:]); ok && len(name) > 0 {
		p.definitions = append(p.definitions, definition{name: string(name)})
	}
}

// defines reports whether the messages define the named statement themselves.
func (p *Plan) defines(name string) bool {
	for _, d := range p.definitions {
		if d.name == name {
			return true
		}
	}
	return false
}

// leadingKeywords begin statements behind which no position query is sent
// unasked: it would take the snapshot of the transaction that begins, or run
// into the copy data. Missing one in a longer text costs an SQL error at most;
// this is no parser of SQL.
var leadingKeywords = [][]byte{[]byte("begin"), []byte("start"), []byte("copy")}

func hasLeadingKeyword(sql []byte) bool {
	sql = skipBlank(sql)
	for _, k := range leadingKeywords {
		if len(sql) >= len(k) && bytes.EqualFold(sql[:len(k)], k) {
			return true
		}
	}
	return false
}

// mentionsCopy reports whether sql may hold a COPY that the caller's messages feed, anywhere in it: COPY FROM STDIN,
// or FROM STDOUT, which a server takes for the same.
func mentionsCopy(sql []byte) bool { return containsFold(sql, "copy") && containsFold(sql, "std") }

// containsFold reports whether text contains word, which is in lower case.
func containsFold(text []byte, word string) bool {
	for i := range len(text) - len(word) + 1 {
		if text[i]|0x20 == word[0] && strings.EqualFold(string(text[i:i+len(word)]), word) {
			return true
		}
	}
	return false
}

// skipBlank skips white space and comments at the beginning of sql.
func skipBlank(sql []byte) []byte {
	for {
		sql = bytes.TrimLeft(sql, " \t\r\n\f")
		var end []byte
		switch {
		case bytes.HasPrefix(sql, []byte("/*")):
			end = []byte("*/")
		case bytes.HasPrefix(sql, []byte("--")):
			end = []byte("\n")
		default:
			return sql
		}
		_, rest, found := bytes.Cut(sql, end)
		if !found {
			return nil
		}
		sql = rest
	}
}
