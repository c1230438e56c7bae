package front

import (
	"bytes"
	"encoding/binary"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// batch is what the front finds out about the messages of one exchange.
type batch struct {
	// statements says what the caller has prepared earlier; settings are the
	// directives of its connection, maxPrepared bounds what it keeps, in bytes.
	kept        *statements
	settings    *directives
	maxPrepared int

	// changes are the Parse and Close messages for statements, in order.
	changes []change
	// named and unnamed are the statements as the batch sees them at the
	// point reached; nil in named: closed by the batch.
	named   map[string]*statement
	unnamed *statement
	// first is the memory of the batch's first statement.
	first     statement
	firstUsed bool
	// uses are the statements used but not defined by the batch.
	uses []exchange.Prepared

	// merged are the directives of the exchange, from mentioned statements;
	// spoken counts those that had a say.
	merged            core.Directives
	mentioned, spoken int
	last              *statement
	// controls: a statement without directives steers a transaction.
	controls bool
	// local and remote count the statements the front and the target answer.
	local, remote int
	// only is the statement of the exchange when there is just one.
	only *statement
	// executes: something runs; portals: a portal is made or used.
	executes, portals bool
	err               *errs.Error
}

// change is a Parse (statement set) or a Close of a statement.
type change struct {
	statement *statement
	name      string
}

func (b *batch) reset() {
	clear(b.changes)
	clear(b.uses)
	if b.named != nil {
		clear(b.named)
	}
	*b = batch{changes: b.changes[:0], uses: b.uses[:0], named: b.named}
}

// read looks through the messages. The first problem ends it and is in err.
func (b *batch) read(messages []byte) {
	for len(messages) > 0 && b.err == nil {
		message, rest, _ := pgframe.Split(messages, 0)
		if message == nil {
			return
		}
		b.message(message)
		messages = rest
	}
}

func (b *batch) message(m pgframe.Message) {
	body := m.Body()
	switch m.Type() {
	case messageQuery:
		b.query(body)
	case messageParse:
		b.parse(m)
	case messageBind:
		b.portals = true
		if _, rest, ok := cutString(body); !ok {
			b.malformed("Bind")
		} else if name, _, ok := cutString(rest); !ok {
			b.malformed("Bind")
		} else {
			b.use(name)
		}
	case messageDescribe:
		if kind, name, ok := cutObject(body); !ok {
			b.malformed("Describe")
		} else if kind == objectStatement {
			b.use(name)
		} else {
			b.portals = true
		}
	case messageClose:
		if kind, name, ok := cutObject(body); !ok {
			b.malformed("Close")
		} else if kind == objectStatement {
			b.close(name)
		} else {
			b.portals = true
		}
	case messageExecute:
		if _, rest, ok := cutString(body); !ok || len(rest) != 4 {
			b.malformed("Execute")
		}
		b.executes, b.portals = true, true
	case messageFunction:
		b.err = notRun(errs.Unsupported, stepMessage, "the FunctionCall message is not carried; use SELECT")
	case messageSync, messageFlush:
		if len(body) != 0 {
			b.malformed("Sync or Flush")
		}
	}
}

func (b *batch) malformed(what string) {
	b.err = notRun(errs.BadRequest, stepMessage, "malformed %s message", what)
}

// query looks at a simple query.
func (b *batch) query(body []byte) {
	sql, rest, ok := cutString(body)
	if !ok || len(rest) != 0 {
		b.malformed("Query")
		return
	}
	st := b.newStatement()
	b.executes = true
	if b.text(st, sql) {
		b.mention(st)
	}
}

// parse looks at the definition of a prepared statement.
func (b *batch) parse(m pgframe.Message) {
	name, rest, ok := cutString(m.Body())
	if !ok {
		b.malformed("Parse")
		return
	}
	sql, rest, ok := cutString(rest)
	if !ok || len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		b.malformed("Parse")
		return
	}
	if len(name) > 0 && b.find(name) != nil {
		b.err = notRun(kindDuplicateStatement, stepStatement, "prepared statement %q already exists", name)
		return
	}
	st := b.newStatement()
	st.name, st.parse = string(name), m
	if !b.text(st, sql) {
		return
	}
	if len(name) > 0 {
		if b.err = b.kept.room(m, b.maxPrepared); b.err != nil {
			return
		}
	}
	b.define(st.name, st)
	b.changes = append(b.changes, change{st, st.name})
	b.mention(st)
}

