package proxy

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// limits counts the operations of the teams of which this daemon holds the slots, and asks
// the store for slots as core/quota decides.
type limits struct {
	p *Proxy
	// inForce says that teams have limits.
	inForce bool
	rule    quota.Rule
	// wake ends a pause when a slot is wanted.
	wake chan struct{}

	mu     sync.Mutex
	holder *quota.Holder
	counts map[core.TeamID]*teamCount
	// changed is closed and replaced when slots were taken or listed.
	changed chan struct{}
}

// teamCount is one team's operations here.
type teamCount struct {
	quota.Count
	limit quota.Limit
	// refusing says that the team is at its limit, since the log has told so.
	refusing       bool
	refusedAt      core.Time
	served, denied int64
}

func newLimits(p *Proxy) *limits {
	return &limits{
		p: p, inForce: p.settings.Limits, rule: p.settings.Limit, wake: make(chan struct{}, 1), changed: make(chan struct{}),
		holder: quota.NewHolder(p.settings.Daemon, p.boot), counts: make(map[core.TeamID]*teamCount),
	}
}

// payment is what came of paying for an operation.
type payment int

const (
	// paid: it may run.
	paid payment = iota
	// overLimit: the team is at its limit.
	overLimit
	// countedElsewhere: this daemon does not hold the team's slot.
	countedElsewhere
	// burstUntold: the store has to be told first that the team uses its burst.
	burstUntold
)

// receipt is what came of paying, when to come back if it was not paid for, and who counts
// the team's operations if that is known to be another daemon.
type receipt struct {
	result   payment
	comeBack time.Duration
	owner    core.DaemonID
}

// waits says whether an operation is worth a wait for the store.
func (r receipt) waits() bool { return r.result == countedElsewhere || r.result == burstUntold }

// textCountedAt precedes the daemon that counts a team's operations in a refusal; an entry
// takes it from there.
const textCountedAt = "the team's operations are counted at "

func (r receipt) String() string {
	switch {
	case r.result == overLimit:
		return "the team is at its limit"
	case r.result == burstUntold:
		return "the team's burst is not opened yet"
	case r.owner == "":
		return "the team's operations are counted elsewhere"
	}
	return textCountedAt + string(r.owner)
}

// ownerIn is the daemon that a refusal names as the one that counts the team's operations;
// "": it names none.
func ownerIn(text string) core.DaemonID {
	_, rest, _ := strings.Cut(text, textCountedAt)
	owner, _, _ := strings.Cut(rest, ";")
	return core.DaemonID(owner)
}

// pay pays for one of the team's operations, to be sent now.
// wants says whether this daemon may take the slot to run it.
func (l *limits) pay(team auth.Team, wants bool) receipt {
	if !l.inForce || !team.Limited {
		return receipt{}
	}
	slot := quota.SlotOf(team.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	held, ok := l.holder.Holds(at, slot)
	if owner := l.holder.Elsewhere(slot); !ok && owner != "" && l.holder.OwnersAge(at) < ownerKnownFor && l.p.peers.heardOf(owner) {
		return receipt{countedElsewhere, quota.RetryAfter, owner}
	}
	if ok || wants {
		l.holder.Want(at, slot)
	}
	if !ok {
		l.wakeUp()
		return receipt{countedElsewhere, quota.RetryAfter, l.holder.Elsewhere(slot)}
	}
	c := l.count(at, team)
	ok, wantOpen := c.Take(at, held, c.limit, l.rule)
	if ok {
		c.served++
		return receipt{}
	}
	if wantOpen {
		l.holder.WantOpen(slot)
		l.wakeUp()
		return receipt{result: burstUntold, comeBack: leastOverLimit}
	}
	c.denied++
	return receipt{result: overLimit, comeBack: l.comeBack(at, team.ID, c)}
}

// count is the team's count here, with its present limit.
func (l *limits) count(at core.Time, team auth.Team) *teamCount {
	c := l.counts[team.ID]
	if c == nil {
		c = &teamCount{}
		l.counts[team.ID] = c
	}
	c.limit = l.rule.Limit(team.Rate, team.Burst)
	if c.refusing && at.Sub(c.refusedAt) > refusingFor {
		c.refusing = false
		l.p.log.Info("team is within its limit again", "team", team.ID, "denied", c.denied)
	}
	return c
}

// Bounds of when callers over their limit are told to come back.
const (
	leastOverLimit = 100 * time.Millisecond
	mostOverLimit  = 5 * time.Second
	// refusingFor is how long after its last refusal a team counts as at its limit.
	refusingFor = 2 * time.Second
	// overLimitShare of a second's tokens are there when the first callers come back, and the
	// same again for those that come after: fewer, and most of them would be refused again.
	overLimitShare = 0.25
)

// comeBack is when there will be tokens for some of the team's callers, spread out so that
// they do not come in one moment.
func (l *limits) comeBack(at core.Time, team core.TeamID, c *teamCount) time.Duration {
	if !c.refusing {
		c.refusing = true
		l.p.log.Warn("team is at its limit", "team", team, "rate", c.limit.Rate, "burst", c.limit.Burst, "served", c.served)
	}
	c.refusedAt = at
	wait, ok := c.Until(at, max(1, overLimitShare*c.limit.Rate))
	if !ok {
		return mostOverLimit
	}
	wait = min(mostOverLimit, max(leastOverLimit, wait))
	return wait + time.Duration(rand.Float64()*float64(wait))
}

// TeamUse is what a team has asked of this daemon.
type TeamUse struct {
	Team           core.TeamID `json:"team"`
	Served, Denied int64
	// Rate and Burst are the limit that the daemon counts by.
	Rate, Burst float64
}

// teamsShown bounds the teams that are published one by one; the rest are summed up.
const teamsShown = 20

// largest are the n teams that have asked most here, and the sum of the rest without a name.
func (l *limits) largest(n int) []TeamUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []TeamUse
	for id, c := range l.counts {
		all = append(all, TeamUse{id, c.served, c.denied, c.limit.Rate, c.limit.Burst})
	}
	slices.SortFunc(all, func(a, b TeamUse) int {
		return cmp.Or(cmp.Compare(b.Served+b.Denied, a.Served+a.Denied), cmp.Compare(a.Team, b.Team))
	})
	if len(all) <= n {
		return all
	}
	rest := TeamUse{}
	for _, u := range all[n:] {
		rest.Served += u.Served
		rest.Denied += u.Denied
	}
	return append(all[:n:n], rest)
}

