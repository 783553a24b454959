package toucanstream

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testSigner = NewSigner([]byte("0123456789abcdef0123456789abcdef"))

func drawID(t *rapid.T) ID {
	port := rapid.Uint16().Draw(t, "port")
	addr := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")))
	return ID{
		Address: netip.AddrPortFrom(addr, port),
		Boot:    rapid.Uint64().Draw(t, "boot"),
		Serial:  rapid.Uint64().Draw(t, "serial"),
		Chat:    rapid.Bool().Draw(t, "chat"),
	}
}

func TestVerifyRejectsIDOfAnotherWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := drawID(t)
		owner, other := rapid.String().Draw(t, "owner"), rapid.String().Draw(t, "other")
		text := testSigner.Sign(id, owner)
		got, err := testSigner.Verify(text, owner)
		assert.NilError(t, err)
		assert.Equal(t, got, id)
		if other != owner {
			_, err = testSigner.Verify(text, other)
			assert.Assert(t, errors.Is(err, ErrForeignID))
		}
		_, err = NewSigner([]byte("another secret")).Verify(text, owner)
		assert.Assert(t, errors.Is(err, ErrForeignID))
	})
}

func TestVerifyRejectsModifiedID(t *testing.T) {
	text := testSigner.Sign(ID{Address: netip.MustParseAddrPort("10.0.1.1:7000"), Boot: 1, Serial: 2}, "w")
	for i := range len(text) {
		changed := []byte(text)
		if changed[i] == 'A' {
			changed[i] = 'B'
		} else {
			changed[i] = 'A'
		}
		_, err := testSigner.Verify(string(changed), "w")
		assert.Assert(t, errors.Is(err, ErrForeignID), "%d", i)
	}
}

// FuzzVerify checks that Verify accepts only the issued id and returns ErrForeignID for all other input.
func FuzzVerify(f *testing.F) {
	issued := testSigner.Sign(ID{Address: netip.MustParseAddrPort("[::1]:7000"), Boot: 1, Serial: 2, Chat: true}, "w")
	for _, seed := range []string{"", issued, issued + "A", issued[1:], "AQ", "\x00", "====", "-_-_"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := testSigner.Verify(text, "w")
		if err == nil && text != issued {
			t.Fatalf("id %q was accepted", text)
		}
		if err != nil && !errors.Is(err, ErrForeignID) {
			t.Fatal(err)
		}
	})
}
