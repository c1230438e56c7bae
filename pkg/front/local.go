package front

import (
	"encoding/binary"

	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

// Backend messages without a body that changes.
var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	noData        = []byte{'n', 0, 0, 0, 4}
	noParameters  = []byte{'t', 0, 0, 0, 6, 0, 0}
)

// textOID is the type of the column that SHOW returns.
const textOID = 25

// localAnswer answers an exchange whose statements all belong to the front.
type localAnswer struct {
	caller *caller
	batch  *batch
	answer *answer
	out    []byte
	// portals are the portals bound in this exchange.
	portals []localPortal
	// parses and closes count the completed messages.
	parses, closes int
	// changes counts the batch's changes passed so far.
	changes int
}

type localPortal struct {
	name      string
	statement *statement
}

// run answers all messages up to the first error.
func (l *localAnswer) run(messages []byte) *errs.Error {
	for len(messages) > 0 {
		message, rest, _ := pgframe.Split(messages, 0)
		if err := l.message(message); err != nil {
			return err
		}
		l.flush()
		messages = rest
	}
	return nil
}

// flush bounds the memory of an answer to many small messages.
func (l *localAnswer) flush() {
	if len(l.out) < answerBuffer || l.answer.buffered {
		return
	}
	l.answer.buf = l.out
	l.answer.flush()
	l.out = l.answer.buf
}

func (l *localAnswer) message(m pgframe.Message) *errs.Error {
	body := m.Body()
	switch m.Type() {
	case messageQuery:
		st := &l.batch.first
		l.describe(st, false)
		return l.execute(st)
	case messageParse:
		l.parses++
		l.changes++
		l.out = append(l.out, parseComplete...)
	case messageBind:
		portal, rest, _ := cutString(body)
		name, _, _ := cutString(rest)
		l.portals = append(l.portals, localPortal{string(portal), l.statement(name)})
		l.out = append(l.out, bindComplete...)
	case messageDescribe:
		kind, name, _ := cutObject(body)
		return l.describeObject(kind, name)
	case messageExecute:
		name, _, _ := cutString(body)
		st, err := l.portal(name)
		if err != nil {
			return err
		}
		return l.execute(st)
	case messageClose:
		if kind, _, _ := cutObject(body); kind == objectStatement {
			l.closes++
			l.changes++
		}
		l.out = append(l.out, closeComplete...)
	}
	return nil
}

// statement finds what a name means at this point of the exchange.
func (l *localAnswer) statement(name []byte) *statement {
	for i := l.changes - 1; i >= 0; i-- {
		if c := l.batch.changes[i]; c.name == string(name) {
			return c.statement
		}
	}
	return l.batch.kept.get(string(name))
}

func (l *localAnswer) portal(name []byte) (*statement, *errs.Error) {
	for i := len(l.portals) - 1; i >= 0; i-- {
		if l.portals[i].name == string(name) {
			return l.portals[i].statement, nil
		}
	}
	return nil, notRun(kindNoPortal, stepStatement, "portal %q does not exist", name)
}

func (l *localAnswer) describeObject(kind byte, name []byte) *errs.Error {
	if kind == objectStatement {
		l.out = append(l.out, noParameters...)
		l.describe(l.statement(name), true)
		return nil
	}
	st, err := l.portal(name)
	if err == nil {
		l.describe(st, true)
	}
	return err
}

// describe says which columns a statement returns.
func (l *localAnswer) describe(st *statement, extended bool) {
	if st.action.kind != actionShow {
		if extended {
			l.out = append(l.out, noData...)
		}
		return
	}
	start := l.begin('T')
	l.out = binary.BigEndian.AppendUint16(l.out, 1)
	l.out = append(append(l.out, st.action.name...), 0)
	l.out = append(l.out, 0, 0, 0, 0, 0, 0)
	l.out = binary.BigEndian.AppendUint32(l.out, textOID)
	l.out = append(l.out, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	l.end(start)
}

// execute carries a statement out and says its rows and command tag.
func (l *localAnswer) execute(st *statement) *errs.Error {
	tag, err := l.caller.perform(&st.action)
	if err != nil {
		return err
	}
	if st.action.kind == actionShow {
		value := l.caller.showSetting(st.action.directive)
		start := l.begin('D')
		l.out = binary.BigEndian.AppendUint16(l.out, 1)
		l.out = binary.BigEndian.AppendUint32(l.out, uint32(len(value)))
		l.out = append(l.out, value...)
		l.end(start)
	}
	start := l.begin('C')
	l.out = append(append(l.out, tag...), 0)
	l.end(start)
	return nil
}

// begin opens a message and returns where its length stands.
func (l *localAnswer) begin(kind byte) int {
	l.out = append(l.out, kind, 0, 0, 0, 0)
	return len(l.out) - 4
}

func (l *localAnswer) end(start int) {
	binary.BigEndian.PutUint32(l.out[start:], uint32(len(l.out)-start))
}

// perform changes what a local statement asks for and returns its tag.
func (c *caller) perform(a *action) (string, *errs.Error) {
	switch a.kind {
	case actionSet:
		return a.tag, c.settings.set(a.directive, a.value)
	case actionReset:
		c.settings.unset(a.directive)
	case actionResetAll:
		c.settings = directives{}
	case actionDeallocate:
		if c.statements.get(a.name) == nil {
			return "", notRun(kindNoStatement, stepStatement, "prepared statement %q does not exist", a.name)
		}
		c.statements.forget(a.name)
	case actionDeallocateAll:
		c.statements.forgetAll()
	case actionDiscardAll:
		if !c.tx.idle() {
			return "", notRun(kindActiveTransaction, stepStatement, "DISCARD ALL cannot run inside a transaction block")
		}
		c.settings = directives{}
		c.statements.forgetAll()
	case actionEnd:
		return c.rollBack()
	}
	return a.tag, nil
}

// showSetting returns the value of a directive for the connection.
func (c *caller) showSetting(bit directiveSet) string {
	if bit == hasSession && c.settings.values.Session == "" {
		return string(c.session)
	}
	return c.settings.show(bit)
}
