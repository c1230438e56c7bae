package front

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/xdg-go/scram"
)

// The parameters of verifiers that are derived here, as PostgreSQL has them.
const (
	verifierPrefix     = "SCRAM-SHA-256$"
	verifierIterations = 4096
	verifierSaltLen    = 16
)

// Users are the callers' names and SCRAM-SHA-256 verifiers. They may be
// replaced while they are in use.
type Users struct {
	mu     sync.RWMutex
	byName map[string]scram.StoredCredentials
	// pretence seeds the salts shown to unknown users.
	pretence [sha256.Size]byte
}

// NewUsers returns an empty set of users.
func NewUsers() *Users {
	u := &Users{byName: make(map[string]scram.StoredCredentials)}
	rand.Read(u.pretence[:])
	return u
}

// LoadUsers reads a file as ReadUsers does.
func LoadUsers(path string) (*Users, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("front: users file: %w", err)
	}
	defer file.Close()
	return ReadUsers(file)
}

// ReadUsers reads lines of the form name:secret, where the secret is a
// verifier as PostgreSQL stores it, SCRAM-SHA-256$<iterations>:<salt>$<stored
// key>:<server key>, or a password. Empty lines and lines that begin with #
// are skipped. An error names the line, never the secret.
func ReadUsers(r io.Reader) (*Users, error) {
	users := NewUsers()
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		name, secret, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("front: users line %d: not of the form name:secret", number)
		}
		if err := users.Set(name, secret); err != nil {
			return nil, fmt.Errorf("front: users line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("front: users: %w", err)
	}
	return users, nil
}

// Set adds or replaces a user; the secret is a verifier or a password.
func (u *Users) Set(name, secret string) error {
	if name == "" || secret == "" {
		return errors.New("empty name or secret")
	}
	credentials, err := parseSecret(secret)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byName[name] = credentials
	return nil
}

// Replace takes over the users of another set.
func (u *Users) Replace(with *Users) {
	with.mu.RLock()
	byName := with.byName
	with.mu.RUnlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byName = byName
}

// lookup returns a user's credentials. For an unknown user it makes some up
// that no password matches, the same ones each time, so that neither the
// exchange nor the error tells which names exist.
func (u *Users) lookup(name string) scram.StoredCredentials {
	u.mu.RLock()
	credentials, ok := u.byName[name]
	u.mu.RUnlock()
	if ok {
		return credentials
	}
	salt := u.pretend("salt", name)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt[:verifierSaltLen]), Iters: verifierIterations},
		StoredKey:  u.pretend("stored", name),
		ServerKey:  u.pretend("server", name),
	}
}

func (u *Users) pretend(what, name string) []byte {
	mac := hmac.New(sha256.New, u.pretence[:])
	fmt.Fprintf(mac, "%s:%s", what, name)
	return mac.Sum(nil)
}

func parseSecret(secret string) (scram.StoredCredentials, error) {
	if verifier, ok := strings.CutPrefix(secret, verifierPrefix); ok {
		return parseVerifier(verifier)
	}
	return derive(secret)
}

// derive makes a verifier with a random salt from a password.
func derive(password string) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// A password that SASLprep refuses is taken as it is, as PostgreSQL does.
		client, err = scram.SHA256.NewClientUnprepped("", password, "")
	}
	if err != nil {
		return scram.StoredCredentials{}, errors.New("unusable password")
	}
	salt := make([]byte, verifierSaltLen)
	rand.Read(salt)
	return client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: verifierIterations})
}

var errVerifier = errors.New("malformed verifier, SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key> is allowed")

func parseVerifier(s string) (scram.StoredCredentials, error) {
	factors, keys, ok := strings.Cut(s, "$")
	iterations, salt, ok2 := strings.Cut(factors, ":")
	stored, server, ok3 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 {
		return scram.StoredCredentials{}, errVerifier
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < 1 {
		return scram.StoredCredentials{}, errVerifier
	}
	saltBytes, err := base64.StdEncoding.DecodeString(salt)
	storedKey, err2 := base64.StdEncoding.DecodeString(stored)
	serverKey, err3 := base64.StdEncoding.DecodeString(server)
	if errors.Join(err, err2, err3) != nil || len(storedKey) != sha256.Size || len(serverKey) != sha256.Size {
		return scram.StoredCredentials{}, errVerifier
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(saltBytes), Iters: n},
		StoredKey:  storedKey,
		ServerKey:  serverKey,
	}, nil
}
