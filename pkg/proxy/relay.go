package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/relay"
	"limpetspan/pkg/proxy/reportpb"
)

// relaySource is a link to a daemon that is asked for the configuration.
type relaySource struct {
	relay core.DaemonID
	c     net.Conn
	r     *bufio.Reader
	// forget ends the watch for the end of the process.
	forget func() bool
}

func (s *relaySource) close() {
	s.forget()
	_ = s.c.Close()
}

// errUnknownConfiguration is told by a daemon that has just started, or stops.
var errUnknownConfiguration = errors.New("the daemon has no configuration to tell")

// ask asks a relay, over the link to it if there is one already.
func (c *configuration) ask(step relay.Step) {
	a, err := c.question(step)
	c.p.dependency("configuration relay", err)
	if err != nil {
		c.leaveSource()
		c.learn(func(f *relay.Follower) { f.Silent(now(), step.Peer) })
		return
	}
	c.p.peers.compare(a.daemons)
	c.learn(func(f *relay.Follower) { f.Told(now(), step.Peer, a.proof) })
}

// relayAnswer is what a daemon that was asked knows beside the configuration: its proof,
// on this daemon's clock, and a digest of its list of daemons.
type relayAnswer struct {
	proof   core.Time
	daemons uint64
}

// question asks, accepts the configuration that is told, and returns the proof on this
// daemon's clock: the relay's is relative to the arrival of the question, which came
// after it was sent.
func (c *configuration) question(step relay.Step) (relayAnswer, error) {
	deadline := time.Now().Add(step.Timeout)
	if err := c.reach(step.Peer, deadline); err != nil {
		return relayAnswer{}, err
	}
	_ = c.source.c.SetDeadline(deadline)
	return c.source.exchange(c, step.Wait)
}

// exchange sends one question and accepts the configuration in the answer.
func (s *relaySource) exchange(c *configuration, wait time.Duration) (relayAnswer, error) {
	sent := now()
	if _, err := protodelim.MarshalTo(s.c, &reportpb.Question{Version: c.version(), WaitMs: uint64(wait / time.Millisecond)}); err != nil {
		return relayAnswer{}, err
	}
	var a reportpb.Answer
	if err := protodelim.UnmarshalFrom(s.r, &a); err != nil {
		return relayAnswer{}, err
	}
	if a.Unknown {
		return relayAnswer{}, errUnknownConfiguration
	}
	if len(a.Configuration) > 0 {
		c.accept(a.Configuration)
	}
	return relayAnswer{proofFrom(sent, now(), a.ProofNs), a.Daemons}, nil
}

// catchUp fetches the configuration from the daemon at the address, which has a higher
// version. Entry and home of a session learn of a change at different moments, at times a
// second apart; a session for a database that is new has to be served all the same.
func (c *configuration) catchUp(addr string, version uint64) {
	if version <= c.version() {
		return
	}
	c.catchingUp.Lock()
	defer c.catchingUp.Unlock()
	if version <= c.version() || now() < c.nextCatchUp {
		return
	}
	err := c.fetch(addr)
	if c.version() < version {
		c.nextCatchUp = now().Add(catchUpRetry)
	}
	c.p.log.Info("configuration", "fetched_from", addr, "wanted", version, "has", c.version(), "error", errorText(err))
}

// askForNews fetches a newer configuration from the daemon that this one follows. Sessions
// that come at the same time share the question, and newsEvery bounds how often it is
// asked: keys that somebody guesses must not become load on others. A daemon that watches
// the store hears of a change within milliseconds, and has nobody to ask.
func (c *configuration) askForNews() {
	_, _, _ = c.newsAsked.Do("", func() (any, error) {
		at := now()
		c.mu.Lock()
		source, ok := c.follower.Source()
		c.mu.Unlock()
		if !ok || at < core.Time(c.nextNews.Load()) {
			return nil, nil
		}
		c.nextNews.Store(int64(at.Add(newsEvery)))
		addr, ok := c.p.peers.homeAddr(source)
		if !ok {
			return nil, nil
		}
		if err := c.fetch(addr); err != nil {
			c.p.log.Info("configuration", "news_from", source, "error", err.Error())
		}
		return nil, nil
	})
}

// fetch asks the daemon at the address once, and accepts its configuration.
func (c *configuration) fetch(addr string) error {
	deadline := time.Now().Add(catchUpTimeout)
	source, err := c.open(addr, deadline)
	if err != nil {
		return err
	}
	defer source.close()
	_, err = source.exchange(c, 0)
	return err
}

// proofFrom dates an answer. One that claims to know the future is not to be believed.
func proofFrom(sent, came core.Time, offset int64) core.Time {
	return min(came, sent.Add(time.Duration(offset)))
}

// reach opens a link to the relay unless there is one.
func (c *configuration) reach(id core.DaemonID, deadline time.Time) error {
	if c.source != nil && c.source.relay == id {
		return nil
	}
	c.leaveSource()
	addr, ok := c.p.peers.homeAddr(id)
	if !ok {
		return errNoHome
	}
	source, err := c.open(addr, deadline)
	if err == nil {
		source.relay = id
		c.source = source
	}
	return err
}

// open opens a link for questions. The end of the process ends it: an answer may take
// seconds, and a stop that waited for one would be killed at the end of its grace time.
func (c *configuration) open(addr string, deadline time.Time) (*relaySource, error) {
	conn, err := net.DialTimeout("tcp", addr, min(homeDialTimeout, time.Until(deadline)))
	if err != nil {
		return nil, err
	}
	source := &relaySource{c: conn, r: bufio.NewReader(conn)}
	source.forget = context.AfterFunc(c.p.ctx, func() { _ = conn.Close() })
	_ = conn.SetDeadline(deadline)
	if _, err := protodelim.MarshalTo(conn, &reportpb.Hello{Entry: string(c.p.settings.Daemon), Configuration: true}); err != nil {
		source.close()
		return nil, err
	}
	return source, nil
}

func (c *configuration) leaveSource() {
	if c.source != nil {
		c.source.close()
		c.source = nil
	}
}

// answer answers another daemon's questions until the link ends or this process stops:
// its followers have to find another relay while they still have time.
func (c *configuration) answer(conn net.Conn, r *bufio.Reader) {
	defer conn.Close()
	told := core.Time(0)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(relayIdle))
		var q reportpb.Question
		if err := protodelim.UnmarshalFrom(r, &q); err != nil {
			return
		}
		arrived := now()
		proof := c.youngerThan(told, time.Duration(min(q.WaitMs, uint64(relayIdle/time.Millisecond)))*time.Millisecond)
		a := &reportpb.Answer{Unknown: proof == 0 || c.p.stopping.Load(), ProofNs: int64(proof.Sub(arrived)), Daemons: c.p.peers.digest()}
		// The document is read after the proof: it is as new as the proof says, or newer.
		if d := c.document.Load(); d != nil && d.version > q.Version {
			a.Configuration = d.value
		}
		_ = conn.SetWriteDeadline(time.Now().Add(relayIdle))
		if _, err := protodelim.MarshalTo(conn, a); err != nil || a.Unknown {
			return
		}
		told = proof
	}
}

// youngerThan returns a proof that is younger than the one told before, or the old one
// if none has come within the wait.
func (c *configuration) youngerThan(told core.Time, wait time.Duration) core.Time {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		proof, advanced := c.proof()
		if proof > told || c.p.stopping.Load() {
			return proof
		}
		select {
		case <-advanced:
		case <-c.p.done:
			return proof
		case <-timer.C:
			return proof
		}
	}
}
