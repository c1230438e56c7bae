package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program that was started and what it printed.
type process struct {
	name           string
	cmd            *exec.Cmd
	stdout, stderr output
	// exited is closed when the process has ended.
	exited chan struct{}
}

// output collects what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// start runs a program in a process of its own.
func start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// signal sends a signal to this process only.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, also while it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// exitCode is that of an ended process, -1 when a signal ended it.
func (p *process) exitCode() int { return p.cmd.ProcessState.ExitCode() }

// line waits for a JSON line with the text in an output and decodes it.
func (p *process) line(ctx context.Context, from *output, text string, into any) error {
	return poll(ctx, func() error {
		for line := range strings.Lines(from.String()) {
			if strings.Contains(line, text) && strings.HasSuffix(line, "\n") {
				return json.Unmarshal([]byte(line), into)
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended before it printed %s: %s", p.name, text, p.stderr.String())
		default:
			return fmt.Errorf("%s has not printed %s", p.name, text)
		}
	})
}

// poll tries until that succeeds or ctx ends.
func poll(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// logTail is how much of a log is shown when a spec fails.
const logTail = 6000

// show prints the end of the log.
func (p *process) show(w io.Writer) {
	text := p.stderr.String()
	fmt.Fprintf(w, "--- %s\n%s\n", p.name, text[max(0, len(text)-logTail):])
}
