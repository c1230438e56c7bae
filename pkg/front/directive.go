package front

import (
	"strconv"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
)

// settingPrefix stands before a directive's name in SET, SHOW and startup options.
const settingPrefix = "limpetspan."

// Bounds of directive values.
const (
	maxDirectiveLen      = 512
	maxDirectiveDuration = 24 * time.Hour
	traceparentLen       = 55
)

// directiveSet is a set of directive names.
type directiveSet uint16

// The directives.
const (
	hasSession directiveSet = 1 << iota
	hasKind
	hasVersion
	hasKey
	hasRead
	hasMaxStaleness
	hasOnce
	hasDeadline
	hasTraceparent
)

var directiveNames = [...]string{
	"session", "kind", "version", "key", "read", "max_staleness", "once", "deadline", "traceparent",
}

// directiveOf returns the bit of a directive name, 0 for an unknown one.
func directiveOf(name string) directiveSet {
	for i, n := range directiveNames {
		if n == name {
			return 1 << i
		}
	}
	return 0
}

// directives are values given in one place, and which were given.
type directives struct {
	given  directiveSet
	values core.Directives
}

// set parses a value. An empty one takes the directive back to its default.
func (d *directives) set(bit directiveSet, value string) *errs.Error {
	if len(value) > maxDirectiveLen {
		return invalidDirective(bit, "is longer than 512 bytes")
	}
	if value == "" {
		d.unset(bit)
		return nil
	}
	v := &d.values
	problem := ""
	switch bit {
	case hasSession:
		v.Session = core.SessionID(value)
	case hasKind:
		v.Kind = value
	case hasVersion:
		v.Version = value
	case hasKey:
		v.Key = value
	case hasOnce:
		v.Once = value
	case hasRead:
		v.Read, problem = parseBool(value)
	case hasMaxStaleness:
		v.MaxStaleness, problem = parseDuration(value, 0)
	case hasDeadline:
		v.Timeout, problem = parseDuration(value, 1)
	case hasTraceparent:
		v.Traceparent, problem = parseTraceparent(value)
	}
	if problem != "" {
		return invalidDirective(bit, problem)
	}
	d.given |= bit
	return nil
}

// unset takes a directive back to its default.
func (d *directives) unset(bit directiveSet) {
	d.copy(bit, &directives{})
	d.given &^= bit
}

// copy takes over one value.
func (d *directives) copy(bit directiveSet, from *directives) {
	to, v := &d.values, &from.values
	switch bit {
	case hasSession:
		to.Session = v.Session
	case hasKind:
		to.Kind = v.Kind
	case hasVersion:
		to.Version = v.Version
	case hasKey:
		to.Key = v.Key
	case hasRead:
		to.Read = v.Read
	case hasMaxStaleness:
		to.MaxStaleness = v.MaxStaleness
	case hasOnce:
		to.Once = v.Once
	case hasDeadline:
		to.Timeout = v.Timeout
	case hasTraceparent:
		to.Traceparent = v.Traceparent
	}
	d.given |= bit
}

// overlay takes over all values that from gives.
func (d *directives) overlay(from *directives) {
	for bits := from.given; bits != 0; bits &= bits - 1 {
		d.copy(bits&-bits, from)
	}
}

// show returns a value as SHOW prints it.
func (d *directives) show(bit directiveSet) string {
	v := &d.values
	switch bit {
	case hasSession:
		return string(v.Session)
	case hasKind:
		return v.Kind
	case hasVersion:
		return v.Version
	case hasKey:
		return v.Key
	case hasRead:
		return strconv.FormatBool(v.Read)
	case hasMaxStaleness:
		return v.MaxStaleness.String()
	case hasOnce:
		return v.Once
	case hasDeadline:
		return v.Timeout.String()
	default:
		return v.Traceparent
	}
}

// name returns the name of a single directive.
func (s directiveSet) name() string {
	for i, n := range directiveNames {
		if s == 1<<i {
			return n
		}
	}
	return ""
}

func invalidDirective(bit directiveSet, problem string) *errs.Error {
	return notRun(kindInvalidValue, stepDirective, "the value of %s%s %s", settingPrefix, bit.name(), problem)
}

func parseBool(s string) (bool, string) {
	switch strings.ToLower(s) {
	case "true", "on", "yes", "1", "t":
		return true, ""
	case "false", "off", "no", "0", "f":
		return false, ""
	}
	return false, "is neither true nor false"
}

func parseDuration(s string, least time.Duration) (time.Duration, string) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, "is no duration such as 1500ms or 2s"
	}
	if d < least || d > maxDirectiveDuration {
		return 0, "is out of range, at most 24h is allowed"
	}
	return d, ""
}

// parseTraceparent checks the form of version 00 of the W3C trace context:
// 00-<32 hex>-<16 hex>-<2 hex>.
func parseTraceparent(s string) (string, string) {
	const problem = "is no W3C traceparent"
	if len(s) != traceparentLen || s[2] != '-' || s[35] != '-' || s[52] != '-' {
		return "", problem
	}
	for i := range len(s) {
		if i == 2 || i == 35 || i == 52 {
			continue
		}
		if !strings.ContainsRune("0123456789abcdef", rune(s[i])) {
			return "", problem
		}
	}
	return s, ""
}
