package configfile_test

import (
	"strings"
	"testing"

	"limpetspan/core/config"
	"limpetspan/pkg/cli/configfile"
)

// FuzzParse: no text makes the parser panic, and what it accepts without a
// problem is read back the same.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(good + "[kind k]\ngroup = \"g\"\nversions = 1, 2\nmax_staleness = 2s\n"))
	f.Add([]byte("[group a]\n[group a.b]\n[member a x]\naddr=\"\"\"1\n2\"\"\"\n"))
	f.Add([]byte("[group \x00]\n= `\n"))
	f.Add([]byte("revision = -1\n[]\n[takeover x]\nread_sql = \"\\x\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := configfile.Parse("file", text)
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("an error without text")
			}
			return
		}
		if config.Check(doc) != nil {
			return
		}
		again, err := configfile.Parse("file", []byte(configfile.Format(doc)))
		if err != nil {
			t.Fatalf("%v\n%s", err, configfile.Format(doc))
		}
		if rest := config.Diff(doc, again); !rest.IsEmpty() {
			t.Fatal(config.Describe(doc, &rest))
		}
	})
}
