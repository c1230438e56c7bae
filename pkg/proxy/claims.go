package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/era"
	"limpetspan/core/mirror"
	"limpetspan/platform"
)

// promotionLock is a group's promotion lock in the store: it names the daemon that may change the
// group's primary.
type promotionLock struct {
	direct.LockRecord
	Holder core.DaemonID `json:"holder"`
	// Boot distinguishes the holder's processes.
	Boot int64 `json:"boot"`
	// Claim distinguishes the claims of one process.
	Claim uint64 `json:"claim,omitempty"`
}

// observedLock is a promotion lock's revision and when this daemon first observed it.
type observedLock struct {
	revision  mirror.Revision
	firstSeen core.Time
	// record is the last record that could be decoded.
	record direct.LockRecord
}

// claims acquires and releases promotion locks, and requests promotions from the platform.
type claims struct {
	p *Proxy
	// claimCount counts this process's claims.
	claimCount atomic.Uint64
	// readingAll is set while all promotion locks are read for the groups that need them.
	readingAll atomic.Bool
	mu         sync.Mutex
	observed   map[core.GroupID]observedLock
	// promotions are the promotion requests in progress.
	promotions map[core.GroupID]*promotionCall
}

// claim acquires the group's promotion lock, and reports the lock or the reason of the refusal to
// the reducer.
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

// textEraNotSettled is the reason for refusing claims while another daemon may still act on a
// promotion lock of an earlier era of the store.
const textEraNotSettled = "the store's era has not settled"

