package store

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// HostPrefix is where the platform lists its hosts, one key for each address.
const HostPrefix = "/platform/hosts/"

// HostState is what the platform says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Addr  string    `json:"addr"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// HostList writes the platform's host list into an engine, late by a lag.
type HostList struct {
	engine *Engine
	mu     sync.Mutex
	lag    time.Duration
}

// NewHostList returns a host list without lag.
func NewHostList(e *Engine) *HostList { return &HostList{engine: e} }

// SetLag sets how late the following changes appear.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// Set adds or changes a host.
func (h *HostList) Set(host Host) error {
	if host.Addr == "" || host.State != HostLive && host.State != HostLeaving {
		return fmt.Errorf("a host needs an addr and a state of %q or %q", HostLive, HostLeaving)
	}
	value, err := json.Marshal(host)
	if err != nil {
		return err
	}
	// A put without a lease and within the size cannot fail.
	h.later(func() { _, _ = h.engine.Put(Put{Key: HostPrefix + host.Addr, Value: value}) })
	return nil
}

// Remove takes a host off the list.
func (h *HostList) Remove(addr string) {
	h.later(func() { _, _, _ = h.engine.Delete(KeyRange{Key: HostPrefix + addr}) })
}

func (h *HostList) later(f func()) {
	h.mu.Lock()
	lag := h.lag
	h.mu.Unlock()
	if lag <= 0 {
		f()
		return
	}
	h.engine.clock.AfterFunc(lag, f)
}
