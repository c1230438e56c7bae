package configfile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// field binds a key of a section to a value of V.
type field[V any] struct {
	key    string
	format func(*V) string
	parse  func(*V, string) error
	// optional fields are left out of the file when their text is zero.
	optional bool
	zero     string
}

func textField[V any, S ~string](key string, at func(*V) *S) field[V] {
	return field[V]{
		key:    key,
		format: func(v *V) string { return string(*at(v)) },
		parse:  func(v *V, text string) error { *at(v) = S(text); return nil },
	}
}

func intField[V any](key string, at func(*V) *int) field[V] {
	return field[V]{
		key:    key,
		format: func(v *V) string { return strconv.Itoa(*at(v)) },
		parse: func(v *V, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			*at(v) = n
			return nil
		},
		zero: "0",
	}
}

func boolField[V any](key string, at func(*V) *bool) field[V] {
	return field[V]{
		key:    key,
		format: func(v *V) string { return strconv.FormatBool(*at(v)) },
		parse: func(v *V, text string) error {
			if text != "true" && text != "false" {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*at(v) = text == "true"
			return nil
		},
		zero: "false",
	}
}

func durationField[V any](key string, at func(*V) *time.Duration) field[V] {
	return field[V]{
		key:    key,
		format: func(v *V) string { return at(v).String() },
		parse: func(v *V, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 2s or 500ms", text)
			}
			*at(v) = d
			return nil
		},
		zero: "0s",
	}
}

func listField[V any](key string, at func(*V) *[]string) field[V] {
	return field[V]{
		key:    key,
		format: func(v *V) string { return strings.Join(*at(v), ", ") },
		parse: func(v *V, text string) error {
			for item := range strings.SplitSeq(text, ",") {
				*at(v) = append(*at(v), strings.TrimSpace(item))
			}
			return nil
		},
	}
}

// orZero makes a field optional.
func (f field[V]) orZero() field[V] {
	f.optional = true
	return f
}
