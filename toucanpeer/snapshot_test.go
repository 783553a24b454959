package toucanpeer

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanlogtest"
	"toucanport/toucanstore"
)

// TestSnapshotReachesPeerOverSlowLink checks that a copy is sent whole to a peer that reads 500 kB a second.
func TestSnapshotReachesPeerOverSlowLink(t *testing.T) {
	const size, readSize, readPause = 2 << 20, 50_000, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		m := &Mesh{log: (&toucanlogtest.Log{}).Logger()}
		near, far := net.Pipe()
		go m.sendSnapshot(near, StoreCopy{Values: []toucanstore.Value{{Key: "k", Body: bytes.Repeat([]byte("x"), size)}}})
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
