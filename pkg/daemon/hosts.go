package daemon

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"limpetspan/core/config"
	"limpetspan/pkg/hostlist"
)

const (
	// hostsRecheck is how often a daemon asks whether it is to watch the list.
	hostsRecheck = time.Second
	// hostsRetry is the pause after a failure of the store.
	hostsRetry = 2 * time.Second
)

// followHosts watches the platform's host list, in the few daemons that watch
// the store, and tells the fleet which target hosts are leaving.
func (d *Daemon) followHosts(ctx context.Context) error {
	for {
		pause := hostsRecheck
		if d.gossip.IsWatcher() {
			if err := d.watchHosts(ctx); err != nil && ctx.Err() == nil {
				d.log.Warn("host list not read", "step", "daemon.hosts", "error", err)
				pause = hostsRetry
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// watchHosts follows the list until the watch breaks.
func (d *Daemon) watchHosts(ctx context.Context) error {
	list, err := hostlist.Read(ctx, d.store)
	var malformed *hostlist.MalformedError
	if errors.As(err, &malformed) {
		d.log.Warn("host list has malformed entries", "step", "daemon.hosts", "error", err)
	} else if err != nil {
		return err
	}
	for addr, host := range list.Hosts {
		d.noteHost(addr, host.State == hostlist.StateLeaving)
	}
	changes, err := hostlist.Watch(ctx, d.store, list.Revision)
	if err != nil {
		return err
	}
	for change := range changes {
		if change.Host != nil {
			d.noteHost(change.Addr, change.Host.State == hostlist.StateLeaving)
		}
	}
	return nil
}

// noteHost spreads what differs from what the fleet knows, so that a watcher
// that has just started also takes back what an earlier one announced.
func (d *Daemon) noteHost(addr string, leaving bool) {
	if d.gossip.TargetLeaving(addr) == leaving {
		return
	}
	d.gossip.AnnounceLeaving(addr, leaving)
	d.log.Info("host list changed", "step", "daemon.hosts", "peer", addr, "leaving", leaving)
}

// gossipHosts returns the addresses of the list that may be daemons, to find
// the fleet when no seed answers: the live ones that are no targets. Hosts of
// the system are listed with their gossip addresses.
func (d *Daemon) gossipHosts(ctx context.Context) ([]netip.AddrPort, error) {
	list, err := hostlist.Read(ctx, d.store)
	var malformed *hostlist.MalformedError
	if err != nil && !errors.As(err, &malformed) {
		return nil, err
	}
	targets := targetAddrs(d.follower.Current())
	var addrs []netip.AddrPort
	for addr, host := range list.Hosts {
		a, err := netip.ParseAddrPort(addr)
		if err == nil && host.State == hostlist.StateLive && !targets[addr] {
			addrs = append(addrs, a)
		}
	}
	return addrs, nil
}

func targetAddrs(doc *config.Document) map[string]bool {
	addrs := make(map[string]bool)
	for _, g := range doc.Groups {
		for _, m := range g.Members {
			addrs[m.Addr] = true
		}
	}
	return addrs
}
