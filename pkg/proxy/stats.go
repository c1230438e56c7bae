package proxy

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetspan/platform"
)

// stats holds the counters that a running daemon publishes under "proxy".
type stats struct {
	// connsBroken counts connections on which a statement got no complete answer, commandsDropped the
	// commands to members that were dropped because the member's queue was full, and reportsUnsent the
	// failed sends and receives of reports.
	statements, malformed, connsBroken, dials, dialFailures, probeFailures expvar.Int
	commandsDropped, promotions, reportsUnsent, reportsMalformed           expvar.Int
	// reportsUndated counts the reports whose echo does not date them, by reason.
	reportsUndated expvar.Map
	// ordersExpired counts orders to members that were not sent, because another daemon could hold the
	// promotion lock by then.
	ordersExpired expvar.Int

	onPrimary, onReplica, logLinesDropped expvar.Int
	// watchesUnusable counts the watches of the store whose answer could not be used.
	watchesUnusable expvar.Int
	// erasEnded counts the restores of the store from an older copy.
	erasEnded expvar.Int
	// connsReplaced counts idle connections that were closed to open one for another team.
	connsReplaced expvar.Int
	// withLineBreak counts the messages whose text contains a CR or LF.
	withLineBreak expvar.Int
	// incomplete counts the messages of which a part was read when a deadline passed, by what became of
	// them.
	incomplete expvar.Map
	// answersSurplus counts answers of members that belonged to no statement that awaited one, by kind.
	// answersConfirmed and answersUnproved count the answers that a marker has confirmed or has not, by kind,
	// and connsOutOfStep the connections that were closed after a surplus answer.
	answersSurplus, answersConfirmed, answersUnproved expvar.Map
	connsOutOfStep                                    expvar.Int
	// linksOutdated counts links to homes that were replaced because the session had committed elsewhere.
	linksOutdated expvar.Int
	// linkAnswersOutOfTurn counts answers of homes that belonged to another statement than the one that awaited
	// an answer, or to none.
	linkAnswersOutOfTurn expvar.Int
	// refusals counts errors by code, denied the statements that were refused because of their
	// callers' keys, by reason, and overQuota the operations that were refused because of their
	// teams' limits, by reason.
	refusals, denied, overQuota expvar.Map
	// refusalsUnproved counts statements that were not served and may have run.
	refusalsUnproved expvar.Int
	// onSecondPart counts the operations counted against the second part of a split limit, overflowed
	// the statements over one part that were sent to the holder of the other.
	onSecondPart, overflowed expvar.Int
	// health counts the checks of other daemons, the verdicts by cause, and the backoffs that ended.
	health expvar.Map
	// promotionOutcomes counts the requests to promote a member by outcome.
	promotionOutcomes expvar.Map
	// hedges counts the reads sent to a second home, by reason and by outcome.
	hedges expvar.Map

	// overload holds the counters of overload control.
	overload *overloadStats

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// Range of the latency histogram, in microseconds: 50 us to 60 s with two significant digits.
const (
	minLatencyUs  = 50
	maxLatencyUs  = 60_000_000
	latencyDigits = 2
)

func newStats() *stats {
	return &stats{overload: newOverloadStats(), latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)}
}

// countRefusal counts an error answer under its code. Codes that the protocol does not have share one
// counter, as a counter is kept for as long as the process lives.
func (s *stats) countRefusal(code string) {
	if !platform.IsCode(code) {
		code = otherCodes
	}
	s.refusals.Add(code, 1)
}

// otherCodes is the name of the counter of codes that the protocol does not have.
const otherCodes = "other"

// recordServed counts a served statement and records its latency.
func (s *stats) recordServed(primary bool, d time.Duration) {
	if primary {
		s.onPrimary.Add(1)
	} else {
		s.onReplica.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A value beyond the range is recorded as the bound of the range.
	_ = s.latency.RecordValue(min(maxLatencyUs, max(minLatencyUs, d.Microseconds())))
}

// snapshot returns all counters for the metrics endpoint.
func (s *stats) snapshot() any {
	refusals, denied, overQuota := valuesOf(&s.refusals), valuesOf(&s.denied), valuesOf(&s.overQuota)
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"statements": s.statements.Value(), "malformed": s.malformed.Value(), "broken": s.connsBroken.Value(),
		"dials": s.dials.Value(), "conns_replaced": s.connsReplaced.Value(), "dial_failures": s.dialFailures.Value(), "probe_failures": s.probeFailures.Value(),
		"orders_dropped": s.commandsDropped.Value(), "orders_expired": s.ordersExpired.Value(), "promotions": s.promotions.Value(), "promotion_outcomes": valuesOf(&s.promotionOutcomes),
		"reports_unsent": s.reportsUnsent.Value(), "reports_malformed": s.reportsMalformed.Value(), "reports_undated": valuesOf(&s.reportsUndated),
		"on_primary": s.onPrimary.Value(), "on_replica": s.onReplica.Value(), "log_lines_dropped": s.logLinesDropped.Value(),
		"store_eras_ended": s.erasEnded.Value(), "watches_unusable": s.watchesUnusable.Value(), "refusals": refusals, "refusals_unproved": s.refusalsUnproved.Value(), "barred": denied, "unpaid": overQuota,
		"answers_surplus": valuesOf(&s.answersSurplus), "answers_confirmed": valuesOf(&s.answersConfirmed), "answers_unproved": valuesOf(&s.answersUnproved), "conns_out_of_step": s.connsOutOfStep.Value(),
		"links_outdated": s.linksOutdated.Value(), "link_answers_out_of_turn": s.linkAnswersOutOfTurn.Value(), "on_second_part": s.onSecondPart.Value(), "sent_to_other_part": s.overflowed.Value(),
		"peer_health": valuesOf(&s.health), "hedges": valuesOf(&s.hedges),
		"messages_with_line_break": s.withLineBreak.Value(), "messages_incomplete_at_deadline": valuesOf(&s.incomplete),
		"latency_us": map[string]int64{
			"p50": s.latency.ValueAtQuantile(50), "p99": s.latency.ValueAtQuantile(99), "max": s.latency.Max(), "count": s.latency.TotalCount(),
		},
	}
}

func valuesOf(m *expvar.Map) map[string]string {
	values := map[string]string{}
	m.Do(func(kv expvar.KeyValue) { values[kv.Key] = kv.Value.String() })
	return values
}
