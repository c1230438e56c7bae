package reads

import (
	"fmt"
	"strings"
	"time"

	"limpetspan/standin/target"
)

// checker knows from the journal when each tick was committed.
type checker struct {
	// committed holds the time of each tick's commit by its number.
	committed map[int64]time.Time
	broken    []string
}

// maxBroken bounds the list of broken promises.
const maxBroken = 20

func newChecker(journal []*target.Record) *checker {
	c := &checker{committed: map[int64]time.Time{}}
	for _, r := range journal {
		for _, s := range r.Statements {
			if !strings.HasSuffix(s.SQL, tickSQL) || len(s.Args) != 1 {
				continue
			}
			if n, ok := s.Args[0].(int64); ok {
				c.committed[n] = r.At
			}
		}
	}
	return c
}

// check judges the answers of one caller in their order.
func (c *checker) check(answers []answer, t *tally) {
	var shown int64
	for _, a := range answers {
		if a.own {
			t.own = append(t.own, a.took)
		} else {
			t.listings = append(t.listings, a.took)
		}
		if why := c.stale(a); why != "" {
			t.stale++
			c.tell("%s at %s: %s", a.session, a.began.Format(time.RFC3339Nano), why)
		}
		switch {
		case a.n >= shown:
		case !a.own:
			t.listingsBackward++
		default:
			t.backward++
			c.tell("%s at %s: showed %d after %d", a.session, a.began.Format(time.RFC3339Nano), a.n, shown)
		}
		shown = max(shown, a.n)
	}
}

// stale says why an answer is stale, "" if it is not. A listing may lack a tick
// only if that was committed after the read began less the stated age.
func (c *checker) stale(a answer) string {
	if a.own {
		if a.n < a.acknowledged {
			return fmt.Sprintf("own bid %d is acknowledged, the read showed %d", a.acknowledged, a.n)
		}
		return ""
	}
	missing, ok := c.committed[a.n+1]
	if age := a.began.Sub(missing); ok && age > listingAge {
		return fmt.Sprintf("the listing showed tick %d, older by %v than %v", a.n, age-listingAge, listingAge)
	}
	return ""
}

func (c *checker) tell(format string, args ...any) {
	if len(c.broken) < maxBroken {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}
