package toucanhead

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanbody"
	"toucanport/toucanscan"
)

// phase is the part of the caller's bytes that comes next.
type phase int

const (
	// phaseHead is the head of a request.
	phaseHead phase = iota
	// phaseUnknown follows a head until the server says how long the body is.
	phaseUnknown
	phaseSized
	phaseChunked
	// phaseRest is a body up to the end of the connection.
	phaseRest
	// phaseRefused means that the connection carries no more requests.
	phaseRefused
)

// Conn is a caller's connection, whose bytes it counts before a server reads them. The bytes of one Read never belong to two requests.
type Conn struct {
	net.Conn
	gate *Gate
	// place is guarded by gate.mu.
	place place

	mu    sync.Mutex
	phase phase
	// head is the scan of the current or the next head, and headWeight the weight of the head of the request in service.
	head       toucanscan.Lines
	headWeight int
	chunks     toucanscan.Chunks
	// left is the number of bytes that are left of a body of known length.
	left int64
	// held is what the head and the trailer of the request hold of the gate's memory, until the request ends.
	held *toucanbody.Reservation
	// serving is true from the beginning of a request's service until its answer is sent.
	serving bool
	// answered is true once the handler has returned, until the next request; also after a refusal of the head.
	answered bool
	// timedOut is true once a read of the request's body took too long.
	timedOut bool
	// spent is true if the answer was sent before the end of the body and the server waits for another request.
	spent bool
	// lingers is true once the server has closed the connection and it is kept until the caller has sent or read the rest.
	lingers bool
	// abortive is true if Close resets the connection.
	abortive bool
	// hijacked is true once the connection is the handler's, so that the server does not act on it any more.
	hijacked bool
	// early holds bytes that the server read before it said how long the body is.
	early []byte
	// retired is true from the time at which the connection is to end unless bytes arrive, until they do.
	retired bool
	// bounded is true while the answer has a deadline.
	bounded bool
	// pending holds bytes that were read from the caller and not yet passed on. They lie in buffer.
	pending, buffer []byte
}

func newConn(raw net.Conn, g *Gate) *Conn {
	return &Conn{Conn: raw, gate: g, head: toucanscan.NewHead(), held: g.memory.Reservation(freeWeight)}
}

// Read implements net.Conn. The server makes one call at a time.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, again, err := c.fill(p)
	if n == 0 {
		return 0, err
	}
	c.mu.Lock()
	c.begun()
	k, why, err := c.count(p[:n])
	if again {
		c.pending = c.pending[k:]
	} else {
		c.keep(p[k:n])
	}
	head, serving := c.head, c.serving
	c.mu.Unlock()
	if why != "" {
		c.refuse(why, head, serving)
		return 0, io.EOF
	}
	return k, err
}

// fill copies bytes that are pending, which stay so, or else reads some. It returns true for pending ones.
func (c *Conn) fill(p []byte) (n int, again bool, err error) {
	c.mu.Lock()
	switch {
	case c.phase == phaseRefused, c.spent, c.phase == phaseUnknown && len(p) > 1:
		// A server that does not say how long the body is, and reads on, has answered the request on its own.
		c.mu.Unlock()
		return 0, false, io.EOF
	case c.phase == phaseSized:
		p = p[:min(int64(len(p)), c.left)]
	}
	n = copy(p, c.pending)
	c.mu.Unlock()
	if n > 0 {
		return n, true, nil
	}
	n, err = c.readCaller(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.timedOut = true
		c.mu.Unlock()
	}
	return n, false, err
}

// keep keeps bytes that were read and may not be passed on yet. The caller holds c.mu.
func (c *Conn) keep(p []byte) {
	c.buffer = append(c.buffer[:0], p...)
	c.pending = c.buffer
}

// count counts bytes that were read and returns how many of them may be passed on: those up to the end of the head or of the body, which
// are at least one. The reason is not empty if the head is refused. The caller holds c.mu.
func (c *Conn) count(p []byte) (n int, why Reason, err error) {
	switch c.phase {
	case phaseHead:
		return c.countHead(p)
	case phaseUnknown:
		c.early = append(c.early, p...)
	case phaseSized:
		n = int(min(c.left, int64(len(p))))
		c.left -= int64(n)
		if c.left == 0 {
			c.expectHead()
		}
		return n, "", nil
	case phaseChunked:
		return c.countChunks(p)
	case phaseRefused:
		return 0, "", io.EOF
	}
	return len(p), "", nil
}

// expectHead begins the head of the next request.
func (c *Conn) expectHead() { c.phase, c.head = phaseHead, toucanscan.NewHead() }

