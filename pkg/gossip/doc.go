// Package gossip runs the reducer of package membership: it sends and receives
// its messages as UDP datagrams, runs its timers, and provides the view of the
// fleet (fleet.View) and the candidates for the homes of groups.
//
// A datagram is a 4-byte head (magic, version, whether it is signed), an
// HMAC-SHA256 of the rest when a key is set, and a protobuf message. A daemon
// with a key drops what is not signed with it. Replayed datagrams are
// harmless, because all updates are ordered by incarnation, term or version, and
// acknowledgments are matched by random sequence numbers.
package gossip
