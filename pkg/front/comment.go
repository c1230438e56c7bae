package front

import (
	"bytes"
	"net/url"
	"strings"

	"limpetspan/pkg/errs"
)

// parseComments reads the directives of the comments that lead sql, and
// returns the text behind the comments. Comments that are not in sqlcommenter
// form are skipped.
func parseComments(sql []byte) (directives, []byte, *errs.Error) {
	var d directives
	for {
		sql = bytes.TrimLeft(sql, " \t\r\n\f\v")
		comment, rest := cutComment(sql)
		if comment == nil {
			return d, sql, nil
		}
		if comment[1] == '*' {
			if err := d.parseComment(comment[2 : len(comment)-2]); err != nil {
				return directives{}, nil, err
			}
		}
		sql = rest
	}
}

// cutComment cuts a leading comment off; nil when there is no complete one.
// Block comments nest, as in PostgreSQL, so that both sides agree where the
// statement begins.
func cutComment(sql []byte) (comment, rest []byte) {
	if len(sql) < 2 {
		return nil, sql
	}
	if sql[0] == '-' && sql[1] == '-' {
		end := bytes.IndexByte(sql, '\n') + 1
		if end == 0 {
			end = len(sql)
		}
		return sql[:end], sql[end:]
	}
	if sql[0] != '/' || sql[1] != '*' {
		return nil, sql
	}
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch {
		case sql[i] == '/' && sql[i+1] == '*':
			depth++
			i++
		case sql[i] == '*' && sql[i+1] == '/':
			depth--
			i++
			if depth == 0 {
				return sql[:i+1], sql[i+1:]
			}
		}
	}
	return nil, sql
}

// parseComment reads the inside of one comment. A comment that is not in the
// form is no directive and is skipped, unless it names a directive: a misspelt
// once key or read mark must not be lost silently.
func (d *directives) parseComment(inside []byte) *errs.Error {
	if bytes.IndexByte(inside, '=') < 0 {
		return nil
	}
	text := string(inside)
	var found directives
	rest := text
	for {
		key, value, tail, ok := cutPair(rest)
		if !ok {
			return refuseIfDirective(text)
		}
		if bit := directiveOf(key); bit != 0 {
			if (d.given|found.given)&bit != 0 {
				return notRun(errs.BadRequest, stepDirective, "the directive %s is given twice", key)
			}
			decoded, err := url.PathUnescape(value)
			if err != nil {
				return invalidDirective(bit, "is not URL-encoded")
			}
			if err := found.set(bit, decoded); err != nil {
				return err
			}
			found.given |= bit
		}
		if tail == "" {
			d.overlay(&found)
			return nil
		}
		rest = tail
	}
}

const commentSpace = " \t\r\n"

// cutPair cuts key='value' and a comma behind it off. In the value a backslash
// escapes the next character.
func cutPair(s string) (key, value, tail string, ok bool) {
	key, s, ok = strings.Cut(s, "=")
	if !ok {
		return "", "", "", false
	}
	key, err := url.PathUnescape(strings.Trim(key, commentSpace))
	if err != nil || key == "" || strings.ContainsAny(key, commentSpace+"',") {
		return "", "", "", false
	}
	s = strings.TrimLeft(s, commentSpace)
	value, s, ok = cutQuoted(s)
	if !ok {
		return "", "", "", false
	}
	s = strings.TrimLeft(s, commentSpace)
	if s == "" {
		return key, value, "", true
	}
	if s[0] != ',' || strings.TrimLeft(s[1:], commentSpace) == "" {
		return "", "", "", false
	}
	return key, value, s[1:], true
}

func cutQuoted(s string) (value, tail string, ok bool) {
	if s == "" || s[0] != '\'' {
		return "", "", false
	}
	escaped := false
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			escaped = true
			i++
		case '\'':
			value = s[1:i]
			if escaped {
				value = unescape(value)
			}
			return value, s[i+1:], true
		}
	}
	return "", "", false
}

func unescape(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '\\' && i+1 < len(s) {
			i++
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// refuseIfDirective refuses a comment that has a directive's name before an
// equals sign.
func refuseIfDirective(text string) *errs.Error {
	parts := strings.Split(text, "=")
	for _, part := range parts[:len(parts)-1] {
		part = strings.TrimRight(part, commentSpace)
		word := part[strings.LastIndexAny(part, commentSpace+"',")+1:]
		if directiveOf(word) != 0 {
			return notRun(errs.BadRequest, stepDirective,
				"the leading comment names the directive %s but is not in the form key='value',...", word)
		}
	}
	return nil
}
