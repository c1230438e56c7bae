package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/cli"
	"limpetspan/pkg/operator"
	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// terminal runs subcommands against a store of its own.
type terminal struct {
	fake *storetest.Fake
	// store replaces the fake's client when set.
	store store.Store
}

func newTerminal() *terminal { return &terminal{fake: storetest.New()} }

// result is what a subcommand left behind.
type result struct {
	code           int
	stdout, stderr string
}

func (t *terminal) run(args ...string) result {
	var stdout, stderr bytes.Buffer
	env := &cli.Env{
		Stdin:  strings.NewReader(""),
		Stdout: &stdout,
		Stderr: &stderr,
		HTTP:   &http.Client{Timeout: 5 * time.Second},
		Now:    func() time.Time { return time.Unix(1_800_000_000, 0) },
		OpenStore: func([]string) (store.Store, error) {
			if t.store != nil {
				return t.store, nil
			}
			return t.fake.Client, nil
		},
	}
	ctx, cancel := storetest.Context()
	defer cancel()
	args = append(args, "--store", "http://store.invalid", "--prefix", "/limpetspan/")
	code := cli.Main(ctx, args, env)
	return result{code, stdout.String(), stderr.String()}
}

// ok runs a subcommand that must succeed and returns its standard output.
func (t *terminal) ok(args ...string) string {
	GinkgoHelper()
	r := t.run(args...)
	Expect(r.code).To(BeZero(), "%v: %s%s", args, r.stdout, r.stderr)
	return r.stdout
}

// fails runs a subcommand that must end with the exit code.
func (t *terminal) fails(code int, args ...string) result {
	GinkgoHelper()
	r := t.run(args...)
	Expect(r.code).To(Equal(code), "%v: %s%s", args, r.stdout, r.stderr)
	return r
}

// createGroup creates a group of members a, b, c whose ports begin at port.
func (t *terminal) createGroup(id string, port int, more ...string) {
	GinkgoHelper()
	args := []string{"group", "create", id, "--database", "park"}
	for i, member := range []string{"a", "b", "c"} {
		args = append(args, "--member", fmt.Sprintf("%s=127.0.0.1:%d@kushiro", member, port+i))
	}
	t.ok(append(args, more...)...)
}

func tempFile(text string) string {
	GinkgoHelper()
	name := filepath.Join(GinkgoT().TempDir(), "fleet.ini")
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// daemon is a daemon's operator address that answers what a test sets.
type daemon struct {
	server *httptest.Server
	mu     sync.Mutex
	status operator.Status
	drains int
}

func newDaemon(status operator.Status) *daemon {
	d := &daemon{status: status}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathStatus, func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		answer := d.status
		if r.URL.RawQuery != operator.FleetQuery {
			answer.Fleet = nil
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
	mux.HandleFunc("POST "+operator.PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.drains++
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("POST "+operator.PathVerify, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(operator.Verification{Kind: r.URL.Query().Get("kind"), Buckets: 4, Equal: 3, Different: []int{2}})
	})
	d.server = httptest.NewServer(mux)
	DeferCleanup(d.server.Close)
	return d
}

func (d *daemon) addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

func (d *daemon) set(change func(*operator.Status)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.status)
}

// swapHook is a store that calls before ahead of the first swap.
type swapHook struct {
	*storetest.Fake
	before func()
	once   sync.Once
}

func (s *swapHook) CompareAndSwap(ctx context.Context, swaps ...store.Swap) (store.SwapResult, error) {
	s.once.Do(s.before)
	return s.Fake.CompareAndSwap(ctx, swaps...)
}
