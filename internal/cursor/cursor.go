// Package cursor encrypts and authenticates the resume cursors that callers receive as the ID of each SSE event. With a
// cursor, any gate that has the same keys can continue a stream after the failure of its gate, without shared state.
package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
)

// KeyBytes is the length of a cursor key.
const KeyBytes = 32

// A sealed cursor consists of version, salt, counter and ciphertext with tag, encoded in URL-safe base64 without padding.
const (
	formatVersion = 1
	saltBytes     = 16
	counterBytes  = 8
	headerBytes   = 1 + saltBytes + counterBytes
	// maxTextBytes is the maximum length of an encoded cursor that Open decodes.
	maxTextBytes = 2048
)

// hkdfInfo is the HKDF info string. It separates cursor keys from keys derived from the same secret for other uses.
const hkdfInfo = "carobstile cursor v1"

// ErrInvalid is returned for every cursor that fails authentication, cannot be decoded or does not match the request.
// The reason must not be exposed to callers.
var ErrInvalid = errors.New("cursor is invalid")

// Cursor is the state of a response stream after one token.
type Cursor struct {
	RequestID string
	Caller    string
	// BodyHash is the SHA-256 of the request body.
	BodyHash [sha256.Size]byte
	// Delivered is the number of tokens delivered to the caller, including the one of this event.
	Delivered int
	Model     string
	Version   string
	Seed      uint64
	// Engine is the name of the engine that served the attempt.
	Engine  string
	Attempt int
	// Deadline is the request's deadline by the wall clock of the gate that admitted it.
	Deadline core.Micros
}

// Keyring holds the cursor keys of a deployment. It is immutable.
type Keyring struct {
	keys [][]byte
}

// NewKeyring returns a keyring of keys of KeyBytes bytes each. The first key seals cursors; all keys open them.
func NewKeyring(keys [][]byte) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("no cursor keys are configured")
	}
	k := &Keyring{}
	for i, key := range keys {
		if len(key) != KeyBytes {
			return nil, errors.Newf("cursor key %d has %d bytes, expected %d", i, len(key), KeyBytes)
		}
		k.keys = append(k.keys, append([]byte(nil), key...))
	}
	return k, nil
}

// Sealer seals the cursors of one stream. It is not safe for concurrent use.
//
// Each sealer derives its own AES key from the keyring and a random salt, and uses a counter as nonce. Random nonces
// under one key would exceed the limit of 2^32 messages within an hour at 1.1 million tokens per second.
type Sealer struct {
	aead      cipher.AEAD
	salt      [saltBytes]byte
	counter   uint64
	plaintext []byte
	sealed    []byte
}

// NewSealer returns a sealer that reads its salt from random.
func (k *Keyring) NewSealer(random io.Reader) (*Sealer, error) {
	s := &Sealer{}
	if _, err := io.ReadFull(random, s.salt[:]); err != nil {
		return nil, errors.Wrap(err, "read cursor salt")
	}
	aead, err := deriveAEAD(k.keys[0], s.salt[:])
	if err != nil {
		return nil, err
	}
	s.aead = aead
	return s, nil
}

// deriveAEAD returns the AES-GCM cipher of the key derived from key and salt.
func deriveAEAD(key, salt []byte) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, hkdfInfo, KeyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "derive cursor key")
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, errors.Wrap(err, "create cursor cipher")
	}
	return cipher.NewGCM(block)
}

// AppendSeal seals c and appends its text to dst.
func (s *Sealer) AppendSeal(dst []byte, c *Cursor) []byte {
	s.counter++
	s.plaintext = appendCursor(s.plaintext[:0], c)
	s.sealed = append(s.sealed[:0], formatVersion)
	s.sealed = append(s.sealed, s.salt[:]...)
	s.sealed = binary.BigEndian.AppendUint64(s.sealed, s.counter)
	var nonce [12]byte
	binary.BigEndian.PutUint64(nonce[4:], s.counter)
	s.sealed = s.aead.Seal(s.sealed, nonce[:], s.plaintext, s.sealed[:headerBytes])
	return base64.RawURLEncoding.AppendEncode(dst, s.sealed)
}

// Open decrypts and decodes a cursor. It returns ErrInvalid if text is not a valid cursor under any key of the keyring.
// Use Check to verify caller, body hash and deadline.
func (k *Keyring) Open(text string) (*Cursor, error) {
	if len(text) > maxTextBytes {
		return nil, errors.Wrap(ErrInvalid, "text too long")
	}
	// Strict rejects non-zero trailing bits, so that a cursor has only one base64 text.
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) < headerBytes || sealed[0] != formatVersion {
		return nil, errors.Wrap(ErrInvalid, "malformed")
	}
	var nonce [12]byte
	copy(nonce[4:], sealed[1+saltBytes:headerBytes])
	for _, key := range k.keys {
		aead, err := deriveAEAD(key, sealed[1:1+saltBytes])
		if err != nil {
			return nil, err
		}
		plaintext, err := aead.Open(nil, nonce[:], sealed[headerBytes:], sealed[:headerBytes])
		if err == nil {
			return parseCursor(plaintext)
		}
	}
	return nil, errors.Wrap(ErrInvalid, "authentication failed with every key")
}

// Check returns ErrInvalid unless the cursor was issued for the given caller and request body and its deadline is after
// now.
func (c *Cursor) Check(caller string, bodyHash [sha256.Size]byte, now core.Micros) error {
	switch {
	case c.Caller != caller:
		return errors.Wrap(ErrInvalid, "issued for another caller")
	case c.BodyHash != bodyHash:
		return errors.Wrap(ErrInvalid, "issued for another request body")
	case now >= c.Deadline:
		return errors.Wrap(ErrInvalid, "deadline has passed")
	}
	return nil
}

// String returns only the request ID, so that logs do not expose the other contents.
func (c *Cursor) String() string { return fmt.Sprintf("cursor(request=%s)", c.RequestID) }
