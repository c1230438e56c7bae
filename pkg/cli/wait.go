package cli

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// waitInterval is the pause between two rounds of asking the daemons.
const waitInterval = 250 * time.Millisecond

// maxNamesShown bounds the daemons named in one line.
const maxNamesShown = 10

// waitResult says which daemons have a revision in force.
type waitResult struct {
	Have    []string `json:"have"`
	Missing []string `json:"missing,omitempty"`
}

// waitInForce asks the daemons until each live one has the revision in force.
func waitInForce(ctx context.Context, env *Env, revision uint64) (*waitResult, error) {
	have := make(map[string]bool)
	for {
		reports, err := env.liveDaemons(ctx)
		if err != nil {
			return nil, err
		}
		env.askStatus(ctx, reports)
		result := &waitResult{}
		for _, r := range reports {
			if r.Status != nil && r.Status.ConfigRevision >= revision {
				have[r.name()] = true
			}
			if have[r.name()] {
				result.Have = append(result.Have, r.name())
			} else {
				result.Missing = append(result.Missing, r.name())
			}
		}
		fmt.Fprintf(env.Stderr, "revision %d is in force on %d of %d daemons\n", revision, len(result.Have), len(reports))
		if len(result.Missing) == 0 {
			return result, nil
		}
		if pause(ctx, waitInterval) != nil {
			return result, Timeoutf("revision %d is accepted but not known to be in force on: %s", revision, shortList(result.Missing))
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func shortList(names []string) string {
	if len(names) <= maxNamesShown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesShown], ", "), len(names)-maxNamesShown)
}
