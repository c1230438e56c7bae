package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// inference finds the types of a statement's parameters and expressions, which
// the engine doesn't have, from the columns that stand beside them.
type inference struct {
	command *command
	params  []uint32
	// columns are the types of the columns of the statement's tables, by
	// lower-case name; of a name that stands in two tables, the first counts.
	columns map[string]uint32
	// order are the column names of the first table.
	order []string
}

// loadTables reads the columns of the tables that the statement names.
func (in *inference) loadTables(conn *engine.Conn) error {
	in.columns = make(map[string]uint32)
	for _, table := range in.tables() {
		if err := in.loadTable(conn, table); err != nil {
			return err
		}
	}
	return nil
}

// tables returns the names behind FROM, JOIN, INTO and UPDATE.
func (in *inference) tables() []string {
	var names []string
	tokens := in.command.tokens
	for i := 0; i+1 < len(tokens); i++ {
		t, after := tokens[i], tokens[i+1]
		if after.kind == tokenWord && (t.is("FROM") || t.is("JOIN") || t.is("INTO") || t.is("UPDATE")) {
			names = append(names, after.text)
		}
	}
	return names
}

func (in *inference) loadTable(conn *engine.Conn, table string) error {
	st, err := conn.Prepare("SELECT name, type FROM pragma_table_info(?1)")
	if err != nil {
		return err
	}
	defer st.Reset()
	if err := st.Bind([]engine.Value{textValue(table)}); err != nil {
		return err
	}
	first := len(in.order) == 0
	for {
		row, err := st.Step()
		if err != nil || !row {
			return err
		}
		var name, declared engine.Value
		st.Value(0, &name)
		st.Value(1, &declared)
		key := strings.ToLower(string(name.Bytes))
		if _, ok := in.columns[key]; !ok {
			in.columns[key] = typeOf(string(declared.Bytes))
		}
		if first {
			in.order = append(in.order, key)
		}
	}
}

// column returns the type of the column that the token names, zero if none.
func (in *inference) column(t token) uint32 {
	if t.kind != tokenWord {
		return 0
	}
	return in.columns[strings.ToLower(t.text)]
}

// inferParams fills in the parameter types that the client left open.
func (in *inference) inferParams() {
	in.inferInserted()
	tokens := in.command.tokens
	for i, t := range tokens {
		if t.kind != tokenParam {
			continue
		}
		if oid := in.command.hints[paramNumber(t)]; oid != 0 {
			in.set(t, oid)
		}
		in.set(t, in.besides(i))
	}
}

// set states a parameter's type unless one is known.
func (in *inference) set(t token, oid uint32) {
	n := paramNumber(t) - 1
	if n >= 0 && n < len(in.params) && in.params[n] == 0 {
		in.params[n] = oid
	}
}

// besides returns the type of the column that a parameter is compared with,
// assigned to or added to.
func (in *inference) besides(i int) uint32 {
	tokens := in.command.tokens
	if i > 0 && (tokens[i-1].is("LIMIT") || tokens[i-1].is("OFFSET")) {
		return pgtype.Int8OID
	}
	if i+2 < len(tokens) && comparison(tokens[i+1]) {
		if oid := in.column(tokens[i+2]); oid != 0 {
			return oid
		}
	}
	for i--; i >= 0; i-- {
		t := tokens[i]
		switch {
		case in.column(t) != 0:
			return in.column(t)
		case t.kind == tokenWord && !connective(t):
			return 0
		case t.symbol(",") && (i == 0 || tokens[i-1].kind == tokenWord || tokens[i-1].symbol(")")):
			return 0
		case t.symbol("(") && (i == 0 || !tokens[i-1].is("IN")):
			return 0
		case t.symbol(")"), t.symbol(";"):
			return 0
		}
	}
	return 0
}

func comparison(t token) bool {
	return t.kind == tokenSymbol && strings.ContainsAny(t.text, "=<>")
}

// connective reports whether a parameter may be linked to a column across the
// word, as in a BETWEEN $1 AND $2.
func connective(t token) bool {
	return t.is("BETWEEN") || t.is("AND") || t.is("IN") || t.is("LIKE") || t.is("NOT")
}

// inferInserted types the parameters that stand alone in INSERT ... VALUES.
func (in *inference) inferInserted() {
	tokens := in.command.tokens
	columns := in.order
	i := 0
	for ; i < len(tokens) && !tokens[i].is("VALUES"); i++ {
		if tokens[i].is("INTO") && i+2 < len(tokens) && tokens[i+2].symbol("(") {
			columns = names(tokens[i+3:])
		}
	}
	depth, item := 0, 0
	for i++; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.symbol("("):
			if depth++; depth == 1 {
				item = 0
			}
		case t.symbol(")"):
			depth--
		case t.symbol(",") && depth == 1:
			item++
		case t.kind == tokenParam && depth == 1 && item < len(columns):
			in.set(t, in.columns[columns[item]])
		case t.kind == tokenWord && depth == 0:
			return
		}
	}
}

// names returns the names up to a closing parenthesis.
func names(tokens []token) []string {
	var list []string
	for _, t := range tokens {
		if t.symbol(")") {
			break
		}
		if t.kind == tokenWord {
			list = append(list, strings.ToLower(t.text))
		}
	}
	return list
}