func (b *batch) close(name []byte) {
	closed := string(name)
	b.define(closed, nil)
	b.changes = append(b.changes, change{nil, closed})
}

// newStatement returns memory for a statement; that of the first is reused.
func (b *batch) newStatement() *statement {
	if b.firstUsed {
		return new(statement)
	}
	b.firstUsed = true
	b.first = statement{}
	return &b.first
}

// text takes in a statement's SQL.
func (b *batch) text(st *statement, sql []byte) bool {
	var rest []byte
	st.directives, rest, b.err = parseComments(sql)
	if b.err != nil {
		return false
	}
	st.action = classify(rest)
	b.err = st.action.err
	return b.err == nil
}

// closedUnnamed marks the unnamed statement as closed by the batch.
var closedUnnamed = new(statement)

// find returns the statement of the name at this point of the batch.
func (b *batch) find(name []byte) *statement {
	if len(name) == 0 {
		if b.unnamed == closedUnnamed {
			return nil
		}
		if b.unnamed != nil {
			return b.unnamed
		}
		return b.kept.unnamed
	}
	if st, ok := b.named[string(name)]; ok {
		return st
	}
	return b.kept.named[string(name)]
}

// define sets what the name means from here on; nil: nothing.
func (b *batch) define(name string, st *statement) {
	if name == "" {
		b.unnamed = st
		if st == nil {
			b.unnamed = closedUnnamed
		}
		return
	}
	if b.named == nil {
		b.named = make(map[string]*statement, 4)
	}
	b.named[name] = st
}

// use notes that the batch needs a statement.
func (b *batch) use(name []byte) {
	st := b.find(name)
	if st == nil {
		b.err = notRun(kindNoStatement, stepStatement, "prepared statement %q does not exist", name)
		return
	}
	if b.isKept(st, name) && !st.action.local() {
		b.uses = append(b.uses, exchange.Prepared{Name: st.name, Parse: st.parse})
		b.define(st.name, st)
	}
	b.mention(st)
}

// isKept reports whether a statement found stems from an earlier exchange and
// is used for the first time.
func (b *batch) isKept(st *statement, name []byte) bool {
	if len(name) == 0 {
		return b.unnamed == nil && st == b.kept.unnamed
	}
	_, seen := b.named[string(name)]
	return !seen
}

// mention takes a statement's directives into the exchange's. A BEGIN or the
// like without directives leaves those of its neighbours standing.
func (b *batch) mention(st *statement) {
	if st == b.last {
		return
	}
	b.last = st
	if st.action.local() {
		b.local++
	} else {
		b.remote++
	}
	b.mentioned++
	b.only = nil
	if b.mentioned == 1 {
		b.only = st
	}
	if st.directives.given == 0 && st.action.control() {
		b.controls = true
		return
	}
	effective := *b.settings
	effective.overlay(&st.directives)
	b.spoken++
	if b.spoken == 1 {
		b.merged = effective.values
		return
	}
	b.err = mergeDirectives(&b.merged, &effective.values)
}

// settle brings the caller's statements up to date after an answer in which
// so many Parse and Close messages were completed.
func (b *batch) settle(parses, closes int) {
	for _, c := range b.changes {
		switch {
		case c.statement != nil && parses > 0:
			parses--
			b.kept.keep(c.statement, b.maxPrepared)
		case c.statement != nil && c.name == "":
			// A failed Parse drops the unnamed statement all the same.
			b.kept.forget("")
		case c.statement == nil && closes > 0:
			closes--
			b.kept.forget(c.name)
		}
	}
}

// cutString cuts a NUL-terminated string off.
func cutString(b []byte) (s, rest []byte, ok bool) {
	n := bytes.IndexByte(b, 0)
	if n < 0 {
		return nil, nil, false
	}
	return b[:n], b[n+1:], true
}

// cutObject reads the kind and the name of a Describe or Close message.
func cutObject(body []byte) (kind byte, name []byte, ok bool) {
	if len(body) < 2 || body[0] != objectStatement && body[0] != objectPortal {
		return 0, nil, false
	}
	name, rest, ok := cutString(body[1:])
	return body[0], name, ok && len(rest) == 0
}
