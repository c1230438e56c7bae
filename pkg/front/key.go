package front

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"sync"

	"limpetspan/core"
)

// A cancel key's process id is positive: 15 bits of the daemon's tag, then 16
// bits that tell callers apart.
const (
	keyTagBits   = 15
	keyTagMask   = 1<<keyTagBits - 1
	keyNumberLen = 16
)

// KeyTag returns the 15-bit tag of a daemon in the process ids of its cancel
// keys. Two daemons may share a tag; the secret decides.
func KeyTag(id core.DaemonID) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	sum := h.Sum32()
	return uint16((sum ^ sum>>keyTagBits) & keyTagMask)
}

// TagOf returns the tag in a process id.
func TagOf(pid uint32) uint16 { return uint16(pid >> keyNumberLen & keyTagMask) }

// cancelKey is what a caller shows to cancel its request.
type cancelKey struct{ pid, secret uint32 }

// keyring finds callers by their cancel keys.
type keyring struct {
	tag     uint16
	mu      sync.Mutex
	callers map[cancelKey]*caller
}

// add makes up a key for the caller.
func (k *keyring) add(c *caller) cancelKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		var b [6]byte
		rand.Read(b[:])
		key := cancelKey{
			pid:    uint32(k.tag)<<keyNumberLen | uint32(binary.BigEndian.Uint16(b[4:])),
			secret: binary.BigEndian.Uint32(b[:4]),
		}
		if _, taken := k.callers[key]; !taken && key.pid != 0 {
			k.callers[key] = c
			return key
		}
	}
}

func (k *keyring) remove(key cancelKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.callers, key)
}

func (k *keyring) find(key cancelKey) *caller {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.callers[key]
}
