package confstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// PeerSource asks another daemon for changes.
type PeerSource interface {
	// Changes returns the peer's changes after a revision, ascending, or its
	// full document when it does not keep them all.
	Changes(ctx context.Context, peer core.DaemonID, after config.Revision) ([]config.Change, *config.Document, error)
}

// Timing are the intervals of a Follower.
type Timing struct {
	// WatcherPoll is how often a watcher reads head, in case its watch has
	// gone silent; Poll how often any other daemon does, in case no peer told
	// it. 1,700 daemons at 110 s make 15 reads a second, 12 watchers at 3 s make
	// 4. Both vary by half.
	WatcherPoll, Poll time.Duration
	// PollPerDaemon times the number of daemons takes the place of Poll where
	// Options.Daemons is known, within WatcherPoll and Poll, see pollInterval.
	PollPerDaemon time.Duration
	// Grace is how long a starting daemon waits for its peers before it reads
	// the full document from the store.
	Grace time.Duration
	// Fallback is the pause before the store is read for a revision that no
	// peer gives; it varies by half, which spreads daemons that lost one peer.
	Fallback time.Duration
	// RetryMin and RetryMax bound the pause after a failure.
	RetryMin, RetryMax time.Duration
	// CallTimeout bounds one call to a peer or the store.
	CallTimeout time.Duration
	// Recheck is how often ShouldWatch is asked.
	Recheck time.Duration
}

// DefaultTiming returns the intervals of production.
func DefaultTiming() Timing {
	return Timing{
		WatcherPoll:   3 * time.Second,
		Poll:          110 * time.Second,
		PollPerDaemon: 65 * time.Millisecond,
		Grace:         2 * time.Second,
		Fallback:      4 * time.Second,
		RetryMin:      200 * time.Millisecond,
		RetryMax:      5 * time.Second,
		CallTimeout:   3 * time.Second,
		Recheck:       time.Second,
	}
}

// Options configure a Follower.
type Options struct {
	// Store may be nil: then only peers are asked.
	Store  store.Store
	Prefix string
	// Peers may be nil: then only the store is asked.
	Peers PeerSource
	// ShouldWatch reports whether this daemon is one of the few that watch
	// the store; nil: it is. It is asked again and again.
	ShouldWatch func() bool
	// Daemons is the number of daemons in the fleet; nil: not known.
	Daemons func() int
	Logger  hclog.Logger
	// Timing is DefaultTiming when zero.
	Timing Timing
}

// Follower keeps a daemon's configuration in force up to date.
type Follower struct {
	options Options
	timing  Timing
	logger  hclog.Logger
	ledger  *ledger
	reader  reader
	offers  *offers

	// behind is the last revision of the store that was logged as lower than
	// the one in force.
	behindMu sync.Mutex
	behind   config.Revision
	// stuckGuard is head's store revision during another daemon's write-back,
	// stuckSince when it was first seen.
	stuckGuard store.Revision
	stuckSince time.Time
}

// NewFollower returns a follower with the empty document in force.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o,
		timing:  o.Timing,
		logger:  o.Logger,
		ledger:  newLedger(),
		reader:  reader{store: o.Store, keys: newKeys(o.Prefix)},
		offers:  newOffers(),
	}
	if f.timing == (Timing{}) {
		f.timing = DefaultTiming()
	}
	if f.logger == nil {
		f.logger = hclog.NewNullLogger()
	}
	f.reader.unreadable.log = f.logger
	return f
}

// Current is the document in force; of revision 0 until one is known. It must
// not be changed.
func (f *Follower) Current() *config.Document { return f.ledger.current.Load() }

// Subscribe calls fn with the document in force, if there is one, and with
// each later one, in the order of revisions and never concurrently. fn must
// not block and must not call Subscribe.
func (f *Follower) Subscribe(fn func(*config.Document)) { f.ledger.subscribe(fn) }

// Changes answers a peer's question, see PeerSource.
func (f *Follower) Changes(after config.Revision) ([]config.Change, *config.Document) {
	return f.ledger.since(after)
}

// Offer says that a peer has a revision in force; it is pulled if it is newer.
func (f *Follower) Offer(peer core.DaemonID, revision config.Revision) {
	if revision > f.Current().Revision {
		f.offers.add(peer, revision)
	}
}

// Calls counts the follower's calls to the store.
func (f *Follower) Calls() *Calls { return &f.reader.calls }

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if f.options.Peers != nil {
		group.Go(func() error { return f.pullLoop(ctx) })
	}
	if f.options.Store != nil {
		group.Go(func() error { return f.watchLoop(ctx) })
		group.Go(func() error { return f.pollLoop(ctx) })
	}
	group.Go(func() error { <-ctx.Done(); return ctx.Err() })
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// take brings changes in force, oldest first, and reports whether they led on
// without a gap.
func (f *Follower) take(changes []config.Change, source string) bool {
	for i := range changes {
		change := &changes[i]
		switch err := f.ledger.apply(change); {
		case err == nil:
			f.logger.Info("configuration in force", "revision", change.Revision, "change_id", change.ChangeID,
				"source", source, "author", change.Author, "reason", change.Reason)
		case errors.Is(err, errStale):
		default:
			f.logger.Warn("configuration change does not fit", "revision", change.Revision,
				"in_force", f.Current().Revision, "source", source, "error", err)
			return false
		}
	}
	return true
}

// takeDocument brings a full document in force unless it is not newer.
func (f *Follower) takeDocument(doc *config.Document, source string) {
	if f.ledger.replace(doc) {
		f.logger.Info("configuration in force", "revision", doc.Revision, "change_id", doc.ChangeID, "source", source, "full", true)
	}
}

func (f *Follower) watches() bool {
	return f.options.Store != nil && (f.options.ShouldWatch == nil || f.options.ShouldWatch())
}

// jitter returns a duration between half of d and one and a half of it, so
// that daemons which started together do not call together.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
