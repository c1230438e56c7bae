package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"limpetspan/pkg/boundedread"
)

// maxAnswer bounds an answer; a fleet view of 1,700 daemons is near 300 kB.
const maxAnswer = 16 << 20

// maxErrorText is how much of a refusal is shown.
const maxErrorText = 500

// Client asks daemons at their operator addresses.
type Client struct {
	// HTTP is the transport, with its own timeout.
	HTTP *http.Client
}

// Status asks a daemon for its status, and with fleet for its view of the others.
func (c *Client) Status(ctx context.Context, addr string, fleet bool) (*Status, error) {
	target := "http://" + addr + PathStatus
	if fleet {
		target += "?" + FleetQuery
	}
	var status Status
	if err := c.do(ctx, http.MethodGet, addr, target, &status); err != nil {
		return nil, err
	}
	return &status, nil
}

// Drain begins the planned stop of a daemon.
func (c *Client) Drain(ctx context.Context, addr string) error {
	return c.do(ctx, http.MethodPost, addr, "http://"+addr+PathDrain, nil)
}

// Verify compares both sides of a take-over from a daemon.
func (c *Client) Verify(ctx context.Context, addr, kind string) (*Verification, error) {
	var v Verification
	target := "http://" + addr + PathVerify + "?kind=" + url.QueryEscape(kind)
	if err := c.do(ctx, http.MethodPost, addr, target, &v); err != nil {
		return nil, err
	}
	return &v, nil
}

func (c *Client) do(ctx context.Context, method, addr, target string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", addr, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("daemon %s: %s: %s", addr, resp.Status, refusal(resp.Body))
	}
	if answer == nil {
		return nil
	}
	data, err := boundedread.All(resp.Body, resp.ContentLength, maxAnswer)
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return fmt.Errorf("daemon %s: answer: %w", addr, err)
	}
	return nil
}

// refusal returns the text of a Failure, or the beginning of anything else.
func refusal(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorText))
	var f Failure
	if json.Unmarshal(text, &f) == nil && f.Error != "" {
		return f.Error
	}
	return strings.TrimSpace(string(text))
}
