package configfile

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"limpetspan/core"
	"limpetspan/core/config"
)

// MaxSize bounds a file, in bytes.
const MaxSize = 32 << 20

// loadOptions take every line as it stands: repeated sections and keys are
// kept to be refused, and only whole lines are comments, as SQL may hold ; and #.
// The delimiter of child sections is one that no name can hold: with the usual
// dot, group a.b would take over what it leaves out from group a.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
}

// Parse reads a file; name stands in errors. The document's Revision is that
// in the file, zero if it has none. The error is Problems with every fault. The
// document is not checked as a whole.
func Parse(name string, text []byte) (*config.Document, error) {
	if len(text) > MaxSize {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", name, len(text), MaxSize)
	}
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, Problems{{File: name, Text: strings.TrimSpace(err.Error())}}
	}
	p := parser{file: name, doc: &config.Document{}, seen: make(map[string]bool)}
	for _, section := range file.Sections() {
		p.section(section)
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.doc, nil
}

// parser builds a document section by section.
type parser struct {
	file     string
	doc      *config.Document
	seen     map[string]bool
	problems Problems
}

func (p *parser) section(section *ini.Section) {
	name := section.Name()
	words := strings.Fields(name)
	key := strings.Join(words, " ")
	if p.seen[key] {
		p.problems.add(p.file, name, "", "the section stands twice")
		return
	}
	p.seen[key] = true
	switch {
	case name == ini.DefaultSection:
		p.header(section)
	case len(words) == 2 && words[0] == sectionGroup:
		p.group(section, core.GroupID(words[1]))
	case len(words) == 3 && words[0] == sectionMember:
		p.member(section, core.GroupID(words[1]), core.MemberID(words[2]))
	case len(words) == 2 && words[0] == sectionKind:
		p.kind(section, words[1])
	case len(words) == 2 && words[0] == sectionTakeover:
		p.takeover(section, words[1])
	case len(words) == 2 && words[0] == sectionReverse:
		p.reverse(section, words[1])
	default:
		p.problems.add(p.file, name, "", "unknown section; allowed are [group ID], [member GROUP ID], [kind NAME], [takeover KIND] and [reverse KIND]")
	}
}

func (p *parser) header(section *ini.Section) {
	var h header
	readFields(p, section, "", headerFields, &h)
	if h.revision < 0 {
		p.problems.add(p.file, "", "revision", "%d is below 0", h.revision)
		return
	}
	p.doc.Revision, p.doc.DefaultGroup = config.Revision(h.revision), h.defaultGroup
}

func (p *parser) group(section *ini.Section, id core.GroupID) {
	group := &config.Group{}
	readFields(p, section, section.Name(), groupFields, group)
	if p.doc.Groups == nil {
		p.doc.Groups = make(map[core.GroupID]*config.Group)
	}
	p.doc.Groups[id] = group
}

func (p *parser) member(section *ini.Section, id core.GroupID, member core.MemberID) {
	group := p.doc.Groups[id]
	if group == nil {
		p.problems.add(p.file, section.Name(), "", "stands before [group %s], or that is missing", id)
		return
	}
	m := config.Member{ID: member}
	readFields(p, section, section.Name(), memberFields, &m)
	group.Members = append(group.Members, m)
}

func (p *parser) kind(section *ini.Section, name string) {
	kind := &config.Kind{}
	readFields(p, section, section.Name(), kindFields, kind)
	if p.doc.Kinds == nil {
		p.doc.Kinds = make(map[string]*config.Kind)
	}
	p.doc.Kinds[name] = kind
}

func (p *parser) takeover(section *ini.Section, name string) {
	takeover := &config.Takeover{}
	readFields(p, section, section.Name(), takeoverFields, takeover)
	if p.doc.Takeovers == nil {
		p.doc.Takeovers = make(map[string]*config.Takeover)
	}
	p.doc.Takeovers[name] = takeover
}

func (p *parser) reverse(section *ini.Section, name string) {
	takeover := p.doc.Takeovers[name]
	if takeover == nil {
		p.problems.add(p.file, section.Name(), "", "stands before [takeover %s], or that is missing", name)
		return
	}
	takeover.Reverse = &config.Reverse{}
	readFields(p, section, section.Name(), reverseFields, takeover.Reverse)
}

// readFields reads the keys of one section into v.
func readFields[V any](p *parser, section *ini.Section, name string, fields []field[V], v *V) {
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.key] = true
		if !section.HasKey(f.key) {
			if !f.optional {
				p.problems.add(p.file, name, f.key, "is missing")
			}
			continue
		}
		values := section.Key(f.key).ValueWithShadows()
		if len(values) > 1 {
			p.problems.add(p.file, name, f.key, "stands %d times", len(values))
			continue
		}
		text, err := unquote(section.Key(f.key).Value())
		if err == nil {
			err = f.parse(v, text)
		}
		if err != nil {
			p.problems.add(p.file, name, f.key, "%v", err)
		}
	}
	for _, key := range section.KeyStrings() {
		if !known[key] {
			p.problems.add(p.file, name, key, "unknown key; allowed are %s", keyNames(fields))
		}
	}
}

func unquote(text string) (string, error) {
	if !strings.HasPrefix(text, `"`) {
		return text, nil
	}
	value, err := strconv.Unquote(text)
	if err != nil {
		return "", fmt.Errorf("%s is not a quoted text", text)
	}
	return value, nil
}

func keyNames[V any](fields []field[V]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return strings.Join(names, ", ")
}
