package configfile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	// Section is empty for keys that stand before any section.
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

func (p Problem) Error() string {
	at := p.File + ":"
	if p.Section != "" {
		at += " [" + p.Section + "]"
	}
	if p.Key != "" {
		at += " " + p.Key + ":"
	}
	return at + " " + p.Text
}

// Problems are all faults found in a file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(file, section, key, format string, args ...any) {
	*p = append(*p, Problem{File: file, Section: section, Key: key, Text: fmt.Sprintf(format, args...)})
}
