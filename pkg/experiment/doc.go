// Package experiment runs the decisions of a daemon on the platform under a load
// pattern, in the time of a model: the reducer of core/direct, the queue of
// core/admission and a pool of connections as package proxy keeps it, against a small
// model of members, callers and the promotion lock. A run repeats from its seed.
//
// A Pattern says how much comes, what members can do and what goes wrong when. A
// Result tells what callers got. Compare runs two sets of mechanisms on the same seeds
// and gives the difference with its confidence interval.
//
// The model of a member has slots, a queue, a limit of connections, a time for opening
// one, connections of hosts without power that linger, replicas that apply late, lost
// answers, slow and silent members. It leaves out processor time of daemons, sizes of
// messages, the store's own troubles and homes: every daemon reaches the members.
package experiment
