package cursor

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
)

func key(b byte) []byte { return bytes.Repeat([]byte{b}, KeyBytes) }

func keyring(t testing.TB, keys ...[]byte) *Keyring {
	k, err := NewKeyring(keys)
	require.NoError(t, err)
	return k
}

func testCursor() *Cursor {
	return &Cursor{
		RequestID: "r1", Caller: "trust", BodyHash: sha256.Sum256([]byte("body")), Delivered: 7, Model: "m1",
		Version: "3", Seed: 1 << 63, Engine: "e1", Attempt: 2, Deadline: 90 * core.Second,
	}
}

func seal(t testing.TB, k *Keyring, c *Cursor) string {
	s, err := k.NewSealer(rand.Reader)
	require.NoError(t, err)
	return string(s.AppendSeal(nil, c))
}

// Guards against fields lost between sealing and opening, and against a key rotation that invalidates cursors in use.
func TestCursorOpensWithAnyConfiguredKey(t *testing.T) {
	text := seal(t, keyring(t, key(1)), testCursor())
	got, err := keyring(t, key(2), key(1)).Open(text)
	require.NoError(t, err)
	require.Equal(t, testCursor(), got)
	_, err = keyring(t, key(2)).Open(text)
	require.ErrorIs(t, err, ErrInvalid)
}

// Guards against accepting a cursor that a caller has altered, truncated or forged.
func TestAlteredCursorsAreInvalid(t *testing.T) {
	k := keyring(t, key(1))
	text := seal(t, k, testCursor())
	for i := range text {
		altered := []byte(text)
		altered[i] ^= 1
		_, err := k.Open(string(altered))
		require.ErrorIs(t, err, ErrInvalid, "byte %d", i)
		_, err = k.Open(text[:i])
		require.ErrorIs(t, err, ErrInvalid, "cut at %d", i)
	}
	_, err := k.Open(text + "A")
	require.ErrorIs(t, err, ErrInvalid)
	_, err = k.Open(string(make([]byte, 1<<20)))
	require.ErrorIs(t, err, ErrInvalid)
}

// Guards against resuming a response of another caller or another prompt, or one past its deadline.
func TestCheckRejectsForeignAndExpiredCursors(t *testing.T) {
	c := testCursor()
	require.NoError(t, c.Check("trust", c.BodyHash, c.Deadline-1))
	require.ErrorIs(t, c.Check("norrvik", c.BodyHash, 0), ErrInvalid)
	require.ErrorIs(t, c.Check("trust", sha256.Sum256([]byte("other")), 0), ErrInvalid)
	require.ErrorIs(t, c.Check("trust", c.BodyHash, c.Deadline), ErrInvalid)
}

// Guards against reuse of a nonce under one key, which would break the encryption.
func TestSealsAreDistinct(t *testing.T) {
	k := keyring(t, key(1))
	s, err := k.NewSealer(rand.Reader)
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 1000 {
		seen[string(s.AppendSeal(nil, testCursor()))] = true
	}
	seen[seal(t, k, testCursor())] = true
	require.Len(t, seen, 1001)
}

// Guards against missing or short keys in the settings.
func TestKeyringRefusesBadKeys(t *testing.T) {
	_, err := NewKeyring(nil)
	require.Error(t, err)
	_, err = NewKeyring([][]byte{key(1), key(2)[:16]})
	require.ErrorContains(t, err, "key 1 has 16 bytes")
}

// BenchmarkSeal measures sealing the cursor of one token.
func BenchmarkSeal(b *testing.B) {
	s, err := keyring(b, key(1)).NewSealer(rand.Reader)
	require.NoError(b, err)
	c := testCursor()
	var buf []byte
	b.ReportAllocs()
	for i := range b.N {
		c.Delivered = i
		buf = s.AppendSeal(buf[:0], c)
	}
}
