// Package toucanstream provides the id and the token buffer that make a generation resumable.
package toucanstream

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// ErrForeignID is returned for an id that was not issued to the given workspace, or not issued at all.
var ErrForeignID = errors.New("generation id does not belong to this workspace")

const (
	idVersion = 1
	macBytes  = 16
	// idFixedBytes are the version, form, boot id and serial.
	idFixedBytes = 1 + 1 + 8 + 8
	maxIDBytes   = 96
)

// ID identifies one generation at one endpoint. Its text form contains a MAC over the id and the workspace, so that an
// id can be checked without a lookup and no other workspace can use it.
type ID struct {
	// Address is the internal listener of the sidecar that holds the generation.
	Address netip.AddrPort
	// Boot is the boot id of the entry that issued the id.
	Boot uint64
	// Serial is unique within Boot.
	Serial uint64
	// Chat is true if responses to the caller use the chat format.
	Chat bool
}

// Signer signs and verifies generation ids. It is safe for concurrent use.
type Signer struct{ secret []byte }

// NewSigner returns a signer with the given secret, which all entries and sidecars must share.
func NewSigner(secret []byte) *Signer { return &Signer{secret: secret} }

// Sign returns the text form of id for a workspace.
func (s *Signer) Sign(id ID, workspace string) string {
	b := appendID(make([]byte, 0, 64), id)
	b = append(b, s.mac(b, workspace)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Verify parses text and checks that it was issued to workspace. Every failure returns ErrForeignID, so that a caller
// cannot distinguish a malformed id from another workspace's id.
func (s *Signer) Verify(text, workspace string) (ID, error) {
	if len(text) > base64.RawURLEncoding.EncodedLen(maxIDBytes) {
		return ID{}, ErrForeignID
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < idFixedBytes+macBytes {
		return ID{}, ErrForeignID
	}
	// The decoder ignores line breaks. Reject them, so that each id has exactly one text form.
	if strings.ContainsAny(text, "\r\n") {
		return ID{}, ErrForeignID
	}
	payload, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if subtle.ConstantTimeCompare(mac, s.mac(payload, workspace)) != 1 {
		return ID{}, ErrForeignID
	}
	return parseID(payload)
}

func (s *Signer) mac(payload []byte, workspace string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write(payload)
	h.Write([]byte(workspace))
	return h.Sum(nil)[:macBytes]
}

func appendID(b []byte, id ID) []byte {
	b = append(b, idVersion, form(id.Chat))
	b = binary.BigEndian.AppendUint64(b, id.Boot)
	b = binary.BigEndian.AppendUint64(b, id.Serial)
	addr, _ := id.Address.MarshalBinary() // never fails
	return append(b, addr...)
}

// Values of the form byte, which encodes ID.Chat.
const (
	completionForm = 0
	chatForm       = 1
)

func form(chat bool) byte {
	if chat {
		return chatForm
	}
	return completionForm
}

func parseID(b []byte) (ID, error) {
	if b[0] != idVersion {
		return ID{}, ErrForeignID
	}
	id := ID{
		Chat:   b[1] == chatForm,
		Boot:   binary.BigEndian.Uint64(b[2:]),
		Serial: binary.BigEndian.Uint64(b[10:]),
	}
	if err := id.Address.UnmarshalBinary(b[idFixedBytes:]); err != nil {
		return ID{}, ErrForeignID
	}
	return id, nil
}
