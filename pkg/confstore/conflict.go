package confstore

import (
	"fmt"
	"strings"

	"limpetspan/core/config"
)

// Conflict is the error of a change that lost against another one.
type Conflict struct {
	// Base is the document the lost change was made from, Current the one now
	// in the store.
	Base, Current *config.Document
	// Winners are the changes made in between, ascending; empty when they are
	// not kept any more.
	Winners []config.Change
}

// Difference is what the winners changed, all together.
func (c *Conflict) Difference() config.Change { return config.Diff(c.Base, c.Current) }

// OnlyBuckets reports whether all that changed is the progress of take-overs.
func (c *Conflict) OnlyBuckets() bool {
	difference := c.Difference()
	return difference.IsProgressOnly()
}

func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the change was made from revision %d, the store has revision %d", c.Base.Revision, c.Current.Revision)
	for _, winner := range c.Winners {
		fmt.Fprintf(&b, "\nrevision %d by %s at %s: %s", winner.Revision, orDash(winner.Author), orDash(winner.At), orDash(winner.Reason))
	}
	difference := c.Difference()
	if text := config.Describe(c.Base, &difference); text != "" {
		b.WriteString("\n" + text)
	}
	return b.String()
}

// UnsettledError says that the store's answer to a change was lost and could
// not be read back in time: the change may or may not take effect.
type UnsettledError struct {
	ChangeID string
	Revision config.Revision
	// Cause is what kept it from being settled.
	Cause error
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the store's answer was lost: change %s may or may not be revision %d; look for it in the history (%v)",
		e.ChangeID, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
