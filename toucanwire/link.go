// Package toucanwire is the inner protocol between entries and sidecars: protobuf messages over yamux,
// one stream for each request and one control stream for each link.
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

// Version is the protocol version that this build speaks. A peer with another version is refused.
const Version = 1

const (
	// MaxMessageBytes bounds one message on any stream.
	MaxMessageBytes = 16 << 20
	// maxHelloBytes bounds the first message, which is read before the peer is known.
	maxHelloBytes = 4 << 10
	// helloTimeout bounds the exchange of hellos.
	helloTimeout = 3 * time.Second
)

var (
	// ErrVersion is returned when the peer speaks another protocol version.
	ErrVersion = errors.New("peer speaks another protocol version")
	// ErrHello is returned when the peer's first message is not a hello.
	ErrHello = errors.New("peer sent no valid hello")
)

// Link is one connection between two processes.
type Link struct {
	session *yamux.Session
	traffic *traffic
	// Peer is what the other side said of itself; never nil.
	Peer *Hello
}

// Dial starts a link over conn as the calling side. It closes conn on failure.
func Dial(ctx context.Context, conn net.Conn, hello *Hello) (*Link, error) {
	return handshake(ctx, conn, hello, true)
}

// Accept starts a link over conn as the called side. It closes conn on failure.
func Accept(ctx context.Context, conn net.Conn, hello *Hello) (*Link, error) {
	return handshake(ctx, conn, hello, false)
}

func handshake(ctx context.Context, conn net.Conn, hello *Hello, calling bool) (*Link, error) {
	peer, err := exchangeHellos(ctx, conn, hello, calling)
	if err != nil {
		conn.Close()
		return nil, err
	}
	start := yamux.Server
	if calling {
		start = yamux.Client
	}
	received := newTraffic(conn)
	session, err := start(newCoalescer(received), sessionConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return &Link{session: session, traffic: received, Peer: peer}, nil
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

func exchangeHellos(ctx context.Context, conn net.Conn, hello *Hello, calling bool) (*Hello, error) {
	deadline := time.Now().Add(helloTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	own := proto.Clone(hello).(*Hello)
	own.Version = Version
	if calling {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	peer := &Hello{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := opts.UnmarshalFrom(byteReader{conn}, peer); err != nil {
		return nil, errors.Wrap(ErrHello, err.Error())
	}
	if !calling {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	if peer.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "own %d, peer %d", Version, peer.Version)
	}
	return peer, errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// byteReader reads single bytes without buffering, so that nothing after the hello is consumed.
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

// AcceptStream waits for the next stream that the peer opens. Its first message is still unread.
func (l *Link) AcceptStream() (*Stream, error) {
	ys, err := l.session.AcceptStream()
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	return newStream(ys), nil
}

// Close ends the link and all its streams.
func (l *Link) Close() error { return l.session.Close() }

// LastReceived returns when bytes last came from the peer.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.traffic.last.Load()) }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.session.CloseChan() }

// NumStreams returns the number of open streams.
func (l *Link) NumStreams() int { return l.session.NumStreams() }

// Stream carries the messages of one request. Send and Receive may be used by one goroutine each.
type Stream struct {
	ys  *yamux.Stream
	in  *bufio.Reader
	out []byte
}

func newStream(ys *yamux.Stream) *Stream {
	return &Stream{ys: ys, in: bufio.NewReaderSize(ys, 1024)}
}

// Send writes one message.
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

// SetReadDeadline bounds the next Receive.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.ys.SetReadDeadline(t) }

// SetWriteDeadline bounds the next Send.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.ys.SetWriteDeadline(t) }

// LinkEnded reports whether the link under the stream has ended.
func (s *Stream) LinkEnded() bool { return s.ys.Session().IsClosed() }

// AwaitClose waits until the peer has closed the stream, and reports false when the link ended instead or the
// read deadline passed.
func (s *Stream) AwaitClose() bool {
	err := s.Receive(&Open{})
	return errors.Is(err, io.EOF) && !s.LinkEnded()
}

// Close ends both directions of the stream.
func (s *Stream) Close() error { return s.ys.Close() }
