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
	// Iterations of new hashes, the number that OWASP recommended for this function in 2023.
	Iterations = 600_000
	// MinIterations is the least that Parse accepts, and maxIterations bounds the time of one sign-in.
	MinIterations = 100_000
	maxIterations = 10_000_000
	saltBytes     = 16
	hashBytes     = 32
)

// Hash is a hashed password.
type Hash struct {
	iterations int
	salt, sum  []byte
}

// New hashes a password with a random salt.
func New(password string, iterations int) (Hash, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Hash{}, errors.Wrap(err, "random salt")
	}
	sum, err := pbkdf2.Key(sha256.New, password, salt, iterations, hashBytes)
	return Hash{iterations: iterations, salt: salt, sum: sum}, errors.Wrap(err, "hash the password")
}

// Parse reads the format of String.
func Parse(text string) (Hash, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 4 || parts[0] != scheme {
		return Hash{}, errors.Newf("expected %s$iterations$salt$hash, as carobctl hash-password prints it", scheme)
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < MinIterations || iterations > maxIterations {
		return Hash{}, errors.Newf("iterations must be %d to %d", MinIterations, maxIterations)
	}
	salt, saltErr := base64.RawStdEncoding.DecodeString(parts[2])
	sum, sumErr := base64.RawStdEncoding.DecodeString(parts[3])
	if saltErr != nil || sumErr != nil || len(salt) < saltBytes || len(sum) != hashBytes {
		return Hash{}, errors.New("salt or hash is damaged")
	}
	return Hash{iterations: iterations, salt: salt, sum: sum}, nil
}

// String formats the hash as pbkdf2-sha256$iterations$salt$hash.
func (h Hash) String() string {
	return fmt.Sprintf("%s$%d$%s$%s", scheme, h.iterations, base64.RawStdEncoding.EncodeToString(h.salt),
		base64.RawStdEncoding.EncodeToString(h.sum))
}

// Matches reports whether the password is the hashed one, in a time that does not depend on where they differ.
func (h Hash) Matches(password string) bool {
	sum, err := pbkdf2.Key(sha256.New, password, h.salt, h.iterations, hashBytes)
	return err == nil && subtle.ConstantTimeCompare(sum, h.sum) == 1
}
