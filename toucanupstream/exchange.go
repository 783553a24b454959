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
	// Header must hold no header that concerns one connection only.
	Header http.Header
	// Body is what is known of the body; Rest, when not nil, follows it.
	Body []byte
	Rest io.Reader
	// Belongs reports whether an answer is for this request; answers that are not are passed over. Nil takes all.
	Belongs func(http.Header) bool
}

const (
	// inlineBody is the longest body that is written before the answer is awaited.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to earlier requests that are passed over.
	maxForeign = 3
	// maxForeignBytes bounds the body of one of them.
	maxForeignBytes = 1 << 20
)

// Exchange is one answer while it is being read. Its owner calls Close.
type Exchange struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader
	// Framed is true when the answer tells its own end. The end of one that does not is the end of its connection.
	Framed bool
	// Reused is true when the request went over a kept connection.
	Reused bool

	conn     *conn
	resp     *http.Response
	detach   func() bool
	ended    bool
	reusable bool
}

// Send writes m to the endpoint at address and returns its answer once the header has arrived. It opens a connection
// only while fewer than limit are open; zero means no limit. When ctx ends, the connection is closed, which tells the
// endpoint to stop. The error is ErrNotSent or ErrLost.
func (p *Pool) Send(ctx context.Context, address string, limit int, m Message) (*Exchange, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	detach := context.AfterFunc(ctx, c.close)
	x, err := c.exchange(m)
	if err != nil {
		detach()
		c.close()
		if c.used > 0 && ctx.Err() == nil && errors.Is(err, syscall.ECONNRESET) {
			p.dropped(c.rested)
		}
		return nil, errors.Wrapf(ErrLost, "%s: %v", address, err)
	}
	x.detach = detach
	return x, nil
}

func (c *conn) exchange(m Message) (*Exchange, error) {
	reused := c.used > 0
	written := make(chan error, 1)
	if m.Rest == nil && len(m.Body) <= inlineBody {
		written <- c.write(m)
	} else {
		go func() { written <- c.write(m) }()
	}
	req := &http.Request{Method: m.Method}
	resp, err := c.readAnswer(req, m.Belongs) //nolint:bodyclose // closed with the Exchange
	if err != nil {
		return nil, err
	}
	x := &Exchange{Status: resp.StatusCode, Header: resp.Header, Framed: framed(resp), Reused: reused, conn: c, resp: resp}
	select {
	case err := <-written:
		x.reusable = err == nil && !resp.Close
	default:
		// The endpoint answered before it had the whole body, so the rest must not meet the next request.
		x.reusable = false
	}
	c.setIdleTimeout(resp.Header.Get("Keep-Alive"))
	x.Body = &body{x: x}
	return x, nil
}

// readAnswer reads the next answer that belongs to the request.
func (c *conn) readAnswer(req *http.Request, belongs func(http.Header) bool) (*http.Response, error) {
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, readError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if belongs == nil || belongs(resp.Header) {
			return resp, nil
		}
		if resp.Close || !framed(resp) {
			return nil, errors.New("answer to another request ends with the connection")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// errMalformed stands for the library's own errors, which quote what was read.
var errMalformed = errors.New("answer is not well formed")

// readError returns an error without any of the endpoint's bytes, as errors end up in logs.
func readError(err error) error {
	var failed net.Error
	if errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformed
}

func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (c *conn) write(m Message) error {
	c.w.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n") //nolint:errcheck // Flush tells
	if err := m.Header.Write(c.w); err != nil {
		return err
	}
	if err := c.writeBody(m); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *conn) writeBody(m Message) error {
	if m.Rest == nil {
		if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
			c.w.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n") //nolint:errcheck // Flush tells
		}
		c.w.WriteString("\r\n") //nolint:errcheck // Flush tells
		_, err := c.w.Write(m.Body)
		return err
	}
	c.w.WriteString("Transfer-Encoding: chunked\r\n\r\n") //nolint:errcheck // Flush tells
	chunked := httputil.NewChunkedWriter(c.w)
	if _, err := io.Copy(chunked, io.MultiReader(bytes.NewReader(m.Body), m.Rest)); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := c.w.WriteString("\r\n")
	return err
}

// setIdleTimeout takes in the timeout that the endpoint states, in whole seconds.
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

// body reads an answer's body and notes when it is whole.
type body struct{ x *Exchange }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.x.resp.Body.Read(p)
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF itself
		b.x.ended = true
	}
	return n, err
}

// Close gives the connection back when the answer was read to its end and left it clean, and closes it otherwise.
func (x *Exchange) Close() {
	if !x.detach() || !x.ended || !x.reusable || x.conn.r.Buffered() > 0 {
		x.conn.close()
		return
	}
	x.conn.pool.putIdle(x.conn)
}
