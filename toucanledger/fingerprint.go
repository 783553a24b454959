// Package toucanledger decides about orders under a key: which are new, which are repeats, and what is kept of
// them for how long. It is pure; toucanorder commits its decisions to the store.
package toucanledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	fingerprintBytes = 16
	// uuidLength is that of the text form of a UUID, with its four hyphens.
	uuidLength = 36
	// uuidTimeDigits hold the milliseconds of a version 7 UUID.
	uuidTimeDigits    = 12
	uuidVersionOffset = uuidTimeDigits + 1 + 1
)

// Fingerprint identifies an order. It is cut from a cryptographic digest, so that no workspace can choose a key
// that meets another's order.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of an idempotency key, which is unique to a workspace and service.
func NewFingerprint(team, workspace, service, key string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{team, workspace, service, key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Shard returns which of n shards holds the order.
func (f Fingerprint) Shard(n int) int {
	return int(binary.BigEndian.Uint32(f[:]) % uint32(n))
}

// KeyTime returns the time that a version 7 UUID carries, and the zero time for every other key.
func KeyTime(key string) time.Time {
	if len(key) != uuidLength || key[uuidVersionOffset] != '7' {
		return time.Time{}
	}
	digits := strings.ReplaceAll(key, "-", "")
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != fingerprintBytes {
		return time.Time{}
	}
	millis := binary.BigEndian.Uint64(raw) >> 16
	return time.UnixMilli(int64(millis))
}
