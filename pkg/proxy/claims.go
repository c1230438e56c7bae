package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"

	"limpetspan/core"
	"limpetspan/core/direct"
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
	current, readable := c.parse(item, err == nil)
	switch {
	case !readable:
		return direct.PromotionLock{}, "the promotion lock cannot be decoded"
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
		lock, ok := c.parse(item, true)
		if !ok || lock.Holder != c.p.settings.Daemon || lock.Boot != c.p.boot || lock.Claim != claim.Claim {
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

// parse decodes a group's promotion lock; found says whether the store has one. It logs a lock that
// cannot be decoded and returns false.
func (c *claims) parse(item platform.Item, found bool) (lock promotionLock, ok bool) {
	if !found {
		return c.p.eras.missingLock(), true
	}
	if err := json.Unmarshal(item.Value, &lock); err != nil {
		c.p.log.Warn("promotion lock cannot be decoded", "key", item.Key, "error", err.Error())
		return promotionLock{}, false
	}
	return lock, true
}

// lockState returns what a read of the promotion lock shows, false if the lock cannot be decoded.
func (c *claims) lockState(item platform.Item, found bool) (direct.LockState, bool) {
	lock, ok := c.parse(item, found)
	return lock.StateIn(c.p.eras.current()), ok
}

// groupOfLock returns the group of a promotion lock's key.
func groupOfLock(item platform.Item) core.GroupID {
	return core.GroupID(strings.TrimPrefix(item.Key, platform.LocksPrefix))
}

// isFree reports whether the promotion lock may be acquired: it was released, it is this process's
// own, or it has not changed for so long that its holder can no longer request a promotion under it.
func (c *claims) isFree(item platform.Item, lock promotionLock, era mirror.Era) bool {
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
	if c.observed[id].revision != item.Revision {
		c.observed[id] = observedLock{item.Revision, at}
	}
	return c.observed[id].firstSeen
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
		c.firstSeen(item, at)
	}
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
