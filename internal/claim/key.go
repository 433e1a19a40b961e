package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"
	"time"

	"github.com/google/uuid"
)

// Key identifies one call that must not be executed twice. All its fields together make the key: the
// same Idempotency-Key with another path is another call.
type Key struct {
	Organisation   string `json:"organisation"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
}

// idBytes is the length of an ID.
const idBytes = 16

// ID is a truncated SHA-256 digest of a Key. A cryptographic digest prevents an organisation from
// constructing a key that collides with a key of another organisation.
type ID [idBytes]byte

// ID returns the digest of the key. The fields are length-prefixed, so that different keys never
// have the same input.
func (k Key) ID() ID {
	h := sha256.New()
	writeField(h, k.Organisation)
	writeField(h, k.IdempotencyKey)
	writeField(h, k.Method)
	writeField(h, k.Path)
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}

// shard returns the shard of the key among count shards.
func (id ID) shard(count int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(count))
}

// fingerprint is what is kept of a key once its record is dropped. It shares no bits with the
// choice of the shard.
func (id ID) fingerprint() uint64 {
	return binary.BigEndian.Uint64(id[8:])
}

// MarshalText encodes the ID as unpadded base64.
func (id ID) MarshalText() ([]byte, error) {
	text := make([]byte, base64.RawURLEncoding.EncodedLen(idBytes))
	base64.RawURLEncoding.Encode(text, id[:])
	return text, nil
}

// UnmarshalText decodes the form that MarshalText returns.
func (id *ID) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("claim id: %w", err)
	}
	if len(raw) != idBytes {
		return fmt.Errorf("claim id: %d bytes, want %d", len(raw), idBytes)
	}
	copy(id[:], raw)
	return nil
}

// isTooOld reports whether the idempotency key is a UUIDv7 with a timestamp so far in the past that
// its fingerprint may already have been dropped. The age of other keys is not known.
func (k Key) isTooOld(now time.Time) bool {
	id, err := uuid.Parse(k.IdempotencyKey)
	if err != nil || id.Version() != 7 {
		return false
	}
	made := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	return now.Sub(made) >= FingerprintTTL-MaxClockSkew
}
