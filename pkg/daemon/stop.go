package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// leaveTime is the time for the announcement of leaving to reach other
	// daemons before this one ends.
	leaveTime = time.Second
	// peerStopTimeout bounds the wait for other daemons' last requests.
	peerStopTimeout = 2 * time.Second
)

// stop is the planned stop: the fleet is told, callers that are idle are
// closed, what runs ends, and the homes are handed over. It is bounded by
// drain_timeout.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	began := time.Now()
	d.log.Info("planned stop begins", "step", "daemon.stop", "timeout", d.settings.Tuning.DrainTimeout.String())
	d.gossip.Leave()
	time.Sleep(d.settings.Tuning.DrainGracePeriod)

	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Tuning.DrainTimeout)
	defer cancel()
	var parts errgroup.Group
	parts.Go(func() error { return d.stopPart("callers", func() error { return d.front.Shutdown(ctx) }) })
	parts.Go(func() error { return d.stopPart("homes", func() error { return d.homes.Drain(ctx) }) })
	_ = parts.Wait()

	last, cancelLast := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancelLast()
	_ = d.stopPart("peers", func() error { return d.peerServer.Shutdown(last) })
	time.Sleep(time.Until(began.Add(leaveTime)))
	d.log.Info("planned stop is over", "step", "daemon.stop", "took", time.Since(began).String())
}

// stopPart logs what could not end in time; the stop goes on.
func (d *Daemon) stopPart(name string, stop func() error) error {
	err := stop()
	if err != nil {
		d.log.Warn("not all work ended in time", "step", "daemon.stop", "part", name, "error", err)
	}
	return err
}
