package front

import (
	"limpetspan/pkg/errs"
)

// statement is a prepared statement, or the text of a simple query.
type statement struct {
	name string
	// parse is the raw Parse message; it aliases the input while its batch
	// runs and is the statement's own once it is kept.
	parse      []byte
	directives directives
	action     action
}

// statements are the prepared statements that a caller has defined. The home
// brings them onto whichever connection runs an exchange.
type statements struct {
	named map[string]*statement
	// unnamed is forgotten at the next unnamed Parse or Query.
	unnamed *statement
	// size is the memory held by parse, in bytes.
	size int
}

// statementOverhead is counted for each kept statement, in bytes.
const statementOverhead = 400

func (s *statements) get(name string) *statement {
	if name == "" {
		return s.unnamed
	}
	return s.named[name]
}

// keep remembers a statement beyond its batch. The memory of the unnamed
// statement is reused; one that exceeds the bound, in bytes, is not kept.
func (s *statements) keep(st *statement, bound int) {
	if len(st.parse) > bound {
		s.forget(st.name)
		return
	}
	var kept *statement
	if st.name == "" && s.unnamed != nil {
		kept = s.unnamed
		s.size -= len(kept.parse) + statementOverhead
	} else {
		s.forget(st.name)
		kept = new(statement)
	}
	parse := append(kept.parse[:0], st.parse...)
	*kept = *st
	kept.parse = parse
	s.size += len(parse) + statementOverhead
	if st.name == "" {
		s.unnamed = kept
		return
	}
	if s.named == nil {
		s.named = make(map[string]*statement, 4)
	}
	s.named[st.name] = kept
}

func (s *statements) forget(name string) {
	st := s.get(name)
	if st == nil {
		return
	}
	s.size -= len(st.parse) + statementOverhead
	if name == "" {
		s.unnamed = nil
		return
	}
	delete(s.named, name)
}

func (s *statements) forgetAll() { *s = statements{} }

// room refuses a statement above the bound of the connection.
func (s *statements) room(parse []byte, bound int) *errs.Error {
	if s.size+len(parse)+statementOverhead <= bound {
		return nil
	}
	return notRun(kindLimit, stepStatement,
		"the prepared statements of this connection exceed %d bytes; close some", bound)
}
