package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/core/trace"
	"limpetspan/pkg/settings"
)

const (
	// recordQueue is how many lines wait for a slow receiver.
	recordQueue = 16384
	// recordDialTimeout bounds connecting to the receiver.
	recordDialTimeout = 5 * time.Second
	// recordFlush is how often lines are sent at the latest.
	recordFlush = 200 * time.Millisecond
)

// recorder sends the reducers' events and effects as JSON lines to a stream.
// Each line stands between its group's id and a tab, so that the traces of
// several groups can be told apart. It never waits for the receiver: lines
// that do not fit are dropped, and the trace of their group ends with them,
// because a trace with a gap does not replay.
type recorder struct {
	self   core.DaemonID
	tuning func() group.Tuning
	out    io.Writer
	lines  chan []byte
	// groups is touched only by the shards under their own locks, each its own.
	groups  *recordedGroups
	dropped atomic.Int64
}

func (d *Daemon) openRecorder() error {
	switch to := d.settings.Record.Target; to {
	case settings.RecordNone, "":
		return nil
	case settings.RecordStdout:
		d.newRecorder(d.options.Stdout)
	default:
		conn, err := net.DialTimeout("tcp", to, recordDialTimeout)
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}
		d.onClose(func() { _ = conn.Close() })
		d.newRecorder(conn)
	}
	return nil
}

func (d *Daemon) newRecorder(out io.Writer) {
	d.recorder = &recorder{self: d.id, tuning: d.tuning, out: out, lines: make(chan []byte, recordQueue), groups: newRecordedGroups()}
}

// Record implements home.Recorder.
func (r *recorder) Record(id core.GroupID, now core.Time, ev group.Event, effects []group.Effect) {
	state := r.groups.get(id)
	if state.broken {
		return
	}
	if !state.begun {
		state.begun = true
		header, err := trace.EncodeHeader(trace.Header{Group: id, Self: r.self, Tuning: r.tuning()})
		r.send(id, state, header, err)
	}
	line, err := trace.EncodeStep(now, ev, effects)
	r.send(id, state, line, err)
}

func (r *recorder) send(id core.GroupID, state *recordedGroup, line []byte, err error) {
	if err == nil && !state.broken {
		select {
		case r.lines <- append(append([]byte(id), '\t'), append(line, '\n')...):
			return
		default:
		}
	}
	state.broken = true
	r.dropped.Add(1)
}

// run writes the lines until ctx ends.
func (r *recorder) run(ctx context.Context) error {
	if r == nil {
		return nil
	}
	out := bufio.NewWriter(r.out)
	ticker := time.NewTicker(recordFlush)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			if _, err := out.Write(line); err != nil {
				return nil
			}
		case <-ticker.C:
			if out.Flush() != nil {
				// Nobody listens any more; that stops no daemon.
				return nil
			}
		case <-ctx.Done():
			return r.drain(out)
		}
	}
}

func (r *recorder) drain(out *bufio.Writer) error {
	for {
		select {
		case line := <-r.lines:
			if _, err := out.Write(line); err != nil {
				return nil
			}
		default:
			_ = out.Flush()
			return nil
		}
	}
}
