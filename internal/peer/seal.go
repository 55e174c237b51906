package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Layout of a sealed packet: version (1 byte), send time (8 bytes, microseconds since 1970, big endian), nonce (12
// bytes), cipher text with tag. Version and send time are authenticated with the cipher text.
//
// The send time is the wall clock and not the hybrid logical clock: one host with a fast clock may drag the hybrid clock
// of all others ahead, and must not make them reject each other's packets.
const (
	packetVersion = 1
	headerBytes   = 1 + 8
	nonceBytes    = 12
	prefixBytes   = 8
	tagBytes      = 16
	// MaxPacketBytes bounds a sealed packet, so that it fits the common path MTU without fragments.
	MaxPacketBytes = 1_200
	// MaxPlainBytes bounds the plain text of a packet.
	MaxPlainBytes = MaxPacketBytes - headerBytes - nonceBytes - tagBytes
	// maxPacketAge bounds the replay of a recorded packet; hosts are synchronised to within one second.
	maxPacketAge = 30 * time.Second
)

// Errors of sealed packets. Use errors.Is.
var (
	ErrPacketTooLarge = errors.New("packet is over 1,200 bytes")
	ErrPacketRefused  = errors.New("packet is not sealed with a cluster key")
	ErrPacketAge      = errors.New("send time of the packet is more than 30 s off")
)

// Sealer seals packets with the first cluster key and opens those sealed with any. It is safe for concurrent use.
type Sealer struct {
	aeads []cipher.AEAD
	wall  func() time.Time

	mu sync.Mutex
	// A nonce is a random prefix per process and a counter, because 360 daemons that share a key reach the bound of 2^32
	// packets for random nonces of 96 bits within days.
	prefix  [prefixBytes]byte
	counter uint32
}

// NewSealer returns a sealer for base64 cluster keys of 32 bytes.
func NewSealer(keys []string, wall func() time.Time) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errors.New("no cluster key")
	}
	s := &Sealer{wall: wall}
	for i, text := range keys {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != KeyBytes {
			return nil, errors.Newf("cluster key %d: expected %d bytes in base64", i, KeyBytes)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, errors.Wrapf(err, "cluster key %d", i)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errors.Wrapf(err, "cluster key %d", i)
		}
		s.aeads = append(s.aeads, aead)
	}
	_, err := rand.Read(s.prefix[:])
	return s, errors.Wrap(err, "nonce prefix")
}

func (s *Sealer) nonce(out []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	if s.counter == 0 {
		if _, err := rand.Read(s.prefix[:]); err != nil {
			return nil, errors.Wrap(err, "nonce prefix")
		}
	}
	out = append(out, s.prefix[:]...)
	return binary.BigEndian.AppendUint32(out, s.counter), nil
}

// Seal returns the sealed packet of a plain text.
func (s *Sealer) Seal(plain []byte) ([]byte, error) {
	if len(plain) > MaxPlainBytes {
		return nil, errors.Wrapf(ErrPacketTooLarge, "plain text of %d bytes", len(plain))
	}
	out := make([]byte, 0, headerBytes+nonceBytes+len(plain)+tagBytes)
	out = append(out, packetVersion)
	out = binary.BigEndian.AppendUint64(out, uint64(s.wall().UnixMicro()))
	out, err := s.nonce(out)
	if err != nil {
		return nil, err
	}
	header, nonce := out[:headerBytes], out[headerBytes:]
	return s.aeads[0].Seal(out, nonce, plain, header), nil
}

// Open returns the plain text of a sealed packet.
func (s *Sealer) Open(packet []byte) ([]byte, error) {
	if len(packet) > MaxPacketBytes {
		return nil, ErrPacketTooLarge
	}
	if len(packet) < headerBytes+nonceBytes+tagBytes || packet[0] != packetVersion {
		return nil, ErrPacketRefused
	}
	header, rest := packet[:headerBytes], packet[headerBytes:]
	nonce, sealed := rest[:nonceBytes], rest[nonceBytes:]
	for _, aead := range s.aeads {
		plain, err := aead.Open(nil, nonce, sealed, header)
		if err != nil {
			continue
		}
		return plain, s.checkAge(header)
	}
	return nil, ErrPacketRefused
}

func (s *Sealer) checkAge(header []byte) error {
	sent := time.UnixMicro(int64(binary.BigEndian.Uint64(header[1:])))
	if age := s.wall().Sub(sent); age > maxPacketAge || age < -maxPacketAge {
		return errors.Wrapf(ErrPacketAge, "sent at %s", sent.UTC())
	}
	return nil
}
