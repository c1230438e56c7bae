package metadata

import (
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// followerState is what the follower at the other end of a link has received by the last answer.
type followerState struct {
	proof core.Time
	// scope and era are those of the last answer's items. The next answer starts with the mirror's
	// change number changesEnd.
	scope      reportpb.Scope
	era        mirror.Era
	changesEnd uint64
	// version is the newest version of the configuration that was sent.
	version uint64
}

// Serve answers a follower's questions until the link ends or this process stops. It does not wait
// for the end of a planned stop, so that followers can find another relay before their proofs are
// too old.
func (c *Copy) Serve(conn net.Conn, r protodelim.Reader, stopping func() bool) {
	defer conn.Close()
	var f followerState
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleLinkTimeout))
		var q reportpb.Question
		if err := protodelim.UnmarshalFrom(r, &q); err != nil {
			return
		}
		arrived := c.Now()
		f.proof = c.awaitNews(&q, &f, time.Duration(min(q.WaitMs, uint64(idleLinkTimeout/time.Millisecond)))*time.Millisecond, stopping)
		a := c.answer(&q, &f)
		a.Unknown = a.Unknown || f.proof == 0 || stopping()
		a.ProofNs = int64(f.proof.Sub(arrived))
		a.Number = q.Number
		_ = conn.SetWriteDeadline(time.Now().Add(idleLinkTimeout))
		if _, err := protodelim.MarshalTo(conn, a); err != nil || a.Unknown {
			return
		}
	}
}

// answer returns what the follower lacks. It is built after the proof was read, so its content is
// at least as new as the proof.
func (c *Copy) answer(q *reportpb.Question, f *followerState) *reportpb.Answer {
	a := c.itemsFor(q.Scope, f)
	if a.Catalog = c.catalogSince(q.Version); a.Catalog != nil {
		f.version = a.Catalog.Version
	}
	return a
}

// itemsFor returns the changes of the scope since the follower's last answer, or all items if the
// changes are not kept any more or the scope or era differs.
func (c *Copy) itemsFor(scope reportpb.Scope, f *followerState) *reportpb.Answer {
	if scope == reportpb.Scope_SCOPE_CONFIGURATION {
		return &reportpb.Answer{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scope < scope {
		return &reportpb.Answer{Unknown: true}
	}
	position := c.mirror.Position()
	items, kept := c.mirror.Changes(f.changesEnd)
	full := !kept || f.scope != scope || f.era != position.Era
	if full {
		items = c.mirror.All()
	}
	f.scope, f.era, f.changesEnd = scope, position.Era, c.mirror.NextChange()
	return &reportpb.Answer{Era: uint64(position.Era), Revision: uint64(position.Revision), Whole: full, Items: encodeItems(scope, items)}
}

func encodeItems(scope reportpb.Scope, items []platform.Item) []*reportpb.Item {
	var list []*reportpb.Item
	for _, i := range items {
		if inScope(scope, i.Key) {
			list = append(list, &reportpb.Item{Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Lease: i.Lease, Deleted: i.Deleted})
		}
	}
	return list
}

// awaitNews waits for a proof younger than the last one sent to the follower, or for changes that it lacks,
// for at most the given time, and returns the current proof. It returns early when this process stops.
func (c *Copy) awaitNews(q *reportpb.Question, f *followerState, wait time.Duration, stopping func() bool) core.Time {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		proof, advanced := c.Proof()
		if proof > f.proof || c.hasChanges(q, f) || stopping() {
			return proof
		}
		select {
		case <-advanced:
		case <-c.ctx.Done():
			return proof
		case <-timer.C:
			return proof
		}
	}
}

// hasChanges reports whether the follower lacks changes since its last answer.
func (c *Copy) hasChanges(q *reportpb.Question, f *followerState) bool {
	switch {
	case f.proof == 0:
		return false
	case c.Version() > max(q.Version, f.version):
		return true
	case q.Scope == reportpb.Scope_SCOPE_CONFIGURATION || f.scope != q.Scope:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	items, kept := c.mirror.Changes(f.changesEnd)
	return !kept || len(encodeItems(q.Scope, items)) > 0
}
