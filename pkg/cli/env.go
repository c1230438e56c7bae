package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"limpetspan/pkg/store"
)

// Env is what a subcommand works with. Results go to Stdout, progress and
// messages to Stderr.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// JSON asks for JSON lines or one JSON value on Stdout.
	JSON bool
	// Prefix is the prefix of the fleet's keys in the store.
	Prefix string
	// Endpoints are the store's URLs, Daemons the operator addresses given.
	Endpoints []string
	Daemons   []string
	// HTTP asks daemons at their operator addresses.
	HTTP *http.Client
	// OpenStore connects to the store; tests put a fake here.
	OpenStore func(endpoints []string) (store.Store, error)
	// Now is the wall clock, for the times in the history.
	Now func() time.Time
}

// requestTimeout bounds one call to a daemon's operator address.
const requestTimeout = 3 * time.Second

// SystemEnv is the environment of the operating system's process.
func SystemEnv() *Env {
	return &Env{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		HTTP:      &http.Client{Timeout: requestTimeout},
		OpenStore: openStore,
		Now:       time.Now,
	}
}

// Store opens the store named by --store or LIMPETSPAN_STORE.
func (e *Env) Store() (store.Store, error) {
	if len(e.Endpoints) == 0 {
		return nil, Usagef("no store: give --store URL or set LIMPETSPAN_STORE")
	}
	return e.OpenStore(e.Endpoints)
}

// WriteJSON prints one JSON value on a line of its own.
func (e *Env) WriteJSON(v any) error {
	return json.NewEncoder(e.Stdout).Encode(v)
}

// splitLists splits each item at its commas and drops empty parts.
func splitLists(items []string) []string {
	var parts []string
	for _, item := range items {
		for part := range strings.SplitSeq(item, ",") {
			if part = strings.TrimSpace(part); part != "" {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ")
}
