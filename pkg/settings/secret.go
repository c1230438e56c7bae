package settings

import (
	"fmt"
	"os"
	"strings"
)

// Secret is the place of a secret: a file or an environment variable. The settings never
// contain the secret itself, so printing a Secret shows only the place.
type Secret struct {
	File string
	Env  string
}

// IsSet reports whether a place is set.
func (s Secret) IsSet() bool { return s.File != "" || s.Env != "" }

// Read returns the secret without surrounding white space, or "" if no place is set.
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
