package confstore

import (
	"errors"

	"limpetspan/core"
	"limpetspan/core/config"
)

// maxValueSize is the store's limit of a value, in bytes.
const maxValueSize = 1 << 20

// maxRecordSize holds a change and what undoes it.
const maxRecordSize = 2*config.MaxChangeSize + 1024

// head is the value that every change swaps.
type head struct {
	Revision     config.Revision `json:"revision"`
	ChangeID     string          `json:"change_id"`
	Author       string          `json:"author,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	DefaultGroup core.GroupID    `json:"default_group,omitempty"`
	// Restoring: the entries are being written back after the store was
	// restored from a backup; until it is cleared they are not one revision.
	Restoring bool `json:"restoring,omitempty"`
}

func headOf(doc *config.Document) head {
	return head{
		Revision:     doc.Revision,
		ChangeID:     doc.ChangeID,
		Author:       doc.Author,
		Reason:       doc.Reason,
		DefaultGroup: doc.DefaultGroup,
	}
}

// document returns a document without entries.
func (h head) document() *config.Document {
	return &config.Document{
		Revision:     h.Revision,
		ChangeID:     h.ChangeID,
		Author:       h.Author,
		Reason:       h.Reason,
		DefaultGroup: h.DefaultGroup,
	}
}

// is reports whether the head names the document's revision and change.
func (h head) is(doc *config.Document) bool {
	return h.Revision == doc.Revision && h.ChangeID == doc.ChangeID
}

// Record is one accepted change in the history.
type Record struct {
	Change config.Change `json:"change"`
	// Undo leads back to the revision before; its ids are of no use.
	Undo config.Change `json:"undo"`
}

// CheckEntries returns config.ErrNullEntry if an entry is null.
func (r *Record) CheckEntries() error {
	return errors.Join(r.Change.CheckEntries(), r.Undo.CheckEntries())
}
