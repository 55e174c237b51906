package cursor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against text from a caller that makes the gate panic or is accepted although no key of the keyring sealed it.
func FuzzOpen(f *testing.F) {
	keyring, err := NewKeyring([][]byte{make([]byte, 32)})
	require.NoError(f, err)
	for _, seed := range []string{"", "AA", "AS2nvj9HT9AiZKWkKrKUlo0AAAAAAAAAEJH3", "~~~~"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := keyring.Open(text); err == nil {
			t.Fatalf("opened %q as %+v", text, c)
		}
	})
}