// await waits until this daemon holds the team's slot and may use its burst, or knows that it
// will not soon, or the deadline: a daemon that the store does not answer would otherwise make late what another
// home can run at once.
func (l *limits) await(team auth.Team, burst bool, deadline core.Time) {
	if !l.inForce || !team.Limited {
		return
	}
	slot := quota.SlotOf(team.ID)
	timer := time.NewTimer(until(deadline, 0))
	defer timer.Stop()
	for {
		l.mu.Lock()
		at := now()
		l.holder.Want(at, slot)
		held, holds := l.holder.Holds(at, slot)
		holds = holds && (held.Open || !burst)
		hopeless := l.holder.Elsewhere(slot) != "" || l.holder.Failing()
		changed := l.changed
		l.mu.Unlock()
		if holds || hopeless {
			return
		}
		l.wakeUp()
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-l.p.done:
			return
		}
	}
}

func (l *limits) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run carries out the holder's steps until the daemon takes no new work any more, and gives
// all slots back then.
func (l *limits) run() {
	if !l.inForce {
		return
	}
	for !l.p.closing() {
		l.leaveOthers()
		l.wantAll()
		l.mu.Lock()
		step := l.holder.Next(now())
		l.mu.Unlock()
		if step.Kind == quota.Pause {
			l.pause(step.Wait)
			continue
		}
		err := l.carryOut(step)
		l.p.dependency("slots of teams", err)
	}
	l.mu.Lock()
	lease := l.holder.Close()
	l.mu.Unlock()
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := l.p.client.End(ctx, lease); err != nil {
			l.p.log.Warn("slots of teams stay until their lease ends", "error", err.Error())
		}
	}
}

// pause waits, but not for so long that unused slots stay.
func (l *limits) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-l.p.closed:
	}
}

// wantAll has all slots that are this daemon's by the present list taken once one of them is
// wanted: after a start its callers come one after the other within half a second, and each
// new team among them would be a call to the store.
func (l *limits) wantAll() {
	l.mu.Lock()
	wishes := l.holder.Wishes()
	l.mu.Unlock()
	if !wishes {
		return
	}
	mine := l.mine()
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now()
	for slot := range mine {
		l.holder.Want(at, slot)
	}
}

// mine are the slots that this daemon is the one to hold as far as it knows.
func (l *limits) mine() map[quota.Slot]bool {
	mine := make(map[quota.Slot]bool)
	catalog := l.p.catalog.Load()
	if catalog == nil || catalog.Teams == nil {
		return mine
	}
	for _, id := range catalog.Teams.IDs() {
		if l.p.homes.firstAnywhere(id) {
			mine[quota.SlotOf(id)] = true
		}
	}
	return mine
}

