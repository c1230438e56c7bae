package confstore

import (
	"context"

	"limpetspan/core/config"
)

// Adopt brings a document in force that an Editor of this daemon has just
// committed, without waiting for the store's watch event. The direct successor
// of what is in force is taken as a change, so that peers get the change and
// not the full document; for anything later the store is asked.
func (f *Follower) Adopt(doc *config.Document) {
	current := f.Current()
	switch {
	case doc.Revision <= current.Revision:
	case doc.Revision == current.Revision+1:
		change := config.Diff(current, doc)
		change.ChangeID, change.Author, change.Reason = doc.ChangeID, doc.Author, doc.Reason
		f.take([]config.Change{change}, "own change")
	case f.options.Store != nil:
		if err := f.readHead(context.Background()); err != nil {
			f.logger.Warn("configuration not read from the store", "error", err)
		}
	}
}
