package configfile

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"limpetspan/core/config"
)

// plain values need no quotes.
var plain = regexp.MustCompile(`^[A-Za-z0-9._:/-]+(, [A-Za-z0-9._:/-]+)*$`)

// Format returns the document as a file.
func Format(doc *config.Document) string {
	var b strings.Builder
	writeFields(&b, headerFields, &header{revision: int(doc.Revision), defaultGroup: doc.DefaultGroup})
	for _, id := range slices.Sorted(maps.Keys(doc.Groups)) {
		group := doc.Groups[id]
		fmt.Fprintf(&b, "\n[%s %s]\n", sectionGroup, id)
		writeFields(&b, groupFields, group)
		for i := range group.Members {
			fmt.Fprintf(&b, "\n[%s %s %s]\n", sectionMember, id, group.Members[i].ID)
			writeFields(&b, memberFields, &group.Members[i])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Kinds)) {
		fmt.Fprintf(&b, "\n[%s %s]\n", sectionKind, name)
		writeFields(&b, kindFields, doc.Kinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Takeovers)) {
		takeover := doc.Takeovers[name]
		fmt.Fprintf(&b, "\n[%s %s]\n", sectionTakeover, name)
		writeFields(&b, takeoverFields, takeover)
		if takeover.Reverse != nil {
			fmt.Fprintf(&b, "\n[%s %s]\n", sectionReverse, name)
			writeFields(&b, reverseFields, takeover.Reverse)
		}
	}
	return b.String()
}

func writeFields[V any](b *strings.Builder, fields []field[V], v *V) {
	for _, f := range fields {
		text := f.format(v)
		if f.optional && text == f.zero {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", f.key, quote(text))
	}
}

func quote(text string) string {
	if plain.MatchString(text) {
		return text
	}
	return strconv.Quote(text)
}
