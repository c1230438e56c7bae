package confstore

import (
	"context"
	"errors"
	"fmt"

	"limpetspan/core/config"
)

// History returns the latest changes, newest first, at most limit.
func (e *Editor) History(ctx context.Context, limit int) ([]Record, error) {
	h, _, err := e.reader.head(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	for revision := h.Revision; revision > 0 && len(records) < limit; revision-- {
		record, err := e.reader.record(ctx, revision)
		if errors.Is(err, ErrNotKept) {
			break
		}
		if err != nil {
			return nil, err
		}
		records = append(records, *record)
	}
	return records, nil
}

// At returns the document as it was at a revision, by undoing the changes made
// since in doc, or ErrNotKept.
func (e *Editor) At(ctx context.Context, doc *config.Document, revision config.Revision) (*config.Document, error) {
	if revision > doc.Revision {
		return nil, fmt.Errorf("%w: %d, the latest is %d", ErrNotKept, revision, doc.Revision)
	}
	for doc.Revision > revision {
		record, err := e.reader.record(ctx, doc.Revision)
		if err != nil {
			return nil, err
		}
		if doc, err = Undo(doc, record); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

// Undo returns the document as it was before the record's change made doc.
func Undo(doc *config.Document, record *Record) (*config.Document, error) {
	if record.Change.Revision != doc.Revision {
		return nil, fmt.Errorf("%w: change %d did not make revision %d", config.ErrGap, record.Change.Revision, doc.Revision)
	}
	// Apply only counts up, so the revision is fitted afterwards.
	undo := record.Undo
	undo.Revision, undo.Parent = doc.Revision+1, doc.ChangeID
	undo.ChangeID = record.Change.Parent
	before, err := config.Apply(doc, &undo)
	if err != nil {
		return nil, fmt.Errorf("confstore: undo revision %d: %w", doc.Revision, err)
	}
	before.Revision = doc.Revision - 1
	return before, nil
}
