package toucancopy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanhistory"
	"toucanport/toucanlogtest"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// TestCopyReachesReaderOverSlowLink checks that a copy is sent whole to a reader that reads 500 kB a second.
func TestCopyReachesReaderOverSlowLink(t *testing.T) {
	const size, readSize, readPause = 2 << 20, 50_000, 100 * time.Millisecond
	toucanbubble.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go answer(near, (&toucanlogtest.Log{}).Logger(), Copy{Values: []toucanstore.Value{{Key: "k", Body: bytes.Repeat([]byte("x"), size)}}})
		assert.NilError(t, sendRequest(far, &Request{}))
		buf := make([]byte, readSize)
		received := 0
		for {
			n, err := far.Read(buf)
			received += n
			if err != nil {
				assert.Equal(t, err, io.EOF)
				break
			}
			time.Sleep(readPause)
		}
		assert.Assert(t, received > size, "%d bytes", received)
	})
}

// TestCopyLeavesOutWhatReaderHolds checks that a large value is sent only to a reader that has another one or none, also to a
// reader that does not say what it has.
func TestCopyLeavesOutWhatReaderHolds(t *testing.T) {
	large := toucanstore.Value{Key: "k", Body: bytes.Repeat([]byte("x"), toucanhistory.LargeBody), Revision: 9}
	older := toucanstore.Value{Key: "k", Body: bytes.Repeat([]byte("y"), toucanhistory.LargeBody), Revision: 9}
	offered := Copy{Values: []toucanstore.Value{large, {Key: "s", Body: []byte("small"), Revision: 8}}, Era: 2}
	for _, tc := range []struct {
		name  string
		held  []toucanstore.Value
		whole bool
	}{
		{"none", nil, true},
		{"other body at the same revision", []toucanstore.Value{older}, true},
		{"same body at another revision", []toucanstore.Value{{Key: "k", Body: large.Body, Revision: 3}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := net.Pipe()
			go answer(near, (&toucanlogtest.Log{}).Logger(), offered)
			received := toucanwait.NewReader(far, func() {})
			got, err := receive(far, received, tc.held)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, offered)
			assert.Equal(t, received.Bytes() > toucanhistory.LargeBody, tc.whole)
		})
	}
	t.Run("silent reader", func(t *testing.T) {
		toucanbubble.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			go answer(near, (&toucanlogtest.Log{}).Logger(), offered)
			s := &Message{}
			assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(far), s))
			got, err := copyOf(s, nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, offered)
		})
	})
}

// TestAnnouncedSizeIsBounded guards against peers that make the entry take memory for what they only announce.
func TestAnnouncedSizeIsBounded(t *testing.T) {
	tooLarge := &protodelim.SizeTooLargeError{}
	near, far := net.Pipe()
	go func() { _, _ = far.Write(protowire.AppendVarint(nil, maxRequestBytes+1)) }()
	_, err := receiveRequest(near)
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	_, err = receive(io.Discard, bytes.NewReader(protowire.AppendVarint(nil, maxCopyBytes+1)), nil)
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}
