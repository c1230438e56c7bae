// Package hedge decides when a read that a home has not answered is sent to a second home as well.
//
// It does no I/O, reads no clock and uses no randomness. The owner of a Decider reports answers and
// refusals, asks it when to hedge, and takes from its budget for each hedge.
//
// # Load patterns
//
// A lost home: until the verdict about it, a read waits. Some echoes without an answer justify a
// second attempt (OnSuspicion) before there is enough silence for the verdict.
//
// A hung home or member: the home answers echoes and not the read, as its member hangs on part of its
// work, or a lock or a queue there is stuck. A read that takes longer than nearly all reads of its
// database is sent elsewhere (AtPercentile).
//
// Overload: all reads are slow, and hedges would add to the load. The usual time grows with them, so
// that a constant share of reads is overdue. The budget bounds hedges to BudgetShare of the answered
// reads, and each refusal because of load takes RefusalCost from it. For OverloadMemory after such a
// refusal no read of that database is hedged at all.
package hedge
