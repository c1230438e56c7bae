package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyDuration is how long the store keeps the history of changes, as in a small deployment.
const historyDuration = 20 * time.Second

// Limits of a page of a range, as in PROTOCOL.md.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is one key of the store, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// event is a change with the time at which it was made.
type event struct {
	item
	at time.Time
}

// contents is what the store holds.
type contents struct {
	revision, oldest uint64
	items            map[string]item
	events           []event
	leases           map[uint64]time.Time
}

func (c *contents) clone() contents {
	return contents{c.revision, c.oldest, maps.Clone(c.items), slices.Clone(c.events), maps.Clone(c.leases)}
}

// store is the platform's metadata store. Each daemon reaches it at an address of its own, so that
// the store can turn away single machines.
type store struct {
	mu   sync.Mutex
	cond *sync.Cond
	contents
	era  uint64
	copy contents
	// away is set while the store is away: it resets every connection.
	away   bool
	groups map[string]*group
	rec    *record
}

func newStore(rec *record) *store {
	s := &store{groups: make(map[string]*group), rec: rec}
	s.contents = contents{revision: 100, oldest: 100, items: make(map[string]item), leases: make(map[uint64]time.Time)}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// gate is the store's address for one daemon. While it is refusing, the store answers that
// daemon with 503 and cuts its waiting watches.
type gate struct {
	s        *store
	listener net.Listener
	refusing bool
	// cut is set while a partition lies between the daemon and the store: nothing is answered.
	cut bool
}

func (s *store) newGate() (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{s: s, listener: l}
	mux := http.NewServeMux()
	for path, f := range map[string]http.HandlerFunc{
		"GET /api/kv-key": s.get, "GET /api/kv-range": s.list, "GET /api/kv-watch": g.watch, "POST /api/kv-txn": s.txn,
		"POST /api/kv-lease": s.grant, "POST /api/kv-keep/{id}": s.keep, "DELETE /api/kv-lease-end/{id}": s.endLease,
		"POST /promote": s.promote,
	} {
		mux.HandleFunc(path, g.guard(f))
	}
	go func() { _ = http.Serve(l, mux) }()
	return g, nil
}

func (g *gate) addr() string { return g.listener.Addr().String() }

// setRefusing makes the store turn this daemon away, or serve it again.
func (g *gate) setRefusing(refusing bool) { g.s.update(func() { g.refusing = refusing }) }

// setCut makes a partition between this daemon and the store, or heals it.
func (g *gate) setCut(cut bool) { g.s.update(func() { g.cut = cut }) }

// waitWhileCut holds a call back until its caller gives it up, if there is a partition. It reports
// whether there was one.
func (g *gate) waitWhileCut(r *http.Request) bool {
	g.s.mu.Lock()
	cut := g.cut
	g.s.mu.Unlock()
	if cut {
		<-r.Context().Done()
	}
	return cut
}

// size returns the length of a key's value.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

func (g *gate) guard(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if g.waitWhileCut(r) {
			panic(http.ErrAbortHandler)
		}
		g.s.mu.Lock()
		away, refusing, era := g.s.away, g.refusing, g.s.era
		g.s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if refusing {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f(w, r)
	}
}

// update changes the store and wakes waiting watches.
func (s *store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.cond.Broadcast()
}

// takeCopy takes the copy from which a drill restores the store.
func (s *store) takeCopy() { s.update(func() { s.expire(); s.copy = s.contents.clone() }) }

// setAway makes the store reset every connection.
func (s *store) setAway() { s.update(func() { s.away = true }) }

// comeBack ends the absence: the store is back with the contents of the copy. After the pause the
// operator and the members have written again what is theirs.
func (s *store) comeBack(pause time.Duration) {
	var lost map[string]item
	s.update(func() {
		lost = s.items
		s.contents = s.copy.clone()
		s.era++
		s.away = false
	})
	time.AfterFunc(pause, func() {
		s.update(func() {
			for _, key := range slices.Sorted(maps.Keys(lost)) {
				if isExternal(key) && string(s.items[key].Value) != string(lost[key].Value) {
					s.set(item{Key: key, Value: lost[key].Value})
				}
			}
		})
		s.rec.note("the operator and the members have written again what is theirs")
	})
}

func isExternal(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// put writes a key as the operator or a member does. Its return is the store's acknowledgement.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.update(func() { s.set(item{Key: key, Value: data}) })
	return nil
}

func (s *store) set(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.events = append(s.events, event{i, time.Now()})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, event{item{Key: key, Revision: s.revision, Tombstone: true}, time.Now()})
}

// expire ends leases and drops history that is too old.
func (s *store) expire() {
	at := time.Now()
	for id, end := range s.leases {
		if at.After(end) {
			s.dropLease(id)
		}
	}
	for len(s.events) > 0 && at.Sub(s.events[0].at) > historyDuration {
		s.oldest = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.expire()
	items, size, truncated := []item{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		size += len(s.items[key].Value)
		if len(items) > 0 && (len(items) == maxPageItems || size > maxPageBytes) {
			truncated = true
			break
		}
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

// watch answers as soon as there is an event, or at the end of the wait. It is cut when the store
// turns the daemon away or goes away itself.
func (g *gate) watch(w http.ResponseWriter, r *http.Request) {
	s, q := g.s, r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), s.cond.Broadcast)
	defer timer.Stop()
	stop := contextBroadcast(r, s)
	defer stop()
	s.mu.Lock()
	era := s.era
	for {
		s.expire()
		switch {
		case g.cut && r.Context().Err() == nil:
			s.cond.Wait()
			continue
		case s.away || g.refusing || g.cut || s.era != era || r.Context().Err() != nil:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case after < s.oldest || after > s.revision:
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e.item)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			revision := s.revision
			s.mu.Unlock()
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		s.cond.Wait()
	}
}

// contextBroadcast wakes the watches when the caller of one of them has gone.
func contextBroadcast(r *http.Request, s *store) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-r.Context().Done():
			s.update(func() {})
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		SetKeys []item   `json:"set_keys"`
		Remove  []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.ExpectedRev)+len(body.SetKeys)+len(body.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.cond.Broadcast()
	s.expire()
	for _, e := range body.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, i := range body.SetKeys {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if isExternal(i.Key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, i := range body.SetKeys {
		s.set(i)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := max(body.TTLMS, 1000)
	s.leases[s.revision] = time.Now().Add(time.Duration(ttl) * time.Millisecond)
	s.ttls()[s.revision] = ttl
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl})
}

// leaseTTLs holds the TTL of each lease that was ever granted.
var leaseTTLs = make(map[uint64]int64)

func (s *store) ttls() map[uint64]int64 { return leaseTTLs }

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(time.Duration(s.ttls()[id]) * time.Millisecond)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": s.ttls()[id]})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.update(func() { s.dropLease(id) })
	w.WriteHeader(http.StatusOK)
}

func (s *store) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.groups[body.Service]
	s.mu.Unlock()
	s.rec.note("promote %s by %s, token %s", body.ID, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"))
	if g == nil || !g.promote(body.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}
