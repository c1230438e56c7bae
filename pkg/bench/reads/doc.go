// Package reads measures the share of reads that replicas serve, beside
// baselines that run in turn with it, and checks every answer.
//
// Callers of three kinds share the fleet. Writers record bids and read their
// own back (read-your-writes, through another daemon than they wrote through);
// buyers read listings of a stated age; a ticker commits a number every few
// milliseconds, so that the age of what a listing shows is known from the
// journal of the target stand-in.
package reads
