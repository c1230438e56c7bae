// Package takeover decides how the records of one kind move from one database
// group to another while callers use both. It is pure: Machine turns events into
// effects, and package limpetspan/pkg/takeover carries them out.
//
// # Buckets
//
// A record's bucket is the hash of its key (config.Bucket). A bucket is owned
// entirely by one side, given by its bit in config.Takeover.Flipped, so a decision
// needs only the configuration revision in force. Each bucket is prepared, copied
// page by page and caught up. Buckets that are caught up are flipped in small
// batches:
//
//	hold    the source's home admits no new writes to the buckets and waits
//	        for those in flight
//	drain   the last changes and the idempotency keys (core.Directives.Once)
//	        are copied
//	close   the destination rejects further writes of the copy
//	verify  count and checksum of both sides are compared
//	seal    the hold, which would expire, is made permanent in the source's
//	        database
//	flip    one configuration change gives the buckets to the destination
//	settle  the seal is replaced by the lowest revision under which a home of
//	        the source may serve the kind
//
// # Why no write is lost
//
// Every statement on a bucket passes through the home of the group it is routed
// to, whatever revision its entry has. The home that holds the buckets is
// therefore a barrier for all entries, including those that have not received any
// of the changes. A home that succeeds it reads the seal from the group's own
// database, where a second member confirmed it before the flip was requested, and
// rejects the buckets until its revision states who owns them. Before the seal
// nothing can flip, so a hold may expire: a store that fails at that moment costs
// callers no more than the hold limit.
//
// # Why only one worker is effective
//
// A worker writes its claim into the take-over's configuration, and a flip is
// accepted only under that claim. Its writes to the destination carry a token
// that the destination checks in the same transaction; closing a bucket there
// invalidates all tokens. A worker that was paused and resumes late can therefore
// neither flip a bucket nor write into one that has flipped.
package takeover
