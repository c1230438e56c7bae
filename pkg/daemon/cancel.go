package daemon

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/front"
	"limpetspan/pkg/peer/peerpb"
)

const (
	// maxForwardedCancels bounds the cancel keys passed on at a time. Anybody
	// may send keys, so without a bound they could keep the fleet busy.
	maxForwardedCancels = 16
	cancelTimeout       = time.Second
)

// cancelElsewhere passes a cancel key on to the daemons whose tag it bears: a
// balancer sends a caller's cancel request to any daemon.
func (d *Daemon) cancelElsewhere(pid, secret uint32) {
	select {
	case d.cancels <- struct{}{}:
	default:
		d.log.Debug("cancel key dropped, too many at once", "step", "daemon.cancel")
		return
	}
	go func() {
		defer func() { <-d.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		call := &peerpb.Call{Call: &peerpb.Call_KeyCancel{KeyCancel: &peerpb.KeyCancel{ProcessId: pid, Secret: secret}}}
		for _, other := range d.tagged(front.TagOf(pid)) {
			if _, err := d.peers.call(ctx, other.ID, call); err != nil {
				d.log.Debug("cancel key not delivered", "step", "daemon.cancel", "peer", string(other.ID), "error", err)
			}
		}
	}()
}

// tagged are the other daemons with the tag; seldom more than one.
func (d *Daemon) tagged(tag uint16) []fleet.Daemon {
	var list []fleet.Daemon
	for _, other := range d.gossip.Daemons() {
		if other.ID != d.id && front.KeyTag(core.DaemonID(other.ID)) == tag {
			list = append(list, other)
		}
	}
	return list
}
