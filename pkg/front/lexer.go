package front

import (
	"bytes"
	"strings"
)

// tokenKind classifies a token of a SET, RESET, SHOW or similar statement.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is a bare word, number or dotted name, lower case.
	tokenWord
	// tokenString is a quoted string or identifier, unquoted.
	tokenString
	// tokenSymbol is any other single character.
	tokenSymbol
)

type token struct {
	kind tokenKind
	text string
}

// lexer splits the short statements that the front answers itself. It is not
// used on any other SQL.
type lexer struct{ rest []byte }

// next returns the next token; an unterminated quote ends the text.
func (l *lexer) next() token {
	l.skip()
	if len(l.rest) == 0 {
		return token{}
	}
	switch c := l.rest[0]; {
	case c == '\'' || c == '"':
		return l.quoted(c)
	case isWordByte(c):
		n := 1
		for n < len(l.rest) && isWordByte(l.rest[n]) {
			n++
		}
		word := strings.ToLower(string(l.rest[:n]))
		l.rest = l.rest[n:]
		return token{tokenWord, word}
	default:
		l.rest = l.rest[1:]
		return token{tokenSymbol, string(rune(c))}
	}
}

// skip drops white space and comments.
func (l *lexer) skip() {
	for {
		l.rest = bytes.TrimLeft(l.rest, " \t\r\n\f\v")
		comment, rest := cutComment(l.rest)
		if comment == nil {
			return
		}
		l.rest = rest
	}
}

func (l *lexer) quoted(quote byte) token {
	var b strings.Builder
	s := l.rest[1:]
	for i := 0; i < len(s); i++ {
		if s[i] != quote {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		l.rest = s[i+1:]
		return token{tokenString, b.String()}
	}
	l.rest = nil
	return token{}
}

// atEnd reports whether nothing but a semicolon follows.
func (l *lexer) atEnd() bool {
	t := l.next()
	if t.kind == tokenSymbol && t.text == ";" {
		t = l.next()
	}
	return t.kind == tokenEnd
}

// peek returns the next token and stays before it.
func (l *lexer) peek() token {
	saved := l.rest
	t := l.next()
	l.rest = saved
	return t
}

func isWordByte(c byte) bool {
	return c == '_' || c == '.' || c == '-' || c == '+' || c == '$' || c >= 0x80 ||
		'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
