package target

import (
	"strconv"
	"strings"
)

// verb is what a statement asks for.
type verb uint8

const (
	// verbQuery goes to the engine.
	verbQuery verb = iota
	verbEmpty
	verbBegin
	verbCommit
	verbRollback
	verbSavepoint
	verbRelease
	verbRollbackTo
	verbSet
	verbShow
	verbDiscard
	verbDeallocate
	verbCopy
	// verbState is one of the limpetspan functions.
	verbState
	// verbConstant is SELECT 1 or SELECT $1, answered without the engine.
	verbConstant
	verbRefused
)

// command is a parsed statement. It is immutable and shared by sessions.
type command struct {
	verb verb
	// sql is the client's text, rewritten what the engine gets.
	sql, rewritten string
	tokens         []token
	// tag is the command tag without the row count.
	tag string
	// counted: the row count belongs to the tag.
	counted bool
	// name is a savepoint, a prepared statement, a setting or a function.
	name string
	// term is the argument of a state function.
	term uint64
	// hints are the types of parameters that casts gave, by number.
	hints map[int]uint32
	// readOnly: BEGIN READ ONLY.
	readOnly bool
	// schema: the statement changes the schema.
	schema bool
}

var verbs = map[string]verb{
	"BEGIN": verbBegin, "START": verbBegin, "COMMIT": verbCommit, "END": verbCommit,
	"ROLLBACK": verbRollback, "ABORT": verbRollback, "SAVEPOINT": verbSavepoint,
	"RELEASE": verbRelease, "SET": verbSet, "RESET": verbSet, "SHOW": verbShow,
	"DISCARD": verbDiscard, "DEALLOCATE": verbDeallocate, "COPY": verbCopy,
	"PRAGMA": verbRefused, "ATTACH": verbRefused, "DETACH": verbRefused,
	"VACUUM": verbRefused, "LISTEN": verbRefused, "NOTIFY": verbRefused,
	"DECLARE": verbRefused, "FETCH": verbRefused, "PREPARE": verbRefused, "EXECUTE": verbRefused,
}

// parse reads one statement.
func parse(sql string, cheap bool) *command {
	c := &command{sql: sql, tokens: tokenize(sql)}
	if len(c.tokens) == 0 {
		c.verb = verbEmpty
		return c
	}
	first := strings.ToUpper(c.tokens[0].text)
	c.tag = first
	c.verb = verbs[first]
	switch c.verb {
	case verbQuery:
		c.parseQuery(cheap)
	case verbBegin:
		c.tag = "BEGIN"
		c.readOnly = c.sequence("READ", "ONLY")
	case verbCommit:
		c.tag = "COMMIT"
	case verbRollback:
		c.parseRollback()
	case verbSavepoint, verbRelease, verbDeallocate:
		c.name = c.tokens[len(c.tokens)-1].text
	case verbSet, verbShow:
		c.name = strings.ToLower(c.word(1))
	case verbDiscard:
		c.tag = "DISCARD " + strings.ToUpper(c.word(1))
	}
	return c
}

func (c *command) word(i int) string {
	if i < len(c.tokens) {
		return c.tokens[i].text
	}
	return ""
}

// sequence reports whether the words follow each other anywhere.
func (c *command) sequence(words ...string) bool {
	for i := 0; i+len(words) <= len(c.tokens); i++ {
		found := true
		for j, w := range words {
			found = found && c.tokens[i+j].is(w)
		}
		if found {
			return true
		}
	}
	return false
}

func (c *command) parseRollback() {
	c.tag = "ROLLBACK"
	for _, t := range c.tokens[1:] {
		if t.is("TO") {
			c.verb = verbRollbackTo
			c.name = c.tokens[len(c.tokens)-1].text
		}
	}
}

func (c *command) parseQuery(cheap bool) {
	if c.parseState() {
		return
	}
	if cheap && len(c.tokens) == 2 && c.tokens[0].is("SELECT") && (c.tokens[1].text == "1" || c.tokens[1].text == "$1") {
		c.verb, c.tag, c.counted = verbConstant, "SELECT", true
	}
	c.rewrite()
	c.findTag()
}

