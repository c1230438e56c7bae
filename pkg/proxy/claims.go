package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/platform"
)

// promotion lock is the key of the store that names who may change a group's primary.
type promotionLock struct {
	direct.LockRecord
	Holder core.DaemonID `json:"holder"`
	// Boot tells one life of a daemon from the next.
	Boot int64 `json:"boot"`
	// Claim tells one claim of the holder from the next.
	Claim uint64 `json:"claim,omitempty"`
}

// seenLock is a promotion lock's revision and when this daemon first saw it.
type observedLock struct {
	revision  mirror.Revision
	firstSeen core.Time
}

// claims takes promotion locks and orders promotions.
type claims struct {
	p *Proxy
	// claimed counts this daemon's claims.
	claimCount atomic.Uint64
	// listing is set while all promotion locks are read for the groups that ask.
	readingAll atomic.Bool
	mu         sync.Mutex
	observed   map[core.GroupID]observedLock
}

// claim takes the group's promotion lock, or reports why that is not possible.
func (c *claims) claim(g *group, e direct.Effect) {
	ctx, cancel := context.WithTimeout(c.p.ctx, 2*storeTimeout)
	defer cancel()
	sent := now()
	lock, refusal := c.acquire(ctx, g.id, e)
	c.p.log.Info("promotion lock", "group", g.id, "term", lock.Term, "unresolved", lock.Unresolved, "revision", lock.Token, "refused", refusal)
	g.update(func(r *direct.Group, at core.Time) []direct.Effect {
		if refusal != "" {
			return r.ClaimRefused(at, refusal)
		}
		return r.Claimed(at, sent, lock)
	})
}

// textUnsettled refuses claims while somebody may still act on what an earlier era of the
// store has given him.
const textEraNotSettled = "the store's era has not settled"

func (c *claims) acquire(ctx context.Context, id core.GroupID, e direct.Effect) (direct.PromotionLock, string) {
	if !c.p.eras.isSettled() {
		return direct.PromotionLock{}, textEraNotSettled
	}
	item, era, err := c.p.client.Get(ctx, platform.LocksPrefix+string(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return direct.PromotionLock{}, "store: " + err.Error()
	}
	current, readable := c.parse(item, err == nil)
	switch {
	case !readable:
		return direct.PromotionLock{}, "the last promotion lock cannot be read"
	case err == nil && !c.isFree(item, current, era):
		return direct.PromotionLock{}, "another daemon has the promotion lock"
	}
	record, lock := current.LockRecord.Claim(e, era)
	next := promotionLock{LockRecord: record, Claim: c.claimCount.Add(1)}
	position, err := c.put(ctx, id, item.Revision, next)
	if err == nil && position.Era != era {
		err = errStoreRestored
	}
	if err == nil {
		lock.Token, err = position.Token()
	}
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			go c.withdraw(id, item.Revision, current.LockRecord, next)
		}
		return direct.PromotionLock{}, "store: " + err.Error()
	}
	return lock, ""
}

// withdraw takes back a claim that was not answered. The store may have executed
// it, or may do so seconds later while its condition holds; the group would then
// look claimed, and five seconds later as if a promotion had been ordered. Writing
// what was there before takes the place of the claim, or makes its condition fail.
func (c *claims) withdraw(id core.GroupID, revision mirror.Revision, before direct.LockRecord, claim promotionLock) {
	previous := promotionLock{LockRecord: before.RevertClaim(claim.LockRecord)}
	if !c.retry(func(ctx context.Context) bool { return c.restorePrevious(ctx, id, revision, previous, claim) }) {
		c.p.log.Error("claim not withdrawn", "group", id, "term", claim.Term)
	}
}

// persist tries something at the store until it is done, at most releaseTries times.
func (c *claims) retry(attempt func(ctx context.Context) (done bool)) bool {
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(c.p.ctx, storeTimeout)
		done := attempt(ctx)
		cancel()
		if done {
			return true
		}
		c.p.sleep(releaseRetryInterval)
		if !c.p.running() {
			return false
		}
	}
	return false
}