// acquire writes a claim over the group's promotion lock if that is free. It returns the lock, or
// the reason of the refusal.
func (c *claims) acquire(ctx context.Context, id core.GroupID, e direct.Effect) (direct.PromotionLock, string) {
	if !c.p.eras.isSettled() {
		return direct.PromotionLock{}, textEraNotSettled
	}
	item, era, err := c.p.client.Get(ctx, platform.LocksPrefix+string(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return direct.PromotionLock{}, "store: " + err.Error()
	}
	if !c.p.eras.isSettled() {
		// The read itself may have shown that the store was restored.
		return direct.PromotionLock{}, textEraNotSettled
	}
	current := c.parse(item, err == nil, era)
	if err == nil && !c.isFree(item, current, era) {
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

// withdraw reverts a claim that the store did not answer. The store may have executed the claim's
// write, or may execute it seconds later if its condition still holds. The group would then appear
// claimed, and five seconds later as if a promotion had been requested. Writing the previous record
// replaces the claim, or makes the condition of its write fail.
func (c *claims) withdraw(id core.GroupID, revision mirror.Revision, previousRecord direct.LockRecord, claim promotionLock) {
	previous := promotionLock{LockRecord: previousRecord.RevertClaim(claim.LockRecord)}
	if !c.retry(func(ctx context.Context) bool { return c.restorePrevious(ctx, id, revision, previous, claim) }) {
		c.p.log.Error("claim not withdrawn", "group", id, "term", claim.Term)
	}
}

// retry repeats a call to the store until it is done, at most maxReleaseAttempts times.
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

// restorePrevious writes the previous promotion lock over the claim. If the store has not executed
// the claim's write, it writes over the lock that the claim would replace, so that the claim's
// condition fails. If another claim has replaced this one, nothing is left to do. It returns false
// if it has to be retried.
func (c *claims) restorePrevious(ctx context.Context, id core.GroupID, revision mirror.Revision, previous, claim promotionLock) bool {
	item, era, err := c.p.client.Get(ctx, platform.LocksPrefix+string(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.p.log.Warn("claim not withdrawn yet", "group", id, "step", "read", "error", err.Error())
		return false
	}
	if item.Revision != revision || era != claim.Era {
		lock := c.parse(item, true, era)
		if lock.Overwritten || lock.Holder != c.p.settings.Daemon || lock.Boot != c.p.boot || lock.Claim != claim.Claim {
			return true
		}
	}
	if _, err = c.put(ctx, id, item.Revision, previous); err != nil {
		c.p.log.Warn("claim not withdrawn yet", "group", id, "step", "write", "error", err.Error())
		return false
	}
	c.p.log.Info("claim withdrawn", "group", id, "term", claim.Term)
	return true
}

// put writes the group's promotion lock on the condition that its revision is unchanged.
func (c *claims) put(ctx context.Context, id core.GroupID, revision mirror.Revision, lock promotionLock) (mirror.Position, error) {
	key := platform.LocksPrefix + string(id)
	lock.Holder, lock.Boot = c.p.settings.Daemon, c.p.boot
	value, err := json.Marshal(lock)
	if err != nil {
		return mirror.Position{}, err
	}
	return c.p.client.Put(ctx, []platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Value: value}})
}

// release releases a promotion lock under which no promotion will be requested any more. It retries
// while the store does not answer: until the lock is released, reads of it provide no lease, and the
// next claim waits until the lock has expired.
//
// A promotion lock of an earlier era is not released: the store has lost it, or has assigned its
// revision again to a lock that another daemon holds.
func (c *claims) release(id core.GroupID, e direct.Effect) {
	attempts, position := 0, mirror.TokenPosition(e.Token)
	c.retry(func(ctx context.Context) bool {
		if c.p.eras.current() != position.Era {
			return true
		}
		attempts++
		_, err := c.put(ctx, id, position.Revision, promotionLock{LockRecord: e.ReleasedRecord(position.Era)})
		if err != nil {
			c.p.log.Warn("promotion lock not released", "group", id, "token", e.Token, "try", attempts, "error", err.Error())
		}
		return err == nil || errors.Is(err, platform.ErrConflict)
	})
}

// locksPerPage is the number of promotion locks that one call lists.
const locksPerPage = 500

// read reads the group's promotion lock and passes it to the reducer. If listing the locks of all
// groups takes fewer calls than reading one for each active group, it lists them and notifies all
// groups. Without confirmations of the primary, as after a power loss or with unreachable replicas,
// each group needs a read four times a second: 18 homes of 20 groups made a thousand calls a second.
func (c *claims) read(g *group) {
	if !c.p.eras.isSettled() {
		// The store may have lost a claim that its holder still acts on.
		return
	}
	catalog := c.p.catalog.Load()
	if catalog == nil || len(c.p.activeGroups()) <= 1+len(catalog.Groups)/locksPerPage {
		c.readOne(g)
		return
	}
	if !c.readingAll.CompareAndSwap(false, true) {
		// The read in progress is for this group, too. If it fails, the reducer requests another.
		return
	}
	defer c.readingAll.Store(false)
	if err := c.readAll(); err != nil {
		c.p.logDecision("promotion locks not read", "error", err.Error())
	}
}

// readAll reads all promotion locks and notifies the groups. The read is consistent, as it can give
// a group the lease on its primary.
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
	if state, ok := c.lockState(item, err == nil); ok {
		g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.LockRead(at, sent, state) })
	}
}

// parse decodes a group's promotion lock, which was read in that era; found says whether the store has one.
// A lock that cannot be decoded counts as overwritten.
func (c *claims) parse(item platform.Item, found bool, readIn mirror.Era) promotionLock {
	if !found {
		// The zero record is of era 0: in any later one, the store may have lost the group's lock.
		return promotionLock{}
	}
	lock, err := parseLock(item.Value, readIn)
	if err != nil {
		c.p.unreadable.report(kindLock, item, err)
		return promotionLock{LockRecord: c.lastRecord(item)}
	}
	c.remember(item, lock.LockRecord)
	return lock
}

// parseLock decodes a promotion lock that was read in that era.
func parseLock(value []byte, readIn mirror.Era) (lock promotionLock, err error) {
	if err := decodeRecord(value, &lock); err != nil {
		return promotionLock{}, err
	}
	switch {
	case !isName(string(lock.Holder)):
		return promotionLock{}, errors.New("holder is missing or malformed")
	case !lock.IsValidIn(readIn):
		return promotionLock{}, fmt.Errorf("term %d, highest term %d or era %d is out of range", lock.Term, lock.Highest, lock.Era)
	}
	// A claim names a term above the highest one, which no daemon writes lower than the term.
	lock.Highest = max(lock.Highest, lock.Term)
	return lock, nil
}

