package toucanupstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Message is a request to an endpoint.
type Message struct {
	Method string
	// Target is the path with its query as it goes into the request line.
	Target string
	Host   string
	// Header must not contain hop-by-hop headers.
	Header http.Header
	// Body is nil for an empty one.
	Body Body
	// Belongs reports whether an answer with these headers is for this request. Other answers are skipped. If Belongs
	// is nil, the first answer is accepted.
	Belongs func(http.Header) bool
	// Repeatable is true if the endpoint may get the message twice. It is then sent again on a new connection when a
	// connection that had carried another request before breaks without an answer, as the endpoint may have dropped that
	// connection while it was idle.
	Repeatable bool
	// OnWrite is called each time that the message begins to be written to a connection; nil for none.
	OnWrite func()
}

// Body is the body of a message.
type Body interface {
	// Length returns the number of bytes, or a negative number if it is unknown.
	Length() int64
	// Reader returns a reader of the body from its beginning. It is called once each time that the message is sent. If the
	// reader fails, the endpoint gets no end of the body.
	Reader() io.Reader
}

// Bytes is a Body in memory.
type Bytes []byte

// Length implements Body.
func (b Bytes) Length() int64 { return int64(len(b)) }

// Reader implements Body.
func (b Bytes) Reader() io.Reader { return bytes.NewReader(b) }

const (
	// inlineBody is the largest body in bytes that is written before the answer is read. Longer bodies are written by a
	// goroutine of their own, as the endpoint may answer before it has read the whole body.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to earlier requests that are skipped before a request counts as lost.
	maxForeign = 3
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
)

// Response is an answer whose body is still to be read. Its owner must call Close. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is complete, as far as its framing shows.
	Body io.Reader
	// Framed is true if the answer has a length or is chunked. Otherwise it ends where its connection ends, and a cut
	// answer looks like a complete one.
	Framed bool
	// Reused is true if the request was sent over a connection that had carried another request before.
	Reused bool
	// Repeated is true if a Repeatable message was sent a second time. The endpoint may have got the first one too.
	Repeated bool

	conn      *conn
	resp      *http.Response
	detach    func() bool
	readToEnd bool
	reusable  bool
}

// Send sends m to the endpoint at address and returns the answer once its header has arrived. It opens a new connection
// only while fewer than limit are open to the address; zero means no limit. When ctx ends, also while the body is being
// read, the connection is closed, which makes the endpoint stop. The error wraps ErrNotSent or ErrLost.
func (p *Pool) Send(ctx context.Context, address string, limit int, m Message) (*Response, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	r, err := c.exchange(ctx, m)
	if err == nil || !m.Repeatable || c.used == 0 || ctx.Err() != nil {
		return r, err
	}
	fresh, dialErr := p.dial(ctx, address, limit)
	if dialErr != nil {
		if errors.Is(dialErr, ErrRefused) {
			// The endpoint has ended, and whatever it did with the message with it.
			return nil, dialErr
		}
		return nil, err
	}
	r, err = fresh.exchange(ctx, m)
	if r != nil {
		r.Repeated = true
	}
	return r, err
}

// exchange sends a message on a connection and returns the answer once its header has arrived. It closes the connection
// if there is none. The error wraps ErrLost.
func (c *conn) exchange(ctx context.Context, m Message) (*Response, error) {
	detach := context.AfterFunc(ctx, c.close)
	r, err := c.roundTrip(m)
	if err != nil {
		detach()
		c.close()
		if c.used > 0 && ctx.Err() == nil && errors.Is(err, syscall.ECONNRESET) {
			c.pool.recordDrop(c.idleBefore)
		}
		return nil, errors.Wrapf(ErrLost, "%s: %v", c.address, err)
	}
	r.detach = detach
	return r, nil
}

