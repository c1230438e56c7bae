package metadata

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// followerState is another daemon that asks on a link, and what it was told last.
type followerState struct {
	proof core.Time
	// scope is that of the last answer, in the era, up to the change with the number end.
	scope      reportpb.Scope
	era        mirror.Era
	changesEnd uint64
}

// Serve answers another daemon's questions until the link ends or this process stops: its
// followers have to find another source while they still have time.
func (c *Copy) Serve(conn net.Conn, r *bufio.Reader, stopping func() bool) {
	defer conn.Close()
	var f followerState
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleLinkTimeout))
		var q reportpb.Question
		if err := protodelim.UnmarshalFrom(r, &q); err != nil {
			return
		}
		arrived := c.Now()
		f.proof = c.awaitProofAfter(f.proof, time.Duration(min(q.WaitMs, uint64(idleLinkTimeout/time.Millisecond)))*time.Millisecond, stopping)
		a := c.answer(&q, &f)
		a.Unknown = a.Unknown || f.proof == 0 || stopping()
		a.ProofNs = int64(f.proof.Sub(arrived))
		_ = conn.SetWriteDeadline(time.Now().Add(idleLinkTimeout))
		if _, err := protodelim.MarshalTo(conn, a); err != nil || a.Unknown {
			return
		}
	}
}

// answer is what the follower lacks. It is put together after the proof was read, and as new
// as that says, or newer.
func (c *Copy) answer(q *reportpb.Question, f *followerState) *reportpb.Answer {
	a := c.items(q.Scope, f)
	a.Catalog = c.catalogSince(q.Version)
	return a
}

// items are the changes of the scope since the follower was last told, or all items.
func (c *Copy) items(scope reportpb.Scope, f *followerState) *reportpb.Answer {
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
	whole := !kept || f.scope != scope || f.era != position.Era
	if whole {
		items = c.mirror.All()
	}
	f.scope, f.era, f.changesEnd = scope, position.Era, c.mirror.NextChange()
	return &reportpb.Answer{Era: uint64(position.Era), Revision: uint64(position.Revision), Whole: whole, Items: encodeItems(scope, items)}
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

// awaitProofAfter returns a proof that is younger than the one told before, or the old one
// if none has come within the wait.
func (c *Copy) awaitProofAfter(told core.Time, wait time.Duration, stopping func() bool) core.Time {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		proof, advanced := c.Proof()
		if proof > told || stopping() {
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