func (c *Conn) countHead(p []byte) (n int, why Reason, err error) {
	first := c.head.Bytes == 0
	n, ended := c.head.Scan(p)
	if first && !ended && !c.serving && !c.gate.begin(c) {
		return 0, "", net.ErrClosed // A whole head goes into service at once, below.
	}
	switch {
	case c.head.Bytes > c.gate.limits.HeadBytes()+extraBytes:
		why = ReasonTooLarge
	case !c.held.Cover(weight(c.head.Bytes, c.head.Lines)):
		why = ReasonNoMemory
	}
	if why == "" && ended {
		c.phase, c.headWeight = phaseUnknown, weight(c.head.Bytes, c.head.Lines)
		if err = c.gate.finish(c); errors.Is(err, errFull) {
			why, err = ReasonConnections, nil
		}
	}
	if why != "" || err != nil {
		c.phase = phaseRefused
	}
	if err != nil {
		return 0, "", err // The connection was closed to make room, so that the server must not see the end of the head.
	}
	return n, why, nil
}

func (c *Conn) countChunks(p []byte) (n int, why Reason, err error) {
	n, ended, err := c.chunks.Scan(p)
	if err != nil {
		// The server sees that the body is malformed, and gets no more.
		c.phase = phaseRefused
		return len(p), "", nil
	}
	if !c.held.Cover(c.headWeight + weight(c.chunks.Trailer.Bytes, c.chunks.Trailer.Lines)) {
		c.phase = phaseRefused
		return 0, ReasonNoMemory, nil
	}
	if ended {
		c.expectHead()
	}
	return n, "", nil
}

// serve records that the service of the request begins, whose body has a length, or is chunked, or ends with the connection if it is
// neither.
func (c *Conn) serve(length int64, chunked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseUnknown {
		return
	}
	c.serving, c.answered, c.timedOut = true, false, false
	switch {
	case chunked:
		c.phase, c.chunks = phaseChunked, toucanscan.Chunks{}
	case length < 0:
		c.phase = phaseRest
	case length > 0:
		c.phase, c.left = phaseSized, length
	default:
		c.expectHead()
	}
	early := c.early
	c.early = nil
	if len(early) > 0 {
		_, _, _ = c.count(early) // One byte can't be refused: the server reads no more before.
	}
}

// rest records that the answer has been sent.
func (c *Conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.unboundWrites()
	switch c.phase {
	case phaseUnknown:
		return // The next head is whole already, and counts as in service.
	case phaseSized, phaseChunked, phaseRest:
		c.spent = true // What is left of the body is no request.
		return
	}
	c.held.Release()
	if c.phase == phaseHead && c.head.Bytes > 0 {
		c.gate.begin(c) // If the connection has been closed, the next Read fails.
		return
	}
	c.gate.markIdle(c)
}

// CloseWrite ends what is sent to the caller. The server uses it after an answer that is earlier than the end of the body, which is read on.
func (c *Conn) CloseWrite() error {
	if c.lingerOn() {
		return nil
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes at Close, as net.TCPConn does. It has no effect on other connections.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	c.abortive = sec == 0
	c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Close implements net.Conn. If the answer came before the end of the request, the connection stays open until the caller has sent the
// rest, within bounds, since a close resets it and the caller loses the answer; likewise until the caller has read the answer. While
// Gate.Shutdown spares connections, Close only ends the wait for a head.
func (c *Conn) Close() error {
	if c.lingerOn() {
		return nil
	}
	if !c.isHijacked() && c.gate.spare(c) {
		c.retire()
		return nil
	}
	if c.deliverOn() {
		return nil
	}
	return c.end()
}

// end closes the connection.
func (c *Conn) end() error {
	c.gate.remove(c)
	c.mu.Lock()
	c.held.Release()
	c.phase = phaseRefused
	c.mu.Unlock()
	return c.Conn.Close()
}

const (
	// answerTooLarge and answerNoMemory are the answers to refused heads. Their requests have not run.
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refusalTime is how long the answer to a refused head may take to be written.
	refusalTime = 500 * time.Millisecond
)

// refuse answers a head that is refused, unless a request is still in service. What the caller still sends is read once the server closes the
// connection.
func (c *Conn) refuse(why Reason, head toucanscan.Lines, serving bool) {
	c.gate.tell(Event{Reason: why, Bytes: head.Bytes, Lines: head.Lines, Limit: c.gate.limits.HeadBytes()})
	if serving {
		return
	}
	c.mu.Lock()
	c.held.Release()
	c.pending, c.buffer = nil, nil
	c.mu.Unlock()
	answer := answerNoMemory
	if why == ReasonTooLarge {
		answer = answerTooLarge
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) // The write fails too if it does.
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
}