// roundTrip writes a request and reads the header of its answer.
func (c *conn) roundTrip(m Message) (*Response, error) {
	reused := c.used > 0
	written := make(chan error, 1)
	if m.Body == nil {
		m.Body = Bytes(nil)
	}
	if m.OnWrite != nil {
		m.OnWrite()
	}
	if n := m.Body.Length(); n >= 0 && n <= inlineBody {
		written <- c.write(m)
	} else {
		go func() { written <- c.write(m) }()
	}
	req := &http.Request{Method: m.Method}
	resp, err := c.readAnswer(req, m.Belongs) //nolint:bodyclose // closed with the Response
	if err != nil {
		return nil, err
	}
	r := &Response{Status: resp.StatusCode, Header: resp.Header, Framed: isFramed(resp), Reused: reused, conn: c, resp: resp}
	select {
	case err := <-written:
		r.reusable = err == nil && !resp.Close
	default:
		// The endpoint answered before it had read the whole body. The rest of the body must not precede the next
		// request on this connection.
		r.reusable = false
	}
	c.setIdleTimeout(resp.Header.Get("Keep-Alive"))
	r.Body = &body{r: r}
	return r, nil
}

// readAnswer returns the first answer that belongs to the request. It skips informational answers and up to maxForeign
// answers to other requests.
func (c *conn) readAnswer(req *http.Request, belongs func(http.Header) bool) (*http.Response, error) {
	for range maxForeign + 1 {
		c.head.begin()
		resp, err := http.ReadResponse(c.r, req)
		c.head.end()
		if err != nil {
			return nil, readError(err)
		}
		if resp.ProtoMajor != 1 {
			return nil, errMalformed
		}
		if err := checkStatus(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if belongs == nil || belongs(resp.Header) {
			return resp, nil
		}
		if resp.Close || !isFramed(resp) {
			return nil, errors.New("answer to another request ends with the connection")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// errMalformed replaces the parse errors of net/http, which quote the bytes that were read.
var errMalformed = errors.New("answer is not well formed")

// readError returns an error that contains none of the endpoint's bytes, since errors are logged and answers can be
// secret.
func readError(err error) error {
	var failed net.Error
	if errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformed
}

// isFramed reports whether the answer has a length or is chunked.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// write writes the request line, the headers and the body.
func (c *conn) write(m Message) error {
	c.w.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n") //nolint:errcheck // Flush returns the error
	if err := m.Header.Write(c.w); err != nil {
		return err
	}
	if err := c.writeBody(m); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *conn) writeBody(m Message) error {
	if length := m.Body.Length(); length >= 0 {
		return c.writeSized(m, length)
	}
	c.w.WriteString("Transfer-Encoding: chunked\r\n\r\n") //nolint:errcheck // Flush returns the error
	chunked := httputil.NewChunkedWriter(c.w)
	if _, err := io.Copy(chunked, m.Body.Reader()); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := c.w.WriteString("\r\n")
	return err
}

// writeSized writes a body of a known length.
func (c *conn) writeSized(m Message, length int64) error {
	if length > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		c.w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n") //nolint:errcheck // Flush returns the error
	}
	c.w.WriteString("\r\n") //nolint:errcheck // Flush returns the error
	n, err := io.Copy(c.w, m.Body.Reader())
	if err == nil && n != length {
		err = errBodyLength
	}
	return err
}

// errBodyLength means that a body is not as long as it says.
var errBodyLength = errors.New("body has another length than its own")

// setIdleTimeout sets the idle timeout from a Keep-Alive header, whose timeout is in whole seconds, less idleMargin.
func (c *conn) setIdleTimeout(keepAlive string) {
	for _, part := range strings.Split(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			c.idleTimeout = max(time.Duration(s)*time.Second-idleMargin, idleMargin)
		}
	}
}

// body reads an answer's body and marks the response as read to its end.
type body struct{ r *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
		b.r.readToEnd = true
	}
	return n, err
}

// Close returns the connection to the pool if the answer was read to its end and nothing else has arrived, and closes
// the connection otherwise.
func (r *Response) Close() {
	if !r.detach() || !r.readToEnd || !r.reusable || r.conn.r.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.pool.putIdle(r.conn)
}
