package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/pkg/boundedread"
)

// Defaults of Options.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchIdle = 30 * time.Second
)

const (
	dialTimeout = time.Second
	maxAnswer   = 64 << 20
)

// Options configure a Client.
type Options struct {
	// Endpoints are base URLs of the service, such as "http://10.0.0.1:2379".
	Endpoints []string
	// Timeout bounds each call but Watch; zero: DefaultTimeout.
	Timeout time.Duration
	// WatchIdle ends a watch that has heard nothing for this long, so that its
	// consumer begins a new one; zero: DefaultWatchIdle. It prevents that a
	// connection which went silent hides all later changes: such a connection
	// reports no error, and the gateway sends no heartbeat on a watch.
	WatchIdle time.Duration
	// Transport replaces the HTTP transport, for tests and TLS. It should use each connection for one call.
	Transport http.RoundTripper
}

// Client is a Store over the gateway's HTTP. It is safe for concurrent use.
type Client struct {
	endpoints []string
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int32
	timeout   time.Duration
	watchIdle time.Duration
	http      *http.Client
	metrics   *expvar.Map

	mu sync.Mutex
	// compacted holds the prefixes whose last watch ended by compaction.
	compacted map[string]bool
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it makes no call.
func NewClient(o Options) (*Client, error) {
	if len(o.Endpoints) == 0 {
		return nil, errors.New("store: no endpoints")
	}
	c := &Client{timeout: o.Timeout, watchIdle: o.WatchIdle, metrics: new(expvar.Map).Init(), compacted: make(map[string]bool)}
	for _, e := range o.Endpoints {
		c.endpoints = append(c.endpoints, strings.TrimRight(e, "/"))
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.watchIdle == 0 {
		c.watchIdle = DefaultWatchIdle
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	c.http = &http.Client{Transport: o.Transport}
	return c, nil
}

// newTransport returns a transport that uses each connection for one call. A response names no request, so one that
// comes twice on a kept connection would be taken for that to the next call. A kept connection may also have gone
// silent.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: -1,
	}
}

// Metrics returns the counters of calls by kind and of failures by class.
func (c *Client) Metrics() *expvar.Map { return c.metrics }

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// A call is one request to the gateway.
type call struct {
	path string
	// changes: the call has an effect, so that an answer lost on the way
	// leaves it unknown.
	changes bool
}

var (
	callRange     = call{path: "/v3/kv/range"}
	callTxn       = call{path: "/v3/kv/txn", changes: true}
	callGrant     = call{path: "/v3/lease/grant", changes: true}
	callRevoke    = call{path: "/v3/lease/revoke", changes: true}
	callKeepAlive = call{path: "/v3/lease/keepalive", changes: true}
	callWatch     = call{path: "/v3/watch"}
)

func (k call) name() string { return k.path[strings.LastIndexByte(k.path, '/')+1:] }

// do makes one unary call and decodes its answer.
func (c *Client) do(ctx context.Context, k call, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := c.send(ctx, k, req)
	if err != nil {
		return c.failed(k, err)
	}
	defer body.Close()
	data, err := boundedread.All(body, boundedread.UnknownSize, maxAnswer)
	if err == nil {
		err = json.Unmarshal(data, resp)
	}
	if err != nil {
		return c.failed(k, k.lost(err))
	}
	return nil
}

// send tries the endpoints, the preferred one first, and returns the body of
// the first good answer. Another endpoint is tried only when that cannot run
// the call twice: it was not sent, or it changes nothing.
func (c *Client) send(ctx context.Context, k call, req any) (io.ReadCloser, error) {
	payload, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%w: encode %s: %w", ErrRefused, k.name(), err)
	}
	c.metrics.Add("calls_"+k.name(), 1)
	first := int(c.preferred.Load())
	for i := range c.endpoints {
		n := (first + i) % len(c.endpoints)
		var body io.ReadCloser
		body, err = c.attempt(ctx, c.endpoints[n], k, payload)
		if err == nil {
			c.preferred.Store(int32(n))
			return body, nil
		}
		if ctx.Err() != nil || !retryElsewhere(k, err) {
			return nil, err
		}
	}
	return nil, err
}

func retryElsewhere(k call, err error) bool {
	if e, ok := errors.AsType[*StatusError](err); ok {
		return !k.changes && e.Status >= http.StatusInternalServerError
	}
	return !errors.Is(err, ErrUnknown)
}

func (c *Client) attempt(ctx context.Context, endpoint string, k call, payload []byte) (io.ReadCloser, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrRefused, k.name(), err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint+k.path, bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrRefused, k.name(), err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		// Other idle connections may have gone silent with this one.
		c.http.CloseIdleConnections()
		if !sent.Load() {
			return nil, fmt.Errorf("%w: %s at %s: %w", ErrRefused, k.name(), endpoint, err)
		}
		return nil, k.lost(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, newStatusError(k, endpoint, resp)
	}
	return resp.Body, nil
}

// lost classifies an error that arose after the call was sent.
func (k call) lost(err error) error {
	class := ErrRefused
	if k.changes {
		class = ErrUnknown
	}
	return fmt.Errorf("%w: %s: %w", class, k.name(), err)
}

func (c *Client) failed(k call, err error) error {
	class := "refused"
	if errors.Is(err, ErrUnknown) {
		class = "unknown"
	}
	c.metrics.Add("failed_"+class, 1)
	return err
}