// replace writes the promotion lock that was there before over the claim, or over what the
// claim would be written over; false: the store did not answer.
func (c *claims) restorePrevious(ctx context.Context, id core.GroupID, revision mirror.Revision, before, claim promotionLock) bool {
	item, era, err := c.p.client.Get(ctx, platform.LocksPrefix+string(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.p.log.Warn("claim not withdrawn yet", "group", id, "step", "read", "error", err.Error())
		return false
	}
	if item.Revision != revision || era != claim.Era {
		t, ok := c.parse(item, true)
		if !ok || t.Holder != c.p.settings.Daemon || t.Boot != c.p.boot || t.Claim != claim.Claim {
			return true
		}
	}
	if _, err = c.put(ctx, id, item.Revision, before); err != nil {
		c.p.log.Warn("claim not withdrawn yet", "group", id, "step", "write", "error", err.Error())
		return false
	}
	c.p.log.Info("claim withdrawn", "group", id, "term", claim.Term)
	return true
}

// put writes the group's promotion lock if its last change is the revision.
func (c *claims) put(ctx context.Context, id core.GroupID, last mirror.Revision, t promotionLock) (mirror.Position, error) {
	key := platform.LocksPrefix + string(id)
	t.Holder, t.Boot = c.p.settings.Daemon, c.p.boot
	value, err := json.Marshal(t)
	if err != nil {
		return mirror.Position{}, err
	}
	return c.p.client.Put(ctx, []platform.Condition{{Key: key, Revision: last}}, []platform.Write{{Key: key, Value: value}})
}

// release gives back a promotion lock under which nothing will be ordered any more. It is
// tried again while the store does not answer: until a promotion lock is back, reads of it
// give nobody a lease, and the next claim waits for its end.
//
// A promotion lock of an earlier era is gone, or somebody else's: its revision has been given
// out again.
func (c *claims) release(id core.GroupID, e direct.Effect) {
	attempts, taken := 0, mirror.TokenPosition(e.Token)
	c.retry(func(ctx context.Context) bool {
		if c.p.eras.current() != taken.Era {
			return true
		}
		attempts++
		_, err := c.put(ctx, id, taken.Revision, promotionLock{LockRecord: e.ReleasedRecord(taken.Era)})
		if err != nil {
			c.p.log.Warn("promotion lock not given back", "group", id, "token", e.Token, "try", attempts, "error", err.Error())
		}
		return err == nil || errors.Is(err, platform.ErrConflict)
	})
}

// locksPerPage is how many promotion locks one call lists.
const locksPerPage = 500

// read tells the reducer which term the group's promotion lock names, and all others of this
// daemon's groups as well if that costs no more calls. Without a primary's confirmations,
// as after a loss of power or with replicas cut off, each group asks four times a second;
// 18 homes of 20 groups made a thousand calls a second of it.
func (c *claims) read(g *group) {
	if !c.p.eras.isSettled() {
		// What a read shows may lack a claim that is still acted on.
		return
	}
	catalog := c.p.catalog.Load()
	if catalog == nil || len(c.p.activeGroups()) <= 1+len(catalog.Groups)/locksPerPage {
		c.readOne(g)
		return
	}
	if !c.readingAll.CompareAndSwap(false, true) {
		// The read under way tells this group, too; should it fail, the reducer asks again.
		return
	}
	defer c.readingAll.Store(false)
	if err := c.readAll(); err != nil {
		c.p.logDecision("promotion locks not read", "error", err.Error())
	}
}

// readAll reads the promotion locks as they are now: groups may use their primaries by what
// they say.
func (c *claims) readAll() error {
	ctx, cancel := context.WithTimeout(c.p.ctx, direct.LockReadInterval)
	defer cancel()
	sent := now()
	locks, _, err := c.p.client.List(ctx, platform.LocksPrefix)
	if err == nil {
		c.observe(locks)
		c.notifyGroups(sent, locks)
	}
	return err
}

// readOne reads the promotion lock of one group.
func (c *claims) readOne(g *group) {
	ctx, cancel := context.WithTimeout(c.p.ctx, direct.LockReadInterval)
	defer cancel()
	sent := now()
	item, _, err := c.p.client.Get(ctx, platform.LocksPrefix+string(g.id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.p.logDecision("promotion lock not read", "group", g.id, "error", err.Error())
		return
	}
	if seen, ok := c.lockState(item, err == nil); ok {
		g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.LockRead(at, sent, seen) })
	}
}

