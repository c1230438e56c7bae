// Package hostlist reads the platform's list of live and leaving hosts from the
// store. The list lags: a host may be gone before it is listed as leaving.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"limpetspan/core"
	"limpetspan/pkg/store"
)

// Prefix is where the platform keeps the list, one key for each address.
const Prefix = "/platform/hosts/"

// State is what the platform says of a host.
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
	// Hosts by address.
	Hosts map[string]Host
}

// Change is one change of the list.
type Change struct {
	Revision store.Revision
	Addr     string
	// Host is nil when the host was taken off the list.
	Host *Host
}

// Read returns the present list. Entries that cannot be read are left out and
// reported together in a *MalformedError beside the list, so that one bad
// entry does not hide the others.
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

// Watch delivers changes after the revision until the watch breaks or ctx
// ends. A malformed entry is delivered as no change.
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

// MalformedError names the entries that could not be read.
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

// parseHost takes the address from the key, which is what the platform ensures to be unique.
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
