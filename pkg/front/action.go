package front

import (
	"bytes"
	"strings"

	"limpetspan/pkg/errs"
)

// actionKind says who carries a statement out.
type actionKind uint8

const (
	// actionForward: the target.
	actionForward actionKind = iota
	// actionControl: the target; begins a transaction or handles a savepoint.
	actionControl
	// actionEnd: the target; ends a transaction (COMMIT, ROLLBACK).
	actionEnd
	// actionRollbackTo: the target; goes back to a savepoint.
	actionRollbackTo
	// The front answers the others.

	// actionNothing: nothing changes.
	actionNothing
	actionSet
	actionReset
	actionResetAll
	actionShow
	actionDeallocate
	actionDeallocateAll
	actionDiscardAll
	// actionRefuse: not carried.
	actionRefuse
)

// action is what the leading keyword of a statement asks for.
type action struct {
	kind actionKind
	// directive is the setting of actionSet, actionReset and actionShow.
	directive directiveSet
	// name is the setting's name, or the statement of actionDeallocate.
	name  string
	value string
	// tag is the command tag of the answer.
	tag string
	err *errs.Error
}

// local reports whether the front answers the statement.
func (a *action) local() bool { return a.kind >= actionNothing }

// control reports whether the statement only steers a transaction. Drivers put
// such statements in front of others by themselves.
func (a *action) control() bool {
	return a.kind == actionControl || a.kind == actionEnd || a.kind == actionRollbackTo
}

func refuse(err *errs.Error) action { return action{kind: actionRefuse, err: err} }

// unsupported refuses a statement that leaves state on its connection.
func unsupported(what, instead string) action {
	return refuse(notRun(errs.Unsupported, stepStatement,
		"%s is not carried, because connections to targets are shared; %s", what, instead))
}

// maxKeywordLen is the length of the longest keyword looked for.
const maxKeywordLen = 10

// classify looks at the leading keyword of sql, which begins after comments.
func classify(sql []byte) action {
	n := 0
	for n < len(sql) && n <= maxKeywordLen && isLetter(sql[n]) {
		n++
	}
	if n > maxKeywordLen {
		return action{}
	}
	var upper [maxKeywordLen]byte
	for i := range n {
		upper[i] = sql[i] &^ 0x20
	}
	l := lexer{sql[n:]}
	switch string(upper[:n]) {
	case "SET":
		return classifySet(&l)
	case "SHOW":
		return classifyShow(&l)
	case "RESET":
		return classifyReset(&l)
	case "BEGIN", "START", "SAVEPOINT", "RELEASE":
		return action{kind: actionControl}
	case "COMMIT", "END", "ABORT", "ROLLBACK":
		return classifyEnd(&l)
	case "CREATE":
		return classifyCreate(&l)
	case "COPY":
		return classifyCopy(l.rest)
	case "DISCARD":
		return classifyDiscard(&l)
	case "DEALLOCATE":
		return classifyDeallocate(&l)
	case "UNLISTEN":
		return classifyUnlisten(&l)
	case "LISTEN":
		return unsupported("LISTEN", "poll, or listen on a connection of your own to the target")
	case "PREPARE", "EXECUTE":
		return unsupported("PREPARE and EXECUTE in SQL", "use your driver's prepared statements")
	case "LOAD":
		return unsupported("LOAD", "load the library in the target's settings")
	}
	return action{kind: actionForward}
}

func isLetter(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }

// classifyEnd tells the plain end of a transaction from what also goes on:
// AND CHAIN, or further statements. Only a plain end may be answered with a
// ROLLBACK by the front, because nothing of it is lost then.
func classifyEnd(l *lexer) action {
	previous := ""
	for l.peek().kind == tokenWord {
		word := l.next().text
		switch {
		case word == "to":
			return action{kind: actionRollbackTo}
		case word == "prepared":
			return unsupported("two-phase commit", "use one transaction for each group")
		case word == "chain" && previous != "no":
			return action{kind: actionControl}
		}
		previous = word
	}
	if !l.atEnd() {
		return action{kind: actionControl}
	}
	return action{kind: actionEnd}
}

func classifyUnlisten(l *lexer) action {
	if l.next().kind == tokenEnd || !l.atEnd() {
		return severalStatements("UNLISTEN")
	}
	return action{kind: actionNothing, tag: "UNLISTEN"}
}

func classifyCreate(l *lexer) action {
	t := l.next()
	if t.text == "local" || t.text == "global" {
		t = l.next()
	}
	if t.kind == tokenWord && (t.text == "temp" || t.text == "temporary") {
		return unsupported("a temporary table", "use a common table expression or an ordinary table")
	}
	return action{}
}

// classifyCopy refuses COPY FROM STDIN, whose data would follow the exchange.
// A COPY whose text merely holds the word is refused as well.
func classifyCopy(rest []byte) action {
	if bytes.Contains(bytes.ToLower(rest), []byte("stdin")) {
		return unsupported("COPY FROM STDIN", "use INSERT with several rows or a batch")
	}
	return action{}
}

func classifyDiscard(l *lexer) action {
	t := l.next()
	if t.kind != tokenWord || !l.atEnd() {
		return severalStatements("DISCARD")
	}
	if t.text == "all" {
		return action{kind: actionDiscardAll, tag: "DISCARD ALL"}
	}
	return action{kind: actionNothing, tag: "DISCARD " + strings.ToUpper(t.text)}
}

func classifyDeallocate(l *lexer) action {
	t := l.next()
	if t.kind == tokenWord && t.text == "prepare" && l.peek().kind != tokenEnd {
		t = l.next()
	}
	if !l.atEnd() || t.kind == tokenEnd || t.kind == tokenSymbol {
		return severalStatements("DEALLOCATE")
	}
	if t.kind == tokenWord && t.text == "all" {
		return action{kind: actionDeallocateAll, tag: "DEALLOCATE ALL"}
	}
	return action{kind: actionDeallocate, name: t.text, tag: "DEALLOCATE"}
}

func classifyShow(l *lexer) action {
	t := l.next()
	name, ok := strings.CutPrefix(t.text, settingPrefix)
	if !ok {
		return action{}
	}
	bit := directiveOf(name)
	if bit == 0 {
		return unknownSetting(t.text)
	}
	if !l.atEnd() {
		return severalStatements("SHOW " + t.text)
	}
	return action{kind: actionShow, directive: bit, name: t.text, tag: "SHOW"}
}

func classifyReset(l *lexer) action {
	t := l.next()
	if t.kind == tokenEnd || !l.atEnd() {
		return severalStatements("RESET")
	}
	if t.text == "all" {
		return action{kind: actionResetAll, tag: "RESET"}
	}
	name, ok := strings.CutPrefix(t.text, settingPrefix)
	if !ok {
		return action{kind: actionNothing, tag: "RESET"}
	}
	bit := directiveOf(name)
	if bit == 0 {
		return unknownSetting(t.text)
	}
	return action{kind: actionReset, directive: bit, tag: "RESET"}
}

func severalStatements(what string) action {
	return refuse(notRun(errs.BadRequest, stepStatement,
		"%s is answered by limpetspan and must stand alone, complete and with nothing behind it", what))
}

func unknownSetting(name string) action {
	return refuse(notRun(kindUnknownSetting, stepStatement, "there is no setting %s; there are %s", name,
		strings.Join(directiveNames[:], ", ")))
}