// parse decodes a group's promotion lock; found says whether the store has one. What cannot
// be read is logged.
func (c *claims) parse(item platform.Item, found bool) (t promotionLock, ok bool) {
	if !found {
		return c.p.eras.missingLock(), true
	}
	if err := json.Unmarshal(item.Value, &t); err != nil {
		c.p.log.Warn("promotion lock cannot be read", "key", item.Key, "error", err.Error())
		return promotionLock{}, false
	}
	return t, true
}

// seenAs is what a read of the promotion lock shows; false: it cannot be read.
func (c *claims) lockState(item platform.Item, found bool) (direct.LockState, bool) {
	t, ok := c.parse(item, found)
	return t.StateIn(c.p.eras.current()), ok
}

func groupOfLock(item platform.Item) core.GroupID {
	return core.GroupID(strings.TrimPrefix(item.Key, platform.LocksPrefix))
}

// free says whether the promotion lock may be taken over: it was given back, it is this
// process's own, or it has not changed for so long that its holder can order
// nothing under it.
func (c *claims) isFree(item platform.Item, t promotionLock, era mirror.Era) bool {
	if t.Era != era {
		// Whoever holds it by an earlier era can order nothing any more once this one has settled.
		return true
	}
	if t.Released || t.Holder == c.p.settings.Daemon && t.Boot == c.p.boot {
		return true
	}
	at := now()
	return at.Sub(c.firstSeen(item, at)) >= direct.LockTTL
}

// since is when the promotion lock was first seen as it is now, which may be at.
func (c *claims) firstSeen(item platform.Item, at core.Time) core.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := groupOfLock(item)
	if c.observed[id].revision != item.Revision {
		c.observed[id] = observedLock{item.Revision, at}
	}
	return c.observed[id].firstSeen
}

// forget drops since when promotion locks have stood: their revisions are given out again.
func (c *claims) forgetObserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.observed)
}

// observe remembers since when promotion locks have stood, so that an old one is not
// waited for when it is needed.
func (c *claims) observe(items []platform.Item) {
	at := now()
	for _, item := range items {
		c.firstSeen(item, at)
	}
}

// tell passes promotion locks that were read at sent on to the groups, which may use no
// primary before they know who has claimed them.
func (c *claims) notifyGroups(sent core.Time, items []platform.Item) {
	locks := make(map[core.GroupID]platform.Item, len(items))
	for _, item := range items {
		locks[groupOfLock(item)] = item
	}
	for _, g := range c.p.allGroups() {
		item, found := locks[g.id]
		if seen, ok := c.lockState(item, found); ok {
			g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.LockRead(at, sent, seen) })
		}
	}
}

// promote gives the order. It is not on its way later than e.Until, so that the
// next holder's order comes after it.
func (c *claims) promote(g *group, e direct.Effect) {
	remaining := e.SendDeadline.Sub(now())
	if remaining <= 0 {
		c.promoteRefused(g, "the promotion lock ran out")
		return
	}
	ctx, cancel := context.WithTimeout(c.p.ctx, min(promoteTimeout, remaining+time.Second))
	defer cancel()
	err := c.p.client.Promote(ctx, g.id, e.Member, c.p.settings.Daemon, e.Token)
	c.p.log.Info("promote", "group", g.id, "member", e.Member, "term", e.Term, "token", e.Token, "error", errorText(err))
	c.p.stats.promotions.Add(1)
	if errors.Is(err, platform.ErrNotRunning) || errors.Is(err, platform.ErrUnavailable) {
		c.promoteRefused(g, err.Error())
	}
	// Any other failure leaves open whether the order was received; the member's
	// status will tell.
}

func (c *claims) promoteRefused(g *group, reason string) {
	g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.PromoteRefused(at, reason) })
}
