package proxy

import (
	"io"
	"sync"
	"time"

	"limpetspan/core"
)

// Limits of the log.
const (
	// logQueue is how many lines wait for a slow reader of the output; further
	// ones are dropped and counted.
	maxQueuedLogLines = 512
	// decisionsPerSecond bounds the lines on single requests.
	maxDecisionsPerSecond = 40
)

// asyncWriter passes lines on without ever blocking the writer.
type asyncWriter struct {
	lines chan []byte
	stats *stats
}

func newAsyncWriter(w io.Writer, st *stats) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLogLines), stats: st}
	go func() {
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				st.logLinesDropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.stats.logLinesDropped.Add(1)
	}
	return len(line), nil
}

// limiter lets through so many lines a second.
type decisionLimiter struct {
	mu          sync.Mutex
	windowStart core.Time
	count       int
}

func (l *decisionLimiter) allow() bool {
	at := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.count = at, 0
	}
	l.count++
	return l.count <= maxDecisionsPerSecond
}

// decision logs what was decided about one request.
func (p *Proxy) logDecision(decision string, args ...any) {
	if !p.limiter.allow() {
		p.stats.logLinesDropped.Add(1)
		return
	}
	p.log.Info("request", append([]any{"decision", decision}, args...)...)
}

// dependency logs when a dependency is lost or regained.
func (p *Proxy) reportDependency(name string, err error) {
	p.depMu.Lock()
	lost := p.lostDependencies[name]
	p.lostDependencies[name] = err != nil
	p.depMu.Unlock()
	switch {
	case err != nil && !lost:
		p.log.Warn("dependency lost", "dependency", name, "error", err.Error())
	case err == nil && lost:
		p.log.Info("dependency regained", "dependency", name)
	}
}