// leaveOthers gives back the slots that are another daemon's by the present list: a home's
// once nobody has asked for them here for a while, as entries follow the holder wherever it
// is; those of a daemon that stepped in while no home could be asked, soon.
func (l *limits) leaveOthers() {
	l.mu.Lock()
	held := l.holder.Held()
	l.mu.Unlock()
	if len(held) == 0 {
		return
	}
	mine, home, at := l.mine(), l.p.homes.anywhere(), now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shutCalm(at, held)
	for _, s := range held {
		unused := at.Sub(s.UsedAt) >= unusedSlot
		if !mine[s.Slot] && (unused || !home && at.Sub(s.Since) >= stepInFor) {
			l.holder.Leave(s.Slot)
		}
	}
}

// shutCalm has the store told of the slots whose teams have used no burst for a window: a
// process that starts in this one's place then has their bursts for the callers that come
// back all at once. The lock is held.
func (l *limits) shutCalm(at core.Time, held []quota.Holding) {
	busy := make(map[quota.Slot]bool)
	bySlot := make(map[quota.Slot]quota.Holding, len(held))
	for _, s := range held {
		bySlot[s.Slot] = s
		busy[s.Slot] = !s.Open || at.Sub(s.Since) < l.rule.Window+quota.PaidFor
	}
	for id, c := range l.counts {
		slot := quota.SlotOf(id)
		if s, ok := bySlot[slot]; ok && !busy[slot] && !c.Calm(at, s, l.rule) {
			busy[slot] = true
		}
	}
	for _, s := range held {
		if !busy[s.Slot] {
			l.holder.WantShut(s.Slot)
		}
	}
}

// carryOut makes the call of a step and reports its outcome.
func (l *limits) carryOut(step quota.Step) error {
	ctx, cancel := context.WithTimeout(l.p.ctx, storeTimeout)
	defer cancel()
	sent := now()
	report, err := l.call(ctx, step, sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && (step.Kind == quota.Open || step.Kind == quota.Shut):
		l.holder.FlagFailed(now(), step.Slots)
		return err
	case err != nil:
		l.holder.Failed(now())
		return err
	}
	report(l.holder)
	if step.Kind == quota.List || step.Kind == quota.Take || step.Kind == quota.Open {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return nil
}

// call makes the call of a step, and returns what the holder is to be told.
func (l *limits) call(ctx context.Context, step quota.Step, sent core.Time) (report func(h *quota.Holder), err error) {
	switch step.Kind {
	case quota.Grant:
		lease, err := l.p.client.Grant(ctx, quota.LeaseFor)
		return func(h *quota.Holder) { h.Granted(sent, lease, quota.LeaseFor) }, err
	case quota.Renew:
		err := l.p.client.Renew(ctx, step.Lease)
		if errors.Is(err, platform.ErrNotFound) {
			return (*quota.Holder).LeaseGone, nil
		}
		return func(h *quota.Holder) { h.Renewed(sent, quota.LeaseFor) }, err
	case quota.List:
		items, _, err := l.p.client.List(ctx, platform.LimitsPrefix)
		return func(h *quota.Holder) { h.Listed(sent, l.owners(items)) }, err
	case quota.Take:
		return l.take(ctx, step)
	case quota.Open, quota.Shut:
		return l.flag(ctx, step)
	}
	return l.release(ctx, step)
}

// slotEntry is what a daemon writes of a slot into the store.
type slotEntry struct {
	Daemon core.DaemonID `json:"daemon"`
	Boot   int64         `json:"boot"`
	// Calm says that no team of the slot has used its burst for a window.
	Calm bool `json:"calm,omitempty"`
}

func slotKey(slot quota.Slot) string {
	return platform.LimitsPrefix + strconv.FormatUint(uint64(slot), 10)
}

func conditionsOf(step quota.Step) (list []platform.Condition) {
	for slot, revision := range step.Slots {
		list = append(list, platform.Condition{Key: slotKey(slot), Revision: platform.Revision(revision)})
	}
	return list
}

func (l *limits) take(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	revision, err := l.write(ctx, step, slotEntry{Daemon: l.p.settings.Daemon, Boot: l.p.boot})
	switch {
	case errors.Is(err, platform.ErrConflict):
		return func(h *quota.Holder) { h.Conflict(now()) }, nil
	case errors.Is(err, platform.ErrNotFound):
		return (*quota.Holder).LeaseGone, nil
	case err != nil:
		return nil, err
	}
	l.p.log.Info("slots of teams taken", "slots", len(step.Slots))
	return func(h *quota.Holder) { h.Taken(now(), step.Slots, uint64(revision)) }, nil
}

// write writes the entry of all slots of the step.
func (l *limits) write(ctx context.Context, step quota.Step, e slotEntry) (platform.Revision, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	var writes []platform.Write
	for slot := range step.Slots {
		writes = append(writes, platform.Write{Key: slotKey(slot), Value: value, Lease: step.Lease})
	}
	return l.p.client.Put(ctx, conditionsOf(step), writes)
}

// flag tells the store of the use of bursts, or of the contrary.
func (l *limits) flag(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	open := step.Kind == quota.Open
	revision, err := l.write(ctx, step, slotEntry{Daemon: l.p.settings.Daemon, Boot: l.p.boot, Calm: !open})
	switch {
	case errors.Is(err, platform.ErrConflict):
		return func(h *quota.Holder) { h.FlagFailed(now(), step.Slots) }, nil
	case errors.Is(err, platform.ErrNotFound):
		return (*quota.Holder).LeaseGone, nil
	case err != nil:
		return nil, err
	}
	return func(h *quota.Holder) { h.Flagged(step.Slots, uint64(revision), open) }, nil
}

func (l *limits) release(ctx context.Context, step quota.Step) (report func(h *quota.Holder), err error) {
	err = l.p.client.Remove(ctx, conditionsOf(step))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, err
	}
	return func(h *quota.Holder) { h.Released(step.Slots) }, nil
}

