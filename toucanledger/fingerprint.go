// Package toucanledger decides whether an order with an idempotency key is new or a repeat, and how long its record
// and outcome are retained. It does no I/O; package toucanorder commits its decisions to the store.
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
	// uuidLength is the length of a UUID's text form, including its four hyphens.
	uuidLength = 36
	// uuidTimeDigits is the number of leading hex digits that hold the Unix milliseconds of a version 7 UUID.
	uuidTimeDigits    = 12
	uuidVersionOffset = uuidTimeDigits + 1 + 1
)

// Fingerprint identifies an order. It is a truncated cryptographic hash, so that no workspace can choose a key that
// collides with another workspace's order.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of an idempotency key within a workspace and service.
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

// Shard returns the index, out of n shards, of the shard that holds the order.
func (f Fingerprint) Shard(n int) int {
	return int(binary.BigEndian.Uint32(f[:]) % uint32(n))
}

// KeyTime returns the creation time in a key that is a version 7 UUID, and the zero time for any other key.
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
