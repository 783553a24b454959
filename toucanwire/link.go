// Package toucanwire implements the inner protocol between entries and sidecars: size-delimited protobuf messages over
// yamux, with one stream for each request and one control stream for each link.
package toucanwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Version is the protocol version of this build. A handshake with a peer of another version fails with ErrVersion.
const Version = 1

const (
	// MaxMessageBytes is the maximum encoded size of a message on a stream.
	MaxMessageBytes = 16 << 20
	// maxHelloBytes is the maximum encoded size of a hello, which is read before the peer has identified itself.
	maxHelloBytes = 4 << 10
	// helloTimeout is the maximum duration of the hello exchange.
	helloTimeout = 3 * time.Second
)

var (
	// ErrVersion is returned when the peer uses another protocol version.
	ErrVersion = errors.New("peer uses another protocol version")
	// ErrHello is returned when the peer's first message is not a valid hello.
	ErrHello = errors.New("peer sent no valid hello")
)

// Link is a multiplexed connection between an entry and a sidecar. It is safe for concurrent use.
type Link struct {
	session  *yamux.Session
	activity *activityConn
	// Peer is the hello that the other side sent; never nil.
	Peer *Hello
}

// Dial exchanges hellos over conn as the dialing side and returns the link. It closes conn on failure.
func Dial(ctx context.Context, conn net.Conn, hello *Hello) (*Link, error) {
	return handshake(ctx, conn, hello, true)
}

// Accept exchanges hellos over conn as the accepting side and returns the link. It closes conn on failure.
func Accept(ctx context.Context, conn net.Conn, hello *Hello) (*Link, error) {
	return handshake(ctx, conn, hello, false)
}

func handshake(ctx context.Context, conn net.Conn, hello *Hello, dialing bool) (*Link, error) {
	peer, err := exchangeHellos(ctx, conn, hello, dialing)
	if err != nil {
		conn.Close()
		return nil, err
	}
	start := yamux.Server
	if dialing {
		start = yamux.Client
	}
	tracked := newActivityConn(conn)
	session, err := start(newCoalescer(tracked), sessionConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return &Link{session: session, activity: tracked, Peer: peer}, nil
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.AcceptBacklog = 1024
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = 30 * time.Second
	return cfg
}

func exchangeHellos(ctx context.Context, conn net.Conn, hello *Hello, dialing bool) (*Hello, error) {
	deadline := time.Now().Add(helloTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	own := proto.Clone(hello).(*Hello)
	own.Version = Version
	if dialing {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	peer := &Hello{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := opts.UnmarshalFrom(byteReader{conn}, peer); err != nil {
		return nil, errors.Wrap(ErrHello, err.Error())
	}
	if !dialing {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	if peer.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "own %d, peer %d", Version, peer.Version)
	}
	return peer, errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// byteReader implements io.ByteReader without buffering, so that no byte after the hello is consumed.
type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// Open opens a stream and sends its first message.
func (l *Link) Open(open *Open) (*Stream, error) {
	ys, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	s := newStream(ys)
	if err := s.Send(open); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// AcceptStream waits for the next stream that the peer opens. The caller reads the stream's first message.
func (l *Link) AcceptStream() (*Stream, error) {
	ys, err := l.session.AcceptStream()
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	return newStream(ys), nil
}

// Close closes the link and all its streams.
func (l *Link) Close() error { return l.session.Close() }

// LastReceived returns the time at which bytes from the peer were last read.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.activity.lastRead.Load()) }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.session.CloseChan() }

// NumStreams returns the number of open streams.
func (l *Link) NumStreams() int { return l.session.NumStreams() }

// Stream carries the messages of one request, or the heartbeats of a link. One goroutine can send while another one
// receives; neither Send nor Receive is safe for concurrent use with itself.
type Stream struct {
	ys  *yamux.Stream
	in  *bufio.Reader
	out []byte
}

func newStream(ys *yamux.Stream) *Stream {
	return &Stream{ys: ys, in: bufio.NewReaderSize(ys, 1024)}
}

// Send writes one message. It returns an error without writing when the message is over MaxMessageBytes.
func (s *Stream) Send(m proto.Message) error {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return errors.Errorf("message of %d bytes is over the bound of %d", size, MaxMessageBytes)
	}
	var err error
	s.out, err = appendDelimited(s.out[:0], m, size)
	if err != nil {
		return err
	}
	_, err = s.ys.Write(s.out)
	return errors.Wrap(err, "send message")
}

// Receive reads one message into m. It returns io.EOF when the peer has closed the stream.
func (s *Stream) Receive(m proto.Message) error {
	err := readDelimited(s.in, m)
	if err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errors.Wrap(err, "receive message")
}

// Await waits until the first byte of a message has arrived, and reads nothing of it: after a timeout, a later call waits on. It returns io.EOF
// when the peer has closed the stream, and a net.Error that is a timeout when the read deadline has passed.
func (s *Stream) Await() error {
	_, err := s.in.Peek(1)
	return err
}

// SetReadDeadline sets the deadline of Receive and Await.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.ys.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of Send.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.ys.SetWriteDeadline(t) }

// LinkEnded reports whether the stream's link has ended.
func (s *Stream) LinkEnded() bool { return s.ys.Session().IsClosed() }

// AwaitClose waits until the peer closes the stream. It returns false when the link ends first, the read deadline
// passes or the peer sends a message.
func (s *Stream) AwaitClose() bool {
	err := s.Receive(&Open{})
	return errors.Is(err, io.EOF) && !s.LinkEnded()
}

// Close closes both directions of the stream.
func (s *Stream) Close() error { return s.ys.Close() }
