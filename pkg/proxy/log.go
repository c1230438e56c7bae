package proxy

import (
	"io"
	"sync"
	"time"

	"limpetspan/core"
)

// Limits of the log.
const (
	// maxQueuedLogLines bounds the lines that wait while the output is read slowly. Further lines are
	// dropped and counted.
	maxQueuedLogLines = 512
	// maxDecisionsPerSecond bounds the log lines about single requests.
	maxDecisionsPerSecond = 40
)

// asyncWriter writes log lines in the background, so that logging never blocks.
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

// decisionLimiter limits the log lines about single requests to maxDecisionsPerSecond.
type decisionLimiter struct {
	mu          sync.Mutex
	windowStart core.Time
	count       int
}

// allow counts a line and reports whether it may be written.
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

// logDecision logs a decision about one request. Lines beyond maxDecisionsPerSecond are dropped.
func (p *Proxy) logDecision(decision string, args ...any) {
	if !p.limiter.allow() {
		p.stats.logLinesDropped.Add(1)
		return
	}
	p.log.Info("request", append([]any{"decision", decision}, boundTexts(args)...)...)
}

// maxLoggedText bounds the texts of callers and members in log lines and spans. The id of a statement
// or the text of an error may be as long as a message.
const maxLoggedText = 200

// boundTexts returns the arguments of a log line with bounded texts.
func boundTexts(args []any) []any {
	bounded := make([]any, len(args))
	for i, arg := range args {
		switch v := arg.(type) {
		case string:
			bounded[i] = boundText(v)
		case error:
			bounded[i] = boundText(v.Error())
		default:
			bounded[i] = arg
		}
	}
	return bounded
}

func boundText(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return text[:maxLoggedText] + "..."
}
