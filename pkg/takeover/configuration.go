package takeover

import (
	"context"
	"errors"
	"fmt"

	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
)

// Editing is the Configuration of a daemon: it edits the store's documents and
// follows what is in force.
type Editing struct {
	Editor *confstore.Editor
	Author string
	// InForce returns the document in force in this daemon.
	InForce func() *config.Document
	// Adopt puts a document that is in the store in force here and offers it to
	// peers; nil: the daemon's follower finds it.
	Adopt func(*config.Document)
}

// Current implements Configuration.
func (e *Editing) Current() *config.Document { return e.InForce() }

// Update implements Configuration. An edit that changes nothing succeeds.
func (e *Editing) Update(ctx context.Context, reason string, edit func(*config.Document) (*config.Document, error)) (*config.Document, error) {
	var seen *config.Document
	doc, err := e.Editor.Update(ctx, e.InForce(), confstore.Meta{Author: e.Author, Reason: reason},
		func(doc *config.Document) (*config.Document, error) {
			seen = doc
			return edit(doc)
		})
	if errors.Is(err, confstore.ErrNoChange) {
		doc, err = seen, nil
	}
	if _, ok := errors.AsType[*confstore.UnsettledError](err); ok {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	if err == nil && e.Adopt != nil {
		e.Adopt(doc)
	}
	return doc, err
}
