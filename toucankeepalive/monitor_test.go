package toucankeepalive

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// smallBuffer is the size in bytes of a small receive buffer.
	smallBuffer = 4 << 10
	// longPause is longer than any time without an acknowledgement after which a peer is dead.
	longPause = 4 * time.Second
	// noticeLimit is how long a test waits for the end of a connection.
	noticeLimit = 20 * time.Second
)

// connect returns the two ends of a connection: the watched one of the server, and that of a peer whose receive buffer has a size in bytes.
func connect(t *testing.T, m *Monitor, buffer int) (watched net.Conn, peer *net.TCPConn) {
	t.Helper()
	lc := net.ListenConfig{Control: m.Control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	raw, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := m.Listen(raw)
	defer func() { _ = ln.Close() }()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	c, err := d.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	watched, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = watched.Close()
	})
	return watched, c.(*net.TCPConn)
}

// cutOff makes the kernel drop all that arrives for a connection, which so stops to acknowledge.
func cutOff(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var failed error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
	assert.NilError(t, failed)
}

// pieces are bytes that a server writes.
func pieces(count, size int) [][]byte {
	p := make([][]byte, count)
	for i := range p {
		p[i] = bytes.Repeat([]byte{byte(i)}, size)
	}
	return p
}

func writeAll(c net.Conn, ps [][]byte, gap time.Duration) error {
	for _, p := range ps {
		if _, err := c.Write(p); err != nil {
			return err
		}
		time.Sleep(gap)
	}
	return nil
}

// TestPeerThatReadsNothingKeepsItsConnection guards against a live peer with a closed window being taken for a dead one.
func TestPeerThatReadsNothingKeepsItsConnection(t *testing.T) {
	for _, tc := range []struct {
		name   string
		buffer int
		pieces [][]byte
		gap    time.Duration
	}{
		{"small window, events", smallBuffer, pieces(400, 68), 10 * time.Millisecond},
		{"smallest window, events", 1, pieces(400, 68), 10 * time.Millisecond},
		{"small window, one body", smallBuffer, pieces(1, 4<<20), 0},
		{"large window, one body", 64 << 10, pieces(1, 16<<20), 0},
		{"large window, parts", 64 << 10, pieces(4000, 2<<10), time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			deaths := make(chan Death, 1)
			c, peer := connect(t, New(WithDelivery(), WithReport(func(d Death) { deaths <- d })), tc.buffer)
			written := make(chan error, 1)
			go func() {
				written <- writeAll(c, tc.pieces, tc.gap)
				_ = c.Close()
			}()
			want := bytes.Join(tc.pieces, nil)
			var got bytes.Buffer
			for range 2 {
				_, err := io.CopyN(&got, peer, 1000)
				assert.NilError(t, err)
				time.Sleep(longPause)
			}
			_, err := io.Copy(&got, peer)
			assert.NilError(t, err)
			assert.NilError(t, <-written)
			assert.Assert(t, bytes.Equal(got.Bytes(), want), "%d of %d bytes", got.Len(), len(want))
			assert.Equal(t, len(deaths), 0)
		})
	}
}

// TestPeerThatIsCutOffIsNoticed guards against connections that stay open although their peer does not acknowledge any more. The kernel's own
// timeout is measured beside the Monitor.
func TestPeerThatIsCutOffIsNoticed(t *testing.T) {
	for _, tc := range []struct {
		name string
		// buffer is the size in bytes of the peer's receive buffer, which is full before the peer is cut off if fills is true.
		buffer int
		fills  bool
		// live is how long the peer lives, and writes is true if bytes are written after that.
		live   time.Duration
		writes bool
		kernel bool
	}{
		{name: "open window", buffer: 1 << 20, writes: true},
		{name: "open window, kernel", buffer: 1 << 20, writes: true, kernel: true},
		{name: "nothing in flight", buffer: 1 << 20},
		{name: "nothing in flight, kernel", buffer: 1 << 20, kernel: true},
		{name: "closed window", buffer: smallBuffer, fills: true, live: 500 * time.Millisecond},
		{name: "closed window, kernel", buffer: smallBuffer, fills: true, live: 500 * time.Millisecond, kernel: true},
		{name: "window closed for long", buffer: smallBuffer, fills: true, live: longPause},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := New()
			m.unsupported.Store(tc.kernel)
			c, peer := connect(t, m, tc.buffer)
			ended := make(chan error, 3) // By a read and two writes; the kernel tells one of them the cause.
			if tc.fills {
				go func() { ended <- writeAll(c, pieces(1, 4<<20), 0) }()
			}
			time.Sleep(tc.live)
			cutOff(t, peer)
			cut := time.Now()
			if tc.writes {
				go func() { ended <- writeAll(c, pieces(1000, 68), 50*time.Millisecond) }()
			}
			assert.NilError(t, c.SetReadDeadline(cut.Add(noticeLimit)))
			go func() {
				_, err := c.Read(make([]byte, 1))
				ended <- err
			}()
			err := <-ended
			if errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) {
				err = <-ended
			}
			assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), "%v", err)
			t.Logf("noticed %v after the cut", time.Since(cut).Round(time.Millisecond))
		})
	}
}

// TestCloseDeliversToAPeerThatReadsNothing guards against the loss of an answer's end, if the answer is whole and its connection is closed
// while the caller's window is closed.
func TestCloseDeliversToAPeerThatReadsNothing(t *testing.T) {
	c, peer := connect(t, New(WithDelivery()), smallBuffer)
	want := bytes.Join(pieces(8, 2<<10), nil)
	_, err := c.Write(want)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	_, err = c.Write(want)
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	time.Sleep(longPause)
	got, err := io.ReadAll(peer)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want), "%d of %d bytes", len(got), len(want))
}

// TestDeathIsReported checks what is told of a peer that was cut off while its window was closed.
func TestDeathIsReported(t *testing.T) {
	deaths := make(chan Death, 1)
	c, peer := connect(t, New(WithReport(func(d Death) { deaths <- d })), smallBuffer)
	_, err := c.Write(make([]byte, 16<<10))
	assert.NilError(t, err)
	cutOff(t, peer)
	d := <-deaths
	assert.Assert(t, d.UnackedBytes > 0 && d.WindowClosed && d.Silence >= defaultTimeout, "%+v", d)
	assert.Equal(t, d.Remote.String(), peer.LocalAddr().String())
}

// TestErrorsOfAnEndedConnection checks the errors of a connection that its peer reset and its owner closed.
func TestErrorsOfAnEndedConnection(t *testing.T) {
	c, peer := connect(t, New(), smallBuffer)
	_, err := c.Write(make([]byte, 1<<10))
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.NilError(t, c.Close())
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	assert.Assert(t, errors.Is(c.Close(), net.ErrClosed))
}
