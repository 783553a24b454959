package toucanupstream

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// acceptAndReset resets accepted connections until the listener is closed. If n is positive, it closes the listener before
// it resets connection n.
func acceptAndReset(l net.Listener, n int) {
	for i := 1; ; i++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if i == n {
			_ = l.Close()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestListenerThatOutlivesItsConnectionsHasEnded checks that a process is taken for ended when its listener closes after a
// further connection, and that one that is stopped or has too many connections is not.
func TestListenerThatOutlivesItsConnectionsHasEnded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		endWait time.Duration
		play    func(net.Listener)
		want    bool
	}{
		{"refuses", time.Minute, func(l net.Listener) { _ = l.Close() }, true},
		{"closes its listener last", time.Minute, func(l net.Listener) { go acceptAndReset(l, 1) }, true},
		{"is stopped", time.Millisecond, func(net.Listener) {}, false},
		{"has too many connections", time.Minute, func(l net.Listener) { go acceptAndReset(l, 0) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			tc.play(l)
			assert.Equal(t, NewPool(WithEndWait(tc.endWait)).HasEnded(t.Context(), l.Addr().String()), tc.want)
		})
	}
}
