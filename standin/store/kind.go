package store

// Kind is the kind of a call.
type Kind string

// The kinds of calls, by the last parts of their paths.
const (
	KindRange       Kind = "range"
	KindPut         Kind = "put"
	KindDeleteRange Kind = "deleterange"
	KindTxn         Kind = "txn"
	KindGrant       Kind = "grant"
	KindRevoke      Kind = "revoke"
	KindKeepAlive   Kind = "keepalive"
	KindWatch       Kind = "watch"
)

// Kinds lists all kinds of calls.
var Kinds = []Kind{KindRange, KindPut, KindDeleteRange, KindTxn, KindGrant, KindRevoke, KindKeepAlive, KindWatch}

// IsWrite reports whether a call of the kind counts against the write rate.
func (k Kind) IsWrite() bool { return k != KindRange && k != KindWatch }

// changes reports whether a call of the kind has an effect that its answer reports.
func (k Kind) changes() bool { return k.IsWrite() && k != KindKeepAlive }

// Counts are the calls that reached the service since it began.
type Counts struct {
	// Calls by kind, refused ones included.
	Calls map[Kind]int64 `json:"calls"`
	Reads int64          `json:"reads"`
	// Writes counts calls, not keys.
	Writes int64 `json:"writes"`
	// Refused counts calls over the rate limits.
	Refused int64 `json:"refused"`
	// OpenWatches is how many watches wait now.
	OpenWatches int64 `json:"open_watches"`
}
