// Package password hashes operators' passwords with PBKDF2-HMAC-SHA-256.
package password

import (
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	scheme = "pbkdf2-sha256"
	// Iterations is the iteration count of new hashes, as OWASP recommended for PBKDF2-HMAC-SHA-256 in 2023.
	Iterations = 600_000
	// MinIterations is the lowest iteration count that Parse accepts. maxIterations limits the CPU time of one sign-in.
	MinIterations = 100_000
	maxIterations = 10_000_000
	saltBytes     = 16
	hashBytes     = 32
)

// Hash is a salted password hash.
type Hash struct {
	iterations int
	salt, sum  []byte
}

// New hashes a password with a random salt.
func New(password string, iterations int) (Hash, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Hash{}, errors.Wrap(err, "generate a password salt")
	}
	sum, err := pbkdf2.Key(sha256.New, password, salt, iterations, hashBytes)
	return Hash{iterations: iterations, salt: salt, sum: sum}, errors.Wrap(err, "hash the password")
}

// Parse parses a hash in the format of String.
func Parse(text string) (Hash, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 4 || parts[0] != scheme {
		return Hash{}, errors.Newf("expected %s$iterations$salt$hash as printed by carobctl hash-password", scheme)
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < MinIterations || iterations > maxIterations {
		return Hash{}, errors.Newf("iterations must be from %d to %d", MinIterations, maxIterations)
	}
	salt, saltErr := base64.RawStdEncoding.DecodeString(parts[2])
	sum, sumErr := base64.RawStdEncoding.DecodeString(parts[3])
	if saltErr != nil || sumErr != nil || len(salt) < saltBytes || len(sum) != hashBytes {
		return Hash{}, errors.New("salt or hash is not valid base64 or has the wrong length")
	}
	return Hash{iterations: iterations, salt: salt, sum: sum}, nil
}

// String formats the hash as pbkdf2-sha256$iterations$salt$hash.
func (h Hash) String() string {
	return fmt.Sprintf("%s$%d$%s$%s", scheme, h.iterations, base64.RawStdEncoding.EncodeToString(h.salt),
		base64.RawStdEncoding.EncodeToString(h.sum))
}

// Matches reports whether the password has this hash. The hashes are compared in constant time.
func (h Hash) Matches(password string) bool {
	sum, err := pbkdf2.Key(sha256.New, password, h.salt, h.iterations, hashBytes)
	return err == nil && subtle.ConstantTimeCompare(sum, h.sum) == 1
}
