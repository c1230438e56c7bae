package takeover

import (
	"fmt"
	"maps"

	"limpetspan/core/config"
)

// Edit is an edit of a configuration, see Configuration.Update.
type Edit = func(*config.Document) (*config.Document, error)

// editTakeover returns an edit of one take-over.
func editTakeover(kind string, change func(*config.Takeover) error) Edit {
	return func(doc *config.Document) (*config.Document, error) {
		old := doc.Takeovers[kind]
		if old == nil {
			return nil, fmt.Errorf("%w: kind %q has none", ErrState, kind)
		}
		t := *old
		if err := change(&t); err != nil {
			return nil, err
		}
		next := *doc
		next.Takeovers = maps.Clone(doc.Takeovers)
		next.Takeovers[kind] = &t
		return &next, nil
	}
}

// SetState returns the edit by which an operator starts, pauses, resumes or
// rolls back a take-over.
func SetState(kind string, state config.TakeoverState) Edit {
	return editTakeover(kind, func(t *config.Takeover) error {
		t.State = state
		return nil
	})
}

// claimEdit makes the flips under a claim the only ones that count.
func claimEdit(d *direction, claim string) Edit {
	return editTakeover(d.kind, func(t *config.Takeover) error {
		if d.ended(t) {
			return fmt.Errorf("%w: %s", ErrState, t.State)
		}
		t.Worker = claim
		return nil
	})
}

// flipEdit gives the buckets to the direction's destination. It prevents that a
// worker which was paused flips what others have opened again: it is applied to
// the latest document, which names the worker that counts.
func flipEdit(d *direction, claim string, buckets []int) Edit {
	return editTakeover(d.kind, func(t *config.Takeover) error {
		if t.Worker != claim {
			return ErrClaimLost
		}
		if d.ended(t) {
			return fmt.Errorf("%w: %s", ErrState, t.State)
		}
		t.Flipped = config.WithBits(t.Flipped, t.Buckets, !d.back, buckets...)
		return nil
	})
}

// finishEdit ends the take-over. A kind that was taken over is declared in its
// new group by the same change.
func finishEdit(d *direction, claim string) Edit {
	return func(doc *config.Document) (*config.Document, error) {
		next, err := editTakeover(d.kind, func(t *config.Takeover) error {
			if t.Worker != claim {
				return ErrClaimLost
			}
			if d.ended(t) || len(d.remaining(t)) > 0 {
				return fmt.Errorf("%w: %s", ErrState, t.State)
			}
			t.State = config.TakeoverComplete
			if d.back {
				t.State = config.TakeoverRolledBack
			}
			return nil
		})(doc)
		if err != nil || d.back {
			return next, err
		}
		kind := *next.Kinds[d.kind]
		kind.Group = d.destination
		next.Kinds = maps.Clone(next.Kinds)
		next.Kinds[d.kind] = &kind
		return next, nil
	}
}
