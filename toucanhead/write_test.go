package toucanhead

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
)

// newPipe returns a connection of a gate, and its caller's end, without any buffer between them.
func newPipe(t *testing.T) (c *Conn, caller net.Conn) {
	t.Helper()
	server, caller := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	return newConn(server, New(Limits{HeadBytes: func() int { return headLimit }}, func(Event) {})), caller
}

// TestReadyAnswerIsDeliveredAfterItsDeadline guards against an answer that is cut at its request's deadline although the caller reads on (LOST),
// and against a caller that reads nothing and so holds its connection after that.
func TestReadyAnswerIsDeliveredAfterItsDeadline(t *testing.T) {
	const deadline, pause = time.Second, lateTime - time.Second
	answer := bytes.Repeat([]byte("x"), 5*lateBytes)
	for _, tc := range []struct {
		name string
		// reads is the number of reads of lateBytes that the caller makes, each after pause.
		reads int
		want  error
	}{
		{"reads on", 5, nil},
		{"reads a part", 3, os.ErrDeadlineExceeded},
		{"reads nothing", 0, os.ErrDeadlineExceeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			toucanbubble.Test(t, func(t *testing.T) {
				c, caller := newPipe(t)
				assert.NilError(t, c.SetWriteDeadline(time.Now().Add(deadline)))
				go func() {
					for range tc.reads {
						time.Sleep(pause)
						_, _ = io.ReadFull(caller, make([]byte, lateBytes))
					}
				}()
				n, err := c.Write(answer)
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Equal(t, n, tc.reads*lateBytes)
				c.rest()
				go func() { _, _ = io.Copy(io.Discard, caller) }()
				_, err = c.Write(answer)
				assert.NilError(t, err, "the deadline holds for the next answer")
				_ = caller.Close()
			})
		})
	}
}
