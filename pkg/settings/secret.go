package settings

import (
	"fmt"
	"os"
	"strings"
)

// Secret says where a secret is kept: in a file or in an environment variable,
// never in the settings themselves. It prints as the place, not the secret.
type Secret struct {
	File string
	Env  string
}

// IsSet reports whether a place is named.
func (s Secret) IsSet() bool { return s.File != "" || s.Env != "" }

// Read returns the secret without surrounding white space; empty if unset.
func (s Secret) Read() (string, error) {
	switch {
	case s.File != "":
		data, err := os.ReadFile(s.File)
		if err != nil {
			return "", fmt.Errorf("read secret: %w", err)
		}
		return strings.TrimSpace(string(data)), nil
	case s.Env != "":
		value, ok := os.LookupEnv(s.Env)
		if !ok {
			return "", fmt.Errorf("read secret: environment variable %s is not set", s.Env)
		}
		return strings.TrimSpace(value), nil
	}
	return "", nil
}
