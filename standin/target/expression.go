package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// columnType returns the type of a result column, zero if only a value can tell.
func (in *inference) columnType(c engine.Column) uint32 {
	if c.Decl != "" {
		return typeOf(c.Decl)
	}
	expression := in.aliased(c.Name)
	if expression == nil {
		expression = tokenize(strings.ReplaceAll(c.Name, "?", "$"))
	}
	return in.expressionType(expression)
}

// aliased returns the expression that stands before AS name, nil if there is none.
func (in *inference) aliased(name string) []token {
	tokens := in.command.tokens
	for i := 1; i+1 < len(tokens); i++ {
		if !tokens[i].is("AS") || !tokens[i+1].is(name) {
			continue
		}
		depth, start := 0, i
		for start > 0 {
			t := tokens[start-1]
			if depth == 0 && (t.symbol(",") || t.symbol("(") || t.is("SELECT") || t.is("RETURNING")) {
				break
			}
			if t.symbol(")") {
				depth++
			}
			if t.symbol("(") {
				depth--
			}
			start--
		}
		return tokens[start:i]
	}
	return nil
}

// functionTypes are the types of functions whatever their arguments.
var functionTypes = map[string]uint32{
	"count": pgtype.Int8OID, "total": pgtype.Float8OID, "avg": pgtype.Float8OID,
	"length": pgtype.Int4OID, "exists": pgtype.BoolOID,
	"lower": pgtype.TextOID, "upper": pgtype.TextOID, "substr": pgtype.TextOID,
	"replace": pgtype.TextOID, "trim": pgtype.TextOID, "hex": pgtype.TextOID,
	"group_concat": pgtype.TextOID, "version": pgtype.TextOID,
}

func (in *inference) expressionType(e []token) uint32 {
	if len(e) == 0 {
		return 0
	}
	if len(e) == 1 {
		return in.atomType(e[0])
	}
	if e[len(e)-2].symbol("::") {
		return typeOf(e[len(e)-1].text)
	}
	if e[0].kind == tokenWord && e[1].symbol("(") {
		return in.functionType(e)
	}
	first := uint32(0)
	for _, t := range e {
		if comparison(t) {
			return pgtype.BoolOID
		}
		if first == 0 {
			first = widen(in.column(t))
		}
	}
	return first
}

func (in *inference) atomType(t token) uint32 {
	switch {
	case t.kind == tokenNumber && strings.Contains(t.text, "."):
		return pgtype.Float8OID
	case t.kind == tokenNumber:
		return pgtype.Int4OID
	case t.kind == tokenString:
		return pgtype.TextOID
	case t.is("TRUE"), t.is("FALSE"):
		return pgtype.BoolOID
	case t.kind == tokenParam && paramNumber(t) <= len(in.params):
		return in.params[paramNumber(t)-1]
	}
	return in.column(t)
}

func (in *inference) functionType(e []token) uint32 {
	name := strings.ToLower(e[0].text)
	if oid, ok := functionTypes[name]; ok {
		return oid
	}
	if name == "cast" {
		return castType(e)
	}
	argument := uint32(0)
	for _, t := range e[2:] {
		if argument = in.column(t); argument != 0 {
			break
		}
	}
	switch name {
	case "sum":
		return widen(argument)
	case "max", "min", "coalesce", "ifnull", "abs":
		return argument
	}
	return 0
}

// castType returns the type behind AS.
func castType(e []token) uint32 {
	for i := 0; i+1 < len(e); i++ {
		if e[i].is("AS") {
			return typeOf(e[i+1].text)
		}
	}
	return 0
}

// widen returns the type of a sum.
func widen(oid uint32) uint32 {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID:
		return pgtype.Int8OID
	case pgtype.Float4OID:
		return pgtype.Float8OID
	}
	return oid
}
