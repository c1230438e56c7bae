package target

import (
	"hash/maphash"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/pkg/exchange"
)

// maxPrepared bounds the prepared statements kept on one connection; they cost
// the member memory.
const maxPrepared = 256

// unknownHash stands for a statement whose text on the connection is not known.
const unknownHash = 0

var parseSeed = maphash.MakeSeed()

// hashParse identifies a Parse message, never as unknownHash.
func hashParse(parse []byte) uint64 { return maphash.Bytes(parseSeed, parse) | 1 }

// preparedSet knows which named statements a connection has. The unnamed one is
// never counted as present, because every simple query destroys it.
type preparedSet struct {
	byName map[string]uint64
}

// has reports whether the connection has the statement with this very text.
func (s *preparedSet) has(name string, hash uint64) bool {
	return name != "" && s.byName[name] == hash
}

// known reports whether the connection may have a statement of that name.
func (s *preparedSet) known(name string) bool {
	_, ok := s.byName[name]
	return ok
}

func (s *preparedSet) set(name string, hash uint64) {
	if name == "" {
		return
	}
	if s.byName == nil {
		s.byName = make(map[string]uint64)
	}
	s.byName[name] = hash
}

func (s *preparedSet) remove(name string) { delete(s.byName, name) }

// settle takes over what a plan's messages did. After an error it is not known
// which of them ran: the statements count as present with an unknown text, so
// that the next use closes and parses them anew.
func (s *preparedSet) settle(definitions []definition, failed bool) {
	for _, d := range definitions {
		switch {
		case failed:
			s.set(d.name, unknownHash)
		case d.hash == unknownHash:
			s.remove(d.name)
		default:
			s.set(d.name, d.hash)
		}
	}
}

// appendMissing appends to buf the messages that give the connection the wanted
// statements, and to expected the types of their answers. Statements that stand
// in the way, by name or by number, are closed first.
func (s *preparedSet) appendMissing(buf, expected []byte, plan *Plan, wanted []exchange.Prepared) ([]byte, []byte) {
	for i := range wanted {
		w := &wanted[i]
		hash := hashParse(w.Parse)
		if s.has(w.Name, hash) {
			continue
		}
		if s.known(w.Name) {
			buf, expected = appendClose(buf, expected, w.Name)
		} else if len(s.byName) >= maxPrepared {
			buf, expected = s.evict(buf, expected, plan, wanted)
		}
		buf = append(buf, w.Parse...)
		expected = append(expected, msgParseComplete)
		s.set(w.Name, hash)
	}
	return buf, expected
}

// appendClosed closes statements that another caller left under a name which
// the messages define: the member would refuse the Parse as a duplicate.
func (s *preparedSet) appendClosed(buf, expected []byte, plan *Plan, wanted []exchange.Prepared) ([]byte, []byte) {
	for _, d := range plan.definitions {
		if d.hash == unknownHash || !s.known(d.name) || contains(wanted, d.name) {
			continue
		}
		buf, expected = appendClose(buf, expected, d.name)
		s.remove(d.name)
	}
	return buf, expected
}

// evict closes a statement that the request does not use.
func (s *preparedSet) evict(buf, expected []byte, plan *Plan, wanted []exchange.Prepared) ([]byte, []byte) {
	for name := range s.byName {
		if plan.defines(name) || contains(wanted, name) {
			continue
		}
		s.remove(name)
		return appendClose(buf, expected, name)
	}
	return buf, expected
}

func contains(list []exchange.Prepared, name string) bool {
	for i := range list {
		if list[i].Name == name {
			return true
		}
	}
	return false
}

func appendClose(buf, expected []byte, name string) ([]byte, []byte) {
	out, err := (&pgproto3.Close{ObjectType: closeStatement, Name: name}).Encode(buf)
	if err != nil {
		return buf, expected
	}
	return out, append(expected, msgCloseComplete)
}

// forget marks the wanted statements as unknown, after the prefix failed.
func (s *preparedSet) forget(wanted []exchange.Prepared) {
	for i := range wanted {
		s.set(wanted[i].Name, unknownHash)
	}
}
