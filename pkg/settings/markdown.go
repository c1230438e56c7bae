package settings

import (
	"fmt"
	"strings"
)

// pageHeader is the beginning of docs/CONFIGURATION.md.
const pageHeader = `# Settings of limpetspand

<!-- Written by "limpetspand --settings"; a test keeps it equal to the code. -->

A daemon reads one INI file, named by --config. "limpetspand --config FILE --check"
checks it and exits with 0, or with 2 and one line for each fault. Unknown
sections and keys, and keys given twice, are refused.

- Durations are written as 250ms, 1.5s or 2m.
- Sizes are written as bytes or with KiB, MiB or GiB.
- Addresses are IP numbers with a port; port 0 takes a free one.
- A comment takes a line of its own or follows a space and # or ;.
- Secrets stand in a file or an environment variable that a setting names, and
  are never logged.

What all daemons share (database groups, kinds of records, versions in service)
is no setting: it is kept in the platform's store, see "limpetspan config".
`

// Markdown returns the text of docs/CONFIGURATION.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	section := ""
	for i := range Table {
		t := &Table[i]
		if t.Section != section {
			section = t.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", t.Key, t.Type, t.defaultText(), t.Allowed(), t.Doc)
	}
	return b.String()
}

func (t *Setting) defaultText() string {
	switch {
	case t.Required:
		return "required"
	case t.Default == "":
		return "empty"
	}
	return "`" + t.Default + "`"
}
