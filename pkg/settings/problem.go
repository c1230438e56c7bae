package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Section string
	// Key is empty if the fault concerns the whole section.
	Key string
	// Message says what is wrong.
	Message string
	// Allowed says what is allowed; it is empty if Message says so already.
	Allowed string
}

func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: [%s]", p.File, p.Section)
	if p.Key != "" {
		b.WriteString(" " + p.Key)
	}
	b.WriteString(": " + p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems are all faults of a settings file: first unknown sections and keys, then missing and
// invalid values in the order of the table, then conflicts between settings.
type Problems []Problem

// Error returns one line for each fault.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
