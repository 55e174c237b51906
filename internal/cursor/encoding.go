package cursor

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/carobstile/carobstile/internal/core"
)

// Field numbers of the plaintext in protobuf wire format. Unknown bytes and varint fields are ignored, so that fields can
// be added without invalidating cursors in use.
const (
	fieldRequestID protowire.Number = iota + 1
	fieldCaller
	fieldBodyHash
	fieldDelivered
	fieldModel
	fieldVersion
	fieldSeed
	fieldEngine
	fieldAttempt
	fieldDeadline
)

func appendCursor(b []byte, c *Cursor) []byte {
	b = appendString(b, fieldRequestID, c.RequestID)
	b = appendString(b, fieldCaller, c.Caller)
	b = protowire.AppendTag(b, fieldBodyHash, protowire.BytesType)
	b = protowire.AppendBytes(b, c.BodyHash[:])
	b = appendVarint(b, fieldDelivered, uint64(c.Delivered))
	b = appendString(b, fieldModel, c.Model)
	b = appendString(b, fieldVersion, c.Version)
	b = appendVarint(b, fieldSeed, c.Seed)
	b = appendString(b, fieldEngine, c.Engine)
	b = appendVarint(b, fieldAttempt, uint64(c.Attempt))
	return appendVarint(b, fieldDeadline, uint64(c.Deadline))
}

func appendString(b []byte, n protowire.Number, v string) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendString(b, v)
}

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func parseCursor(b []byte) (*Cursor, error) {
	c := &Cursor{}
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, errors.Wrap(ErrInvalid, "malformed field tag")
		}
		b = b[n:]
		switch kind {
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 || !c.setBytes(number, v) {
				return nil, errors.Wrap(ErrInvalid, "malformed bytes field")
			}
			b = b[n:]
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, errors.Wrap(ErrInvalid, "malformed varint field")
			}
			c.setVarint(number, v)
			b = b[n:]
		default:
			return nil, errors.Wrap(ErrInvalid, "unsupported wire type")
		}
	}
	return c, nil
}

// setBytes sets a field and returns false if the body hash has the wrong length.
func (c *Cursor) setBytes(number protowire.Number, v []byte) bool {
	switch number {
	case fieldRequestID:
		c.RequestID = string(v)
	case fieldCaller:
		c.Caller = string(v)
	case fieldModel:
		c.Model = string(v)
	case fieldVersion:
		c.Version = string(v)
	case fieldEngine:
		c.Engine = string(v)
	case fieldBodyHash:
		return copy(c.BodyHash[:], v) == sha256.Size && len(v) == sha256.Size
	}
	return true
}

func (c *Cursor) setVarint(number protowire.Number, v uint64) {
	switch number {
	case fieldDelivered:
		c.Delivered = int(v)
	case fieldSeed:
		c.Seed = v
	case fieldAttempt:
		c.Attempt = int(v)
	case fieldDeadline:
		c.Deadline = core.Micros(v)
	}
}
