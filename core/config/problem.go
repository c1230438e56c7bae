package config

import (
	"fmt"
	"strings"
)

// Rule is the category of a problem.
type Rule string

// The rules that a document and a change are checked against.
const (
	RuleRequired  Rule = "required"
	RuleFormat    Rule = "format"
	RuleRange     Rule = "range"
	RuleDuplicate Rule = "duplicate"
	// RuleReference forbids references to entries that do not exist.
	RuleReference Rule = "reference"
	// RuleInUse forbids the removal of what is still needed.
	RuleInUse Rule = "in_use"
	// RuleOverlap requires that old and new majorities of a group overlap.
	RuleOverlap Rule = "overlap"
	// RuleState forbids what the state of a take-over does not allow.
	RuleState Rule = "state"
)

// Problem is one violation of a rule.
type Problem struct {
	// Path identifies the value, for example groups.parkdb-1.members[2].addr.
	Path string `json:"path"`
	Rule Rule   `json:"rule"`
	Text string `json:"text"`
}

func (p Problem) Error() string { return p.Path + ": " + p.Text }

// Problems is the error of a check. It lists everything that is wrong.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// problemReport collects problems.
type problemReport struct{ problems Problems }

func (r *problemReport) add(path string, rule Rule, format string, args ...any) {
	r.problems = append(r.problems, Problem{Path: path, Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// err returns the problems as an error, or nil if there are none.
func (r *problemReport) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}