// parseState recognizes SELECT * FROM f(), where f is one of the state
// functions and its argument, if it has one, is a term. Any other text, also
// one over a table whose name begins as theirs, goes to the engine.
func (c *command) parseState() bool {
	t := c.tokens
	if len(t) > 0 && t[len(t)-1].symbol(";") {
		t = t[:len(t)-1]
	}
	if len(t) < 6 || !t[0].is("SELECT") || !t[1].symbol("*") || !t[2].is("FROM") || !t[4].symbol("(") || !t[len(t)-1].symbol(")") {
		return false
	}
	takesTerm, ok := stateFunctions[t[3].text]
	arguments := t[5 : len(t)-1]
	switch {
	case !ok:
		return false
	case takesTerm && (len(arguments) != 1 || arguments[0].kind != tokenNumber):
		return false
	case !takesTerm && len(arguments) != 0:
		return false
	}
	c.verb, c.tag, c.counted, c.name = verbState, "SELECT", true, t[3].text
	if takesTerm {
		c.term, _ = strconv.ParseUint(arguments[0].text, 10, 64)
	}
	return true
}

// rewrite turns $1 into ?1 and drops casts, whose types become hints.
func (c *command) rewrite() {
	var b strings.Builder
	copied := 0
	for i := 0; i < len(c.tokens); i++ {
		t := c.tokens[i]
		switch {
		case t.kind == tokenParam:
			b.WriteString(c.sql[copied:t.start])
			b.WriteByte('?')
			b.WriteString(t.text[1:])
			copied = t.end
		case t.symbol("::") && i+1 < len(c.tokens):
			if i > 0 && c.tokens[i-1].kind == tokenParam {
				c.hint(c.tokens[i-1], c.tokens[i+1].text)
			}
			b.WriteString(c.sql[copied:t.start])
			copied = c.tokens[i+1].end
			i++
		}
	}
	if copied == 0 {
		c.rewritten = c.sql
		return
	}
	b.WriteString(c.sql[copied:])
	c.rewritten = b.String()
}

func (c *command) hint(param token, typeName string) {
	if c.hints == nil {
		c.hints = make(map[int]uint32)
	}
	c.hints[paramNumber(param)] = typeOf(typeName)
}

// paramNumber returns 1 for $1.
func paramNumber(t token) int {
	n, _ := strconv.Atoi(t.text[1:])
	return n
}

// findTag sets the command tag of a statement for the engine.
func (c *command) findTag() {
	switch c.tag {
	case "SELECT", "VALUES":
		c.tag, c.counted = "SELECT", true
	case "INSERT", "REPLACE":
		c.tag, c.counted = "INSERT 0", true
	case "UPDATE", "DELETE":
		c.counted = true
	case "WITH":
		c.findWithTag()
	case "CREATE", "DROP", "ALTER":
		c.schema = true
		c.findSchemaTag()
	}
}

// findWithTag finds the verb behind the common table expressions.
func (c *command) findWithTag() {
	c.tag, c.counted = "SELECT", true
	depth := 0
	for _, t := range c.tokens {
		switch {
		case t.symbol("("):
			depth++
		case t.symbol(")"):
			depth--
		case depth == 0 && t.is("INSERT"):
			c.tag = "INSERT 0"
			return
		case depth == 0 && (t.is("UPDATE") || t.is("DELETE")):
			c.tag = strings.ToUpper(t.text)
			return
		}
	}
}

// findSchemaTag names the kind of object, as in CREATE TABLE.
func (c *command) findSchemaTag() {
	for _, t := range c.tokens[1:] {
		if t.is("TABLE") || t.is("INDEX") || t.is("VIEW") || t.is("TRIGGER") {
			c.tag += " " + strings.ToUpper(t.text)
			return
		}
	}
}

// appendTag appends the command tag with the row count where it has one.
func (c *command) appendTag(dst []byte, count int64) []byte {
	dst = append(dst, c.tag...)
	if c.counted {
		dst = strconv.AppendInt(append(dst, ' '), count, 10)
	}
	return dst
}
