// Package hostlist reads the platform's list of live and leaving hosts from the
// store. The list lags behind: a host may already be gone when it is listed as
// leaving.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"limpetspan/core"
	"limpetspan/pkg/store"
)

// Prefix is the key prefix of the list, which has one key for each address.
const Prefix = "/platform/hosts/"

// State is the state of a host according to the platform.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one host of the list.
type Host struct {
	Addr  string    `json:"addr"`
	Zone  core.Zone `json:"zone"`
	State State     `json:"state"`
}

// List is the host list at one store revision.
type List struct {
	Revision store.Revision
	// Hosts are the hosts by address.
	Hosts map[string]Host
}

// Change is one change of the list.
type Change struct {
	Revision store.Revision
	Addr     string
	// Host is nil if the host was removed from the list.
	Host *Host
}

// Read returns the current list. Malformed entries are left out and reported
// together in a *MalformedError that is returned with the list, so that one
// malformed entry does not hide the others.
func Read(ctx context.Context, s store.Store) (List, error) {
	keys, revision, err := s.List(ctx, Prefix)
	if err != nil {
		return List{}, fmt.Errorf("read host list: %w", err)
	}
	list := List{Revision: revision, Hosts: make(map[string]Host, len(keys))}
	var malformed []string
	for _, kv := range keys {
		host, err := parseHost(kv)
		if err != nil {
			malformed = append(malformed, kv.Key)
			continue
		}
		list.Hosts[host.Addr] = host
	}
	if len(malformed) > 0 {
		return list, &MalformedError{Keys: malformed}
	}
	return list, nil
}

// Watch delivers the changes after the revision until the watch fails or ctx is
// done. It skips malformed entries.
func Watch(ctx context.Context, s store.Store, after store.Revision) (<-chan Change, error) {
	events, err := s.Watch(ctx, Prefix, after)
	if err != nil {
		return nil, fmt.Errorf("watch host list: %w", err)
	}
	changes := make(chan Change)
	go func() {
		defer close(changes)
		for ev := range events {
			change, ok := parseChange(ev)
			if !ok {
				continue
			}
			select {
			case changes <- change:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes, nil
}

// MalformedError lists the keys of the entries that could not be decoded.
type MalformedError struct{ Keys []string }

func (e *MalformedError) Error() string {
	return "malformed entries in the host list: " + strings.Join(e.Keys, ", ")
}

func parseChange(ev store.Event) (Change, bool) {
	change := Change{Revision: ev.ModRevision, Addr: strings.TrimPrefix(ev.Key, Prefix)}
	if ev.Deleted {
		return change, true
	}
	host, err := parseHost(ev.KeyValue)
	change.Host = &host
	return change, err == nil
}

// parseHost takes the address from the key, because the platform guarantees
// that keys are unique.
func parseHost(kv store.KeyValue) (Host, error) {
	var h Host
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return Host{}, err
	}
	if h.State != StateLive && h.State != StateLeaving {
		return Host{}, fmt.Errorf("unknown state %q", h.State)
	}
	h.Addr = strings.TrimPrefix(kv.Key, Prefix)
	return h, nil
}
