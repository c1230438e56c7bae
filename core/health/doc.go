// Package health decides which other daemons one daemon may use as homes: when a check of a daemon
// starts, when it is considered lost, how long it is left alone, and who tries it again.
//
// It does no I/O, reads no clock and uses no randomness. The owner of a Table reports what it
// observes (answers, refused connections, echoes), sends the echoes that a check asks for, and wakes
// the sessions that wait for a daemon when the verdict is that the daemon is lost.
//
// # Load patterns
//
// A lost home: a host loses power, is partitioned or freezes while hundreds of sessions of each
// entry wait for it. One verdict for all sessions of the entry replaces one timeout per session. The
// first overdue statement starts one check, and the verdict is reached after OverdueFloor to
// OverdueCeiling plus SilenceFloor to SilenceCeiling.
//
// A slow home: its processor quota pauses it for up to 100 ms at a time, or its members are
// overloaded, so that statements wait there for hundreds of milliseconds. Silence on a statement
// proves nothing and only starts a check. The verdict needs silence towards echoes, which are
// answered without a member and are sent several times per check, as datagrams may be lost.
// The silence needed grows with the slowest echoes that this peer has answered.
//
// A slow entry: this process itself was paused or frozen, and answers wait in its socket. A step of
// a check that runs late sends another echo and postpones the verdict by PauseGrace. There is no verdict
// before this process has read an echo to itself, which waits behind those answers.
//
// A restarted home: its host refuses connections at once, so no session tries it until its backoff has
// ended. That ends no waits on open links: the listener may be closed while a planned stop goes on, and
// the kernel resets the links of a process that has died.
//
// An outage of all homes: every candidate is in backoff. The least recently failed one is tried, one
// session at a time, and the other sessions wait for the outcome. Links to a home that is up again are
// opened in growing numbers.
//
// All homes slow at once, for example after all processes have started: peers that are only slow to
// connect are asked by all sessions if there is no better one.
//
// # Cost
//
// No message is sent while answers arrive in time. While statements at a peer are overdue, a check
// starts at most once per RecheckInterval, and takes one datagram in each direction if the peer is
// alive.
package health
