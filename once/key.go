package once

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"strconv"

	"github.com/rotisserie/eris"
)

// digestBytes is the length in bytes of keys, fingerprints and claim ids, which
// are SHA-256 hashes truncated to 128 bits. The hash must be cryptographic: a
// caller who could construct a collision would receive another caller's response.
const digestBytes = 16

// ErrDigest means that a text is not 16 bytes in unpadded URL-safe base64.
var ErrDigest = eris.New("once: want 16 bytes in unpadded URL-safe base64")

type digest [digestBytes]byte

func (d digest) text() []byte {
	return base64.RawURLEncoding.AppendEncode(nil, d[:])
}

func (d *digest) setText(text []byte) error {
	raw, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(raw) != digestBytes {
		return eris.Wrapf(ErrDigest, "%q", text)
	}
	copy(d[:], raw)
	return nil
}

// Key identifies a non-repeatable request: the hash of the service, the
// caller's identity and the Idempotency-Key header.
type Key digest

// NewKey returns the key of a request. The authorization and team headers are
// part of it, so that the idempotency keys of different callers cannot collide.
func NewKey(service, authorization, team, idempotencyKey string) Key {
	return Key(hashParts("key", service, authorization, team, idempotencyKey))
}

// String returns the key in URL-safe base64.
func (k Key) String() string { return string(digest(k).text()) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return digest(k).text(), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return (*digest)(k).setText(text) }

// Fingerprint is the hash of a request's method, path and body. It detects an
// idempotency key that is reused for a different request.
type Fingerprint digest

// NewFingerprint returns the fingerprint of a request. The path includes the
// query string.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	return Fingerprint(hashParts("fingerprint", method, path, string(body)))
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return digest(f).text(), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error { return (*digest)(f).setText(text) }

// ClaimID identifies one claim of one process.
type ClaimID digest

// NewClaimID returns the id of a process's claim with the given sequence
// number. It is unique because the incarnation of each process is.
func NewClaimID(incarnation string, sequence uint64) ClaimID {
	return ClaimID(hashParts("claim", incarnation, strconv.FormatUint(sequence, 10)))
}

// IsZero reports whether the id is unset.
func (c ClaimID) IsZero() bool { return c == ClaimID{} }

// String returns the id in URL-safe base64.
func (c ClaimID) String() string { return string(digest(c).text()) }

// MarshalText implements encoding.TextMarshaler.
func (c ClaimID) MarshalText() ([]byte, error) { return digest(c).text(), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *ClaimID) UnmarshalText(text []byte) error { return (*digest)(c).setText(text) }

// PartitionOf returns the index of a key's partition, from 0 to partitions-1.
// The number of partitions of a service must not change while it has records,
// because keys would then map to partitions that do not hold their records.
func PartitionOf(key Key, partitions int) int {
	return int(binary.BigEndian.Uint64(key[:8]) % uint64(max(partitions, 1)))
}

// ObjectName returns the name of the platform object that holds a partition.
func ObjectName(service string, partition int) string {
	return "once/" + service + "/" + strconv.Itoa(partition)
}

// hashParts hashes each part with its length, so that different lists of parts
// never have the same encoding.
func hashParts(parts ...string) digest {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	var sum digest
	copy(sum[:], h.Sum(nil))
	return sum
}

func writePart(h hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write([]byte(part))
}
