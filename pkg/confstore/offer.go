package confstore

import (
	"context"
	"sync"

	"limpetspan/core"
	"limpetspan/core/config"
)

// maxOfferFailures is how often a peer is asked in vain before its offer is
// forgotten; a later offer is taken up again.
const maxOfferFailures = 3

// offer is a peer's revision.
type offer struct {
	revision config.Revision
	failures int
}

// offers are the revisions that peers are said to have.
type offers struct {
	mu     sync.Mutex
	byPeer map[core.DaemonID]*offer
	// signal wakes the pull loop.
	signal chan struct{}
}

func newOffers() *offers {
	return &offers{byPeer: make(map[core.DaemonID]*offer), signal: make(chan struct{}, 1)}
}

func (o *offers) add(peer core.DaemonID, revision config.Revision) {
	o.mu.Lock()
	if known := o.byPeer[peer]; known == nil || known.revision < revision {
		o.byPeer[peer] = &offer{revision: revision}
	}
	o.mu.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// best returns a peer to ask for what is newer than current: one that failed
// least, then the highest revision. It forgets offers that are outdated.
func (o *offers) best(current config.Revision) (core.DaemonID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best core.DaemonID
	var found *offer
	for peer, offered := range o.byPeer {
		if offered.revision <= current {
			delete(o.byPeer, peer)
			continue
		}
		if found == nil || offered.failures < found.failures ||
			(offered.failures == found.failures && offered.revision > found.revision) {
			best, found = peer, offered
		}
	}
	return best, found != nil
}

// failed notes that a peer did not give what it offered.
func (o *offers) failed(peer core.DaemonID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.byPeer[peer]; known != nil {
		known.failures++
		if known.failures >= maxOfferFailures {
			delete(o.byPeer, peer)
		}
	}
}

// pullLoop asks peers for the revisions they offer.
func (f *Follower) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.offers.signal:
		}
		if err := f.pullAll(ctx); err != nil {
			return err
		}
	}
}

// pullAll pulls until no offer is newer; it returns an error only at the end of ctx.
func (f *Follower) pullAll(ctx context.Context) error {
	pause := f.timing.RetryMin
	lastFailed := false
	for {
		before := f.Current().Revision
		peer, ok := f.offers.best(before)
		if !ok {
			break
		}
		if lastFailed = !f.pull(ctx, peer, before); !lastFailed {
			pause = f.timing.RetryMin
			continue
		}
		f.offers.failed(peer)
		if err := sleep(ctx, jitter(pause)); err != nil {
			return err
		}
		pause = min(2*pause, f.timing.RetryMax)
	}
	if lastFailed {
		f.catchUpFromStore(ctx)
	}
	return nil
}

// pull asks one peer and reports whether the revision in force rose.
func (f *Follower) pull(ctx context.Context, peer core.DaemonID, after config.Revision) bool {
	call, cancel := context.WithTimeout(ctx, f.timing.CallTimeout)
	defer cancel()
	changes, doc, err := f.options.Peers.Changes(call, peer, after)
	if err != nil {
		f.logger.Warn("configuration not had from peer", "peer", peer, "after", after, "error", err)
		return false
	}
	source := "peer " + string(peer)
	if doc != nil {
		f.takeDocument(doc, source)
	} else if !f.take(changes, source) {
		f.pullWhole(ctx, peer)
	}
	return f.Current().Revision > after
}

// pullWhole asks a peer for everything, after its changes did not fit.
func (f *Follower) pullWhole(ctx context.Context, peer core.DaemonID) {
	call, cancel := context.WithTimeout(ctx, f.timing.CallTimeout)
	defer cancel()
	// No peer keeps the changes after revision 0 for long; one that does
	// gives a history that starts from the empty document.
	changes, doc, err := f.options.Peers.Changes(call, peer, 0)
	if err != nil {
		f.logger.Warn("full configuration not received from peer", "peer", peer, "error", err)
		return
	}
	if doc == nil {
		doc = replay(changes)
	}
	f.takeDocument(doc, "peer "+string(peer))
}

// replay builds a document from its first change on; nil if that fails.
func replay(changes []config.Change) *config.Document {
	doc := config.EmptyDocument()
	for i := range changes {
		next, err := config.Apply(doc, &changes[i])
		if err != nil {
			return nil
		}
		doc = next
	}
	return doc
}

// catchUpFromStore is for a revision that is known to exist while no peer
// gives it.
func (f *Follower) catchUpFromStore(ctx context.Context) {
	if f.options.Store == nil || sleep(ctx, jitter(f.timing.Fallback)) != nil {
		return
	}
	if err := f.readHead(ctx); err != nil {
		f.logger.Warn("configuration not read from the store", "error", err)
	}
}
