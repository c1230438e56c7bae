package embedded

import (
	"crypto/rand"
	"fmt"
	"os"
)

// writeKey makes a key for the datagrams between the fleet's daemons.
//
// Guard: a port of loopback is soon used again. Without a key, daemons of a
// fleet that ended a moment ago, or of another one, would be taken for members
// of this one; it would show as homes at daemons that do not know the group.
func writeKey() (string, error) {
	f, err := os.CreateTemp("", "limpetspan-gossip-*.key")
	if err != nil {
		return "", fmt.Errorf("gossip key: %w", err)
	}
	_, err = f.WriteString(rand.Text())
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return "", fmt.Errorf("gossip key: %w", err)
	}
	return f.Name(), nil
}
