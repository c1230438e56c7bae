// Package gossip is the shell around the reducer of package membership: it
// moves its messages as UDP datagrams, keeps its time, and offers the view of
// the fleet (fleet.View) and the candidates for the homes of groups.
//
// A datagram is a 4-byte head (magic, version, whether it is signed), an
// HMAC-SHA256 of the rest when a key is set, and a protobuf message. A daemon
// with a key drops what is not signed with it. Old datagrams that somebody
// sends again do no harm, as all news is ordered by incarnation, term or
// version, and acknowledgments by random sequence numbers.
package gossip