// owners decodes the list of slots. An entry that cannot be read is somebody's who is not
// known: nobody takes the slot before its lease has ended.
func (l *limits) owners(items []platform.Item) map[quota.Slot]quota.Owner {
	owners := make(map[quota.Slot]quota.Owner, len(items))
	for _, item := range items {
		n, err := strconv.ParseUint(strings.TrimPrefix(item.Key, platform.LimitsPrefix), 10, 16)
		if err != nil {
			l.p.log.Warn("key of a slot cannot be read", "key", item.Key)
			continue
		}
		var e slotEntry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			l.p.log.Warn("entry of a slot cannot be read", "key", item.Key, "error", err.Error())
		}
		owners[quota.Slot(n)] = quota.Owner{Daemon: e.Daemon, Boot: e.Boot, Lease: item.Lease, Revision: uint64(item.Revision), Open: !e.Calm}
	}
	return owners
}

// payFor pays for the operation of a job before it waits for a member, and again right before
// it is sent if it has waited. false: it is refused; why it is, is kept for its answer.
func (s *session) payFor(j *job) bool {
	if !s.p.limits.inForce || j.paidAt != 0 && now().Sub(j.paidAt) < quota.PaidFor {
		return true
	}
	team, v := s.p.access.check(s.database, s.key)
	if v != auth.Granted {
		// Whoever sends the statement finds out, and says so.
		return true
	}
	// A daemon that is no home runs only what entries send it that can ask no home. What its
	// own callers ask after a cut, in which it could ask nobody, is for the homes: slots would
	// move to all daemons that were cut off, and back again.
	wants := s.linked || s.p.homes.anywhere()
	s.receipt = s.p.limits.pay(team, wants)
	if s.receipt.waits() && j.paidAt == 0 && wants {
		s.p.limits.await(team, s.receipt.result == burstUntold, min(j.holdUntil(), j.arrived.Add(slotWait)))
		s.receipt = s.p.limits.pay(team, wants)
	}
	if s.receipt.result != paid {
		return false
	}
	j.paidAt = now()
	return true
}

// passOnUnpaid says whether a caller's own entry, which is a home as well, is to pass a
// statement on to the daemon that counts the team's operations.
func (s *session) passOnUnpaid() bool {
	if s.linked || s.receipt.owner == "" {
		return false
	}
	s.p.homes.countedAt(s.p.access.team(s.key), s.receipt.owner)
	return true
}

// refuseUnpaid refuses an operation of which nothing was sent. Where another daemon counts
// the team's operations, the entry looks for it.
func (s *session) refuseUnpaid(j *job) {
	s.p.stats.unpaid.Add([...]string{"", "over the limit", "counted elsewhere", "burst not opened"}[s.receipt.result], 1)
	s.debug("refused", "id", j.id, "reason", s.receipt.String(), "key", s.key.String(), "team", s.p.access.team(s.key), "come_back_ms", s.receipt.comeBack.Milliseconds())
	if s.receipt.result == countedElsewhere {
		s.sendElsewhere()
	}
	s.answerError(platform.CodeBusy, fmt.Sprintf("not run: %v; retry after %d ms", s.receipt, s.receipt.comeBack.Milliseconds()))
}
