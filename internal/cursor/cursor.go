// Package cursor seals the resume cursors that callers get as the id of each SSE event. A cursor lets any gate with the
// same keys continue a stream whose gate died, without shared state.
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

// Layout of a sealed cursor: version, salt, counter, cipher text with tag; in URL-safe base64 without padding.
const (
	formatVersion = 1
	saltBytes     = 16
	counterBytes  = 8
	headerBytes   = 1 + saltBytes + counterBytes
	// maxSealedBytes bounds the text that Open looks at.
	maxSealedBytes = 2048
)

// hkdfInfo separates the keys of cursors from other uses of the same secret.
const hkdfInfo = "carobstile cursor v1"

// ErrInvalid is returned for every cursor that no key opens or that has no valid contents; the reason is not told to
// callers.
var ErrInvalid = errors.New("cursor is invalid")

// Cursor is the state of an answer after a token.
type Cursor struct {
	RequestID string
	Caller    string
	// BodyHash is the SHA-256 of the request body.
	BodyHash [sha256.Size]byte
	// Delivered is the number of tokens that the caller has with this event.
	Delivered int
	Model     string
	Version   string
	Seed      uint64
	// Engine that served the attempt.
	Engine  string
	Attempt int
	// Deadline by the wall clock of the gate that admitted the request.
	Deadline core.Micros
}

// Keyring holds the cursor keys of a deployment. It is immutable.
type Keyring struct {
	keys [][]byte
}

// NewKeyring returns a keyring of keys of KeyBytes bytes each: the first seals, all open.
func NewKeyring(keys [][]byte) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("no cursor key is given")
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
// Each sealer has an AES key of its own, derived from the keyring and a random salt, and counts its nonces. Random
// nonces under one key would pass the bound of 2^32 messages within an hour at 1.1 million tokens a second.
type Sealer struct {
	aead    cipher.AEAD
	salt    [saltBytes]byte
	counter uint64
	plain   []byte
	sealed  []byte
}

// NewSealer returns a sealer with a salt read from random.
func (k *Keyring) NewSealer(random io.Reader) (*Sealer, error) {
	s := &Sealer{}
	if _, err := io.ReadFull(random, s.salt[:]); err != nil {
		return nil, errors.Wrap(err, "read salt")
	}
	aead, err := derive(k.keys[0], s.salt[:])
	if err != nil {
		return nil, err
	}
	s.aead = aead
	return s, nil
}

func derive(key, salt []byte) (cipher.AEAD, error) {
	sub, err := hkdf.Key(sha256.New, key, salt, hkdfInfo, KeyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "derive cursor key")
	}
	block, err := aes.NewCipher(sub)
	if err != nil {
		return nil, errors.Wrap(err, "cursor cipher")
	}
	return cipher.NewGCM(block)
}

// AppendSeal appends the sealed cursor to dst.
func (s *Sealer) AppendSeal(dst []byte, c *Cursor) []byte {
	s.counter++
	s.plain = appendCursor(s.plain[:0], c)
	s.sealed = append(s.sealed[:0], formatVersion)
	s.sealed = append(s.sealed, s.salt[:]...)
	s.sealed = binary.BigEndian.AppendUint64(s.sealed, s.counter)
	var nonce [12]byte
	binary.BigEndian.PutUint64(nonce[4:], s.counter)
	s.sealed = s.aead.Seal(s.sealed, nonce[:], s.plain, s.sealed[:headerBytes])
	return base64.RawURLEncoding.AppendEncode(dst, s.sealed)
}

// Open returns the cursor that text holds, or ErrInvalid. The caller checks caller, body hash and deadline with Check.
func (k *Keyring) Open(text string) (*Cursor, error) {
	if len(text) > maxSealedBytes {
		return nil, errors.Wrap(ErrInvalid, "too long")
	}
	// Strict rejects trailing bits that no cursor has, so that one cursor has one text.
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) < headerBytes || sealed[0] != formatVersion {
		return nil, errors.Wrap(ErrInvalid, "malformed")
	}
	var nonce [12]byte
	copy(nonce[4:], sealed[1+saltBytes:headerBytes])
	for _, key := range k.keys {
		aead, err := derive(key, sealed[1:1+saltBytes])
		if err != nil {
			return nil, err
		}
		plain, err := aead.Open(nil, nonce[:], sealed[headerBytes:], sealed[:headerBytes])
		if err == nil {
			return parseCursor(plain)
		}
	}
	return nil, errors.Wrap(ErrInvalid, "no key opens it")
}

// Check returns ErrInvalid unless the cursor belongs to the caller and the body and its deadline is ahead.
func (c *Cursor) Check(caller string, bodyHash [sha256.Size]byte, now core.Micros) error {
	switch {
	case c.Caller != caller:
		return errors.Wrap(ErrInvalid, "it belongs to another caller")
	case c.BodyHash != bodyHash:
		return errors.Wrap(ErrInvalid, "it belongs to another request body")
	case now >= c.Deadline:
		return errors.Wrap(ErrInvalid, "its deadline has passed")
	}
	return nil
}

// String keeps the contents out of logs.
func (c *Cursor) String() string { return fmt.Sprintf("cursor(request=%s)", c.RequestID) }
