package toucanpeer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanmirror"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

// TestSnapshotReachesPeerOverSlowLink checks that a copy is sent whole to a peer that reads 500 kB a second.
func TestSnapshotReachesPeerOverSlowLink(t *testing.T) {
	const size, readSize, readPause = 2 << 20, 50_000, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		m := &Mesh{log: (&toucanlogtest.Log{}).Logger()}
		near, far := net.Pipe()
		go m.answerSnapshot(near, StoreCopy{Values: []toucanstore.Value{{Key: "k", Body: bytes.Repeat([]byte("x"), size)}}})
		assert.NilError(t, sendRequest(far, &SnapshotRequest{}))
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

// TestSnapshotLeavesOutWhatPeerHolds checks that a large value is sent only to a peer that has another one or none, also to a
// peer that does not say what it has.
func TestSnapshotLeavesOutWhatPeerHolds(t *testing.T) {
	large := toucanstore.Value{Key: "k", Body: bytes.Repeat([]byte("x"), toucanmirror.LargeBody), Revision: 9}
	older := toucanstore.Value{Key: "k", Body: bytes.Repeat([]byte("y"), toucanmirror.LargeBody), Revision: 9}
	offered := StoreCopy{Values: []toucanstore.Value{large, {Key: "s", Body: []byte("small"), Revision: 8}}, Era: 2}
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
			go (&Mesh{log: (&toucanlogtest.Log{}).Logger()}).answerSnapshot(near, offered)
			received := toucanwait.NewReader(far, func() {})
			got, err := receiveSnapshot(far, received, tc.held)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, offered)
			assert.Equal(t, received.Bytes() > toucanmirror.LargeBody, tc.whole)
		})
	}
	t.Run("silent peer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			go (&Mesh{log: (&toucanlogtest.Log{}).Logger()}).answerSnapshot(near, offered)
			s := &Snapshot{}
			assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(far), s))
			got, err := copyOf(s, nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, offered)
		})
	})
}
