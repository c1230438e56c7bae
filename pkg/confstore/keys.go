package confstore

import (
	"fmt"
	"strings"

	"limpetspan/core/config"
)

// HistoryLength is how many changes the store keeps. The ring bounds it by
// construction: there is no clean-up that could fail.
const HistoryLength = 1024

// keys names the keys of one fleet.
type keys struct{ base string }

func newKeys(prefix string) keys {
	return keys{base: strings.TrimSuffix(prefix, "/") + "/config/"}
}

func (k keys) head() string                { return k.base + "head" }
func (k keys) groups() string              { return k.base + "groups/" }
func (k keys) kinds() string               { return k.base + "kinds/" }
func (k keys) takeovers() string           { return k.base + "takeovers/" }
func (k keys) changes() string             { return k.base + "changes/" }
func (k keys) group(id string) string      { return k.groups() + id }
func (k keys) kind(name string) string     { return k.kinds() + name }
func (k keys) takeover(name string) string { return k.takeovers() + name }

// change is the slot of a revision.
func (k keys) change(revision config.Revision) string {
	return fmt.Sprintf("%s%04d", k.changes(), uint64(revision)%HistoryLength)
}
