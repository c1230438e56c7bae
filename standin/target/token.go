package target

import "strings"

// tokenKind is the class of a token.
type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenNumber
	tokenString
	// tokenParam is $1 and the like.
	tokenParam
	tokenSymbol
)

// token is one lexical unit of a statement; comments and blanks are skipped.
type token struct {
	kind       tokenKind
	start, end int
	// text is the token as written; of a quoted name it is the name.
	text string
}

// is reports whether the token is the keyword, given in upper case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

func (t token) symbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

// tokenize splits SQL text into tokens. An unterminated quote or comment
// extends to the end: the engine reports it.
func tokenize(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		if skipped := skipBlank(sql, i); skipped > i {
			i = skipped
			continue
		}
		t := next(sql, i)
		tokens = append(tokens, t)
		i = t.end
	}
	return tokens
}

// skipBlank returns the offset behind a blank or comment at i, or i.
func skipBlank(sql string, i int) int {
	switch {
	case strings.IndexByte(" \t\r\n\f", sql[i]) >= 0:
		return i + 1
	case strings.HasPrefix(sql[i:], "--"):
		return until(sql, i+2, "\n")
	case strings.HasPrefix(sql[i:], "/*"):
		return until(sql, i+2, "*/")
	}
	return i
}

// until returns the offset behind the next mark, or the end.
func until(sql string, from int, mark string) int {
	if from > len(sql) {
		return len(sql)
	}
	if n := strings.Index(sql[from:], mark); n >= 0 {
		return from + n + len(mark)
	}
	return len(sql)
}

func next(sql string, i int) token {
	c := sql[i]
	switch {
	case c == '\'':
		end := quoted(sql, i, '\'')
		return token{kind: tokenString, start: i, end: end, text: sql[i:end]}
	case c == '"':
		end := quoted(sql, i, '"')
		return token{kind: tokenWord, start: i, end: end, text: strings.Trim(sql[i:end], `"`)}
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		end := span(sql, i+1, isDigit)
		return token{kind: tokenParam, start: i, end: end, text: sql[i:end]}
	case isDigit(c):
		end := span(sql, i, func(b byte) bool { return isDigit(b) || b == '.' })
		return token{kind: tokenNumber, start: i, end: end, text: sql[i:end]}
	case isLetter(c):
		end := span(sql, i, func(b byte) bool { return isLetter(b) || isDigit(b) })
		return token{kind: tokenWord, start: i, end: end, text: sql[i:end]}
	}
	end := i + 1
	for _, s := range []string{"::", "<=", ">=", "<>", "!=", "||"} {
		if strings.HasPrefix(sql[i:], s) {
			end = i + len(s)
		}
	}
	return token{kind: tokenSymbol, start: i, end: end, text: sql[i:end]}
}

// quoted returns the offset behind a quoted text; a doubled quote stands for one.
func quoted(sql string, i int, quote byte) int {
	for i++; i < len(sql); i++ {
		if sql[i] != quote {
			continue
		}
		if i+1 < len(sql) && sql[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(sql)
}

func span(sql string, i int, in func(byte) bool) int {
	for i < len(sql) && in(sql[i]) {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || c >= 0x80 || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// split cuts a text into its statements, without empty ones.
func split(sql string) []string {
	if strings.IndexByte(sql, ';') < 0 {
		if len(tokenize(sql)) == 0 {
			return nil
		}
		return []string{sql}
	}
	var statements []string
	start, tokens := 0, 0
	cut := func(end int) {
		if tokens > 0 {
			statements = append(statements, sql[start:end])
		}
		tokens = 0
	}
	for _, t := range tokenize(sql) {
		if t.symbol(";") {
			cut(t.start)
			start = t.end
			continue
		}
		tokens++
	}
	cut(len(sql))
	return statements
}