// lockState returns what a read of the promotion lock shows, false if it must not be acted on: an
// overwritten lock may hide a claim whose holder can still have a promotion ordered.
func (c *claims) lockState(item platform.Item, found bool) (direct.LockState, bool) {
	current := c.p.eras.current()
	lock := c.parse(item, found, current)
	if lock.Overwritten && !c.isSettled(item) {
		return direct.LockState{}, false
	}
	return lock.StateIn(current), true
}

// isSettled reports whether this daemon has observed an overwritten promotion lock for so long that no
// promotion that was ordered under an earlier lock is still to take effect.
func (c *claims) isSettled(item platform.Item) bool {
	at := now()
	return at.Sub(c.firstSeen(item, at)) >= era.SettleDuration
}

// remember records the promotion lock's record for the case that it is overwritten.
func (c *claims) remember(item platform.Item, record direct.LockRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := groupOfLock(item)
	o := c.observed[id]
	o.record = record
	c.observed[id] = o
}

// lastRecord returns the record of the overwritten promotion lock that was last remembered.
func (c *claims) lastRecord(item platform.Item) direct.LockRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.observed[groupOfLock(item)].record
	record.Overwritten = true
	return record
}

// groupOfLock returns the group of a promotion lock's key.
func groupOfLock(item platform.Item) core.GroupID {
	return core.GroupID(strings.TrimPrefix(item.Key, platform.LocksPrefix))
}

// isFree reports whether the promotion lock may be acquired: it was released, it is this process's
// own, or it has not changed for so long that its holder can no longer request a promotion under it.
func (c *claims) isFree(item platform.Item, lock promotionLock, era mirror.Era) bool {
	if lock.Overwritten {
		return c.isSettled(item)
	}
	if lock.Era != era {
		// The current era has settled: the holder of a lock of an earlier era can no longer request a
		// promotion.
		return true
	}
	if lock.Released || lock.Holder == c.p.settings.Daemon && lock.Boot == c.p.boot {
		return true
	}
	at := now()
	return at.Sub(c.firstSeen(item, at)) >= direct.LockTTL
}

// firstSeen returns when this daemon first observed the promotion lock's revision, which is at if the
// revision is new.
func (c *claims) firstSeen(item platform.Item, at core.Time) core.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := groupOfLock(item)
	o, ok := c.observed[id]
	if !ok || o.revision != item.Revision {
		o.revision, o.firstSeen = item.Revision, at
		c.observed[id] = o
	}
	return o.firstSeen
}

// forgetObserved removes the observed revisions, as a restored store assigns them again.
func (c *claims) forgetObserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.observed)
}

// observe records when the promotion locks were first observed. A claim then does not wait for a
// lock that has expired already.
func (c *claims) observe(items []platform.Item) {
	at := now()
	for _, item := range items {
		if item.Deleted {
			c.forget(item)
			continue
		}
		c.firstSeen(item, at)
	}
}

// forget removes what is known of a promotion lock that was deleted.
func (c *claims) forget(item platform.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.observed, groupOfLock(item))
}

// recheckOverwritten passes the group's promotion lock to the group again once an overwritten lock may be
// acted on. A daemon that holds a lease reads the lock at no other time.
func (c *claims) recheckOverwritten(item platform.Item) {
	id := groupOfLock(item)
	if item.Deleted || c.p.existingGroup(id) == nil || !c.parse(item, true, c.p.eras.current()).Overwritten {
		return
	}
	time.AfterFunc(era.SettleDuration, func() {
		if g := c.p.existingGroup(id); g != nil && c.p.running() {
			c.p.view.updateGroup(g, true)
		}
	})
}

// notifyGroups passes promotion locks to the groups. They were read by a call that was sent at the
// given time. A group uses no primary before it knows who holds its lock.
func (c *claims) notifyGroups(sent core.Time, items []platform.Item) {
	locks := make(map[core.GroupID]platform.Item, len(items))
	for _, item := range items {
		locks[groupOfLock(item)] = item
	}
	for _, g := range c.p.allGroups() {
		item, found := locks[g.id]
		if state, ok := c.lockState(item, found); ok {
			g.update(func(r *direct.Group, at core.Time) []direct.Effect { return r.LockRead(at, sent, state) })
		}
	}
}
