// Package takeover decides how the records of one kind move from one database
// group to another while callers use both. It is pure: Machine turns events
// into effects, package limpetspan/pkg/takeover carries them out.
//
// # Buckets
//
// A record's bucket is the hash of its key (config.Bucket). A bucket is owned
// wholly by one side, and the bit in config.Takeover.Flipped says by which; a
// configuration revision in force is all that a decision needs. Each bucket is
// prepared, copied page by page and caught up. Buckets that are caught up are
// flipped in small batches:
//
//	hold    the source's home admits no new write of the buckets and waits
//	        for those in flight
//	drain   the last changes and the must-not-repeat keys are copied
//	close   the destination refuses further writes of the copy
//	verify  count and checksum of both sides agree
//	seal    the hold, which would end by itself, is made lasting in the
//	        source's database
//	flip    one configuration change gives the buckets to the destination
//	settle  the seal is replaced by the least revision under which a home of
//	        the source may serve the kind
//
// # Why no write is lost
//
// Every statement of a bucket passes the home of the group it is routed to,
// whatever revision its entry has. The home that holds the buckets is
// therefore a barrier for all entries, also for those that have not heard of
// anything. A home that comes after it reads the seal from the group's own
// database, where it was confirmed by a second member before the flip was
// asked for, and refuses the buckets until its revision says who owns them.
// Before the seal, nothing can flip, so a hold may end by itself: a store that
// fails at that moment costs callers no more than the hold's limit.
//
// # Why only one worker counts
//
// A worker writes its claim into the take-over's configuration, and a flip is
// accepted only under that claim. Its writes to the destination carry a token
// that the destination checks in the same transaction; closing a bucket there
// ends all tokens. A worker that was paused and wakes up late can therefore
// neither flip a bucket nor write into one that has flipped.
package takeover
