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

// Layout of a sealed packet: version (1 byte), send time (8 bytes, microseconds since the Unix epoch, big endian),
// nonce (12 bytes), ciphertext with authentication tag. The version and the send time are authenticated as associated
// data.
//
// The send time is taken from the wall clock, not from the hybrid logical clock: one host with a fast clock may advance
// the hybrid clocks of all others, which must not make them reject each other's packets.
const (
	packetVersion = 1
	headerBytes   = 1 + 8
	nonceBytes    = 12
	prefixBytes   = 8
	tagBytes      = 16
	// MaxPacketBytes is the maximum size of a sealed packet, which fits the common path MTU without fragmentation.
	MaxPacketBytes = 1_200
	// MaxPlainBytes is the maximum size of the plaintext of a packet.
	MaxPlainBytes = MaxPacketBytes - headerBytes - nonceBytes - tagBytes
	// maxPacketAge limits how long a recorded packet can be replayed. Host clocks are synchronised to within one second.
	maxPacketAge = 30 * time.Second
)

// Errors returned by Sealer. Compare them with errors.Is.
var (
	ErrPacketTooLarge = errors.New("packet is over 1,200 bytes")
	ErrPacketRefused  = errors.New("packet is not sealed with a cluster key")
	ErrPacketAge      = errors.New("send time of the packet is more than 30 s off")
)

// Sealer encrypts packets with the first cluster key and decrypts packets that were sealed with any of the keys. It is
// safe for concurrent use.
type Sealer struct {
	aeads []cipher.AEAD
	wall  func() time.Time

	mu sync.Mutex
	// A nonce consists of a random prefix per process and a counter. With random nonces of 96 bits, 360 daemons that share
	// a key would reach the safe limit of 2^32 packets within days.
	prefix  [prefixBytes]byte
	counter uint32
}

// NewSealer returns a sealer for base64-encoded cluster keys of 32 bytes. wall returns the wall clock time.
func NewSealer(keys []string, wall func() time.Time) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errors.New("no cluster key given, expected at least one")
	}
	s := &Sealer{wall: wall}
	for i, encoded := range keys {
		key, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || len(key) != KeyBytes {
			return nil, errors.Newf("cluster key %d: expected %d bytes encoded as base64", i, KeyBytes)
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
	return s, errors.Wrap(err, "generate nonce prefix")
}

func (s *Sealer) nonce(out []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	if s.counter == 0 {
		if _, err := rand.Read(s.prefix[:]); err != nil {
			return nil, errors.Wrap(err, "generate nonce prefix")
		}
	}
	out = append(out, s.prefix[:]...)
	return binary.BigEndian.AppendUint32(out, s.counter), nil
}

// Seal encrypts and authenticates a plaintext and returns the packet.
func (s *Sealer) Seal(plain []byte) ([]byte, error) {
	if len(plain) > MaxPlainBytes {
		return nil, errors.Wrapf(ErrPacketTooLarge, "plaintext of %d bytes", len(plain))
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

// Open authenticates and decrypts a packet and returns its plaintext. It fails if the send time differs from the wall
// clock by more than maxPacketAge.
func (s *Sealer) Open(packet []byte) ([]byte, error) {
	if len(packet) > MaxPacketBytes {
		return nil, ErrPacketTooLarge
	}
	if len(packet) < headerBytes+nonceBytes+tagBytes || packet[0] != packetVersion {
		return nil, ErrPacketRefused
	}
	header, rest := packet[:headerBytes], packet[headerBytes:]
	nonce, ciphertext := rest[:nonceBytes], rest[nonceBytes:]
	for _, aead := range s.aeads {
		plain, err := aead.Open(nil, nonce, ciphertext, header)
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
