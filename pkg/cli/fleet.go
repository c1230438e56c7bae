package cli

import (
	"context"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"limpetspan/pkg/operator"
)

// maxParallelCalls bounds the calls to daemons under way at once.
const maxParallelCalls = 64

// daemonReport is what is known of one daemon.
type daemonReport struct {
	ID   string `json:"id,omitempty"`
	Addr string `json:"addr"`
	// Status is nil when the daemon did not answer; Error says why.
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// name is the id, or the address as long as the id is not known.
func (r daemonReport) name() string {
	if r.ID == "" {
		return r.Addr
	}
	return r.ID
}

func (e *Env) operators() *operator.Client { return &operator.Client{HTTP: e.HTTP} }

// liveDaemons returns the daemons given and those that they know to be live,
// without their status, by id. An unreachable daemon that was given stays in.
func (e *Env) liveDaemons(ctx context.Context) ([]daemonReport, error) {
	if len(e.Daemons) == 0 {
		return nil, Usagef("no daemon: give --daemon ADDR or set LIMPETSPAN_DAEMON")
	}
	known := make(map[string]daemonReport)
	for _, addr := range e.Daemons {
		known[addr] = daemonReport{Addr: addr}
	}
	for _, addr := range e.Daemons {
		status, err := e.operators().Status(ctx, addr, true)
		if err != nil {
			continue
		}
		known[addr] = daemonReport{ID: string(status.ID), Addr: addr}
		for _, peer := range status.Fleet {
			isLive := peer.State == "alive" || peer.State == "suspect"
			if isLive && peer.OperatorAddr != "" && peer.ID != status.ID {
				known[peer.OperatorAddr] = daemonReport{ID: string(peer.ID), Addr: peer.OperatorAddr}
			}
		}
	}
	return sortedReports(known), nil
}

// sortedReports orders by id and leaves out a second address of the same daemon.
func sortedReports(known map[string]daemonReport) []daemonReport {
	var reports []daemonReport
	for _, r := range known {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b daemonReport) int {
		if c := strings.Compare(a.ID, b.ID); c != 0 {
			return c
		}
		return strings.Compare(a.Addr, b.Addr)
	})
	return slices.CompactFunc(reports, func(a, b daemonReport) bool { return a.ID != "" && a.ID == b.ID })
}

// askStatus fills in the status of each daemon.
func (e *Env) askStatus(ctx context.Context, reports []daemonReport) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i := range reports {
		group.Go(func() error {
			status, err := e.operators().Status(ctx, reports[i].Addr, false)
			mu.Lock()
			defer mu.Unlock()
			reports[i].Status, reports[i].Error = status, ""
			if err != nil {
				reports[i].Error = err.Error()
				return nil
			}
			reports[i].ID = string(status.ID)
			return nil
		})
	}
	_ = group.Wait()
}

// unreachable returns the names of the daemons that did not answer.
func unreachable(reports []daemonReport) []string {
	var names []string
	for _, r := range reports {
		if r.Status == nil {
			names = append(names, r.name())
		}
	}
	return names
}
