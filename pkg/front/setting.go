package front

import (
	"strings"
)

// classifySet decides a SET statement; l is behind the keyword.
func classifySet(l *lexer) action {
	t := l.next()
	if t.kind == tokenWord {
		switch t.text {
		case "local":
			return classifySetLocal(l)
		case "transaction", "constraints":
			return action{}
		case "session":
			t = l.next()
		}
	}
	switch {
	case t.kind == tokenWord && (t.text == "characteristics" || t.text == "authorization" || t.text == "role"):
		return unsupported("SET "+strings.ToUpper(t.text), "say it in each transaction, or connect as another user")
	case t.kind == tokenWord && t.text == "time" && l.peek().text == "zone":
		l.next()
		return setAction(l, "timezone")
	case t.kind == tokenWord && t.text == "names":
		return setAction(l, "client_encoding")
	case t.kind != tokenWord && t.kind != tokenString:
		return severalStatements("SET")
	}
	if sign := l.next(); sign.text != "=" && sign.text != "to" {
		return severalStatements("SET")
	}
	return setAction(l, strings.ToLower(t.text))
}

// classifySetLocal passes SET LOCAL on: it ends with the transaction.
func classifySetLocal(l *lexer) action {
	name := l.next().text
	if strings.HasPrefix(name, settingPrefix) {
		return unsupported("SET LOCAL "+name, "use SET, or a leading comment on the statement")
	}
	return action{}
}

// setAction reads the value and decides by name and value.
func setAction(l *lexer, name string) action {
	value, isDefault, ok := settingValue(l)
	if !ok {
		return severalStatements("SET " + name)
	}
	short, ours := strings.CutPrefix(name, settingPrefix)
	switch {
	case ours:
		return setDirective(name, short, value, isDefault)
	case isDefault || holdsAnyway(name, value):
		return action{kind: actionNothing, tag: "SET"}
	}
	return refuse(foreignSetting(name, value))
}

func setDirective(name, short, value string, isDefault bool) action {
	bit := directiveOf(short)
	if bit == 0 {
		return unknownSetting(name)
	}
	if isDefault {
		return action{kind: actionReset, directive: bit, tag: "SET"}
	}
	var probe directives
	if err := probe.set(bit, value); err != nil {
		return refuse(err)
	}
	return action{kind: actionSet, directive: bit, name: name, value: value, tag: "SET"}
}

// settingValue reads a list of values up to the end of the statement.
func settingValue(l *lexer) (value string, isDefault, ok bool) {
	var values []string
	for {
		t := l.next()
		if t.kind != tokenWord && t.kind != tokenString {
			return "", false, false
		}
		isDefault = t.kind == tokenWord && t.text == "default" && len(values) == 0
		values = append(values, t.text)
		if l.peek().text != "," {
			break
		}
		l.next()
	}
	return strings.Join(values, ", "), isDefault, l.atEnd()
}

// settingsInForce lists the settings that drivers send by themselves, with the
// values that change nothing at a target.
var settingsInForce = map[string][]string{
	"client_encoding":                     {"utf8", "utf-8", "unicode"},
	"datestyle":                           {"iso", "iso, mdy"},
	"timezone":                            {"utc", "etc/utc", "gmt", "z", "zulu"},
	"standard_conforming_strings":         {"on", "true", "1", "yes"},
	"extra_float_digits":                  {"1", "2", "3"},
	"intervalstyle":                       {"postgres"},
	"bytea_output":                        {"hex"},
	"statement_timeout":                   {"0"},
	"lock_timeout":                        {"0"},
	"idle_in_transaction_session_timeout": {"0"},
	"default_transaction_isolation":       {"read committed"},
	"default_transaction_read_only":       {"off", "false", "0"},
	"synchronize_seqscans":                {"on"},
	"row_security":                        {"on"},
	"search_path":                         {`"$user", public`, "$user, public"},
}

// holdsAnyway reports whether setting name to value changes nothing that a
// caller can see in its answers.
func holdsAnyway(name, value string) bool {
	if name == "application_name" || name == "client_min_messages" {
		return true
	}
	value = strings.ToLower(strings.TrimSpace(value))
	for _, v := range settingsInForce[name] {
		if v == value {
			return true
		}
	}
	return false
}
