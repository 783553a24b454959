package toucancopy

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanstore"
	"toucanport/toucanwait"
)

const (
	// stallTimeout limits the time until a copy begins to arrive, and the time between two of its parts, at both ends.
	stallTimeout = 500 * time.Millisecond
	// maxTransferTime limits the time of a whole copy, whatever its size.
	maxTransferTime = 20 * time.Second
	// requestTimeout limits the time until a reader has said what it has. A reader that says nothing is sent everything.
	requestTimeout = 200 * time.Millisecond
	// partBytes is the number of bytes that are sent at a time.
	partBytes = 16 << 10
	// maxCopyBytes is the maximum size of a received copy.
	maxCopyBytes = 16 << 20
	// maxRequestBytes is the maximum size of a received request. A reader whose request is longer is sent everything.
	maxRequestBytes = 64 << 10
)

// errNotHeld is returned if a sender left out a body that the reader does not have.
var errNotHeld = errors.New("the sender left out a value that is not held")

// Copy is an entry's copy of the store. Its values must not be modified.
type Copy struct {
	Values []toucanstore.Value
	// Era counts how often the store had come back from an older copy when the values were read. Revisions of different
	// eras are not comparable.
	Era uint64
	// Revision is the revision of the store up to which the copy has all changes; zero if it is unknown.
	Revision uint64
}

const (
	// MaxReaders is the number of readers that are answered at once. Others wait.
	MaxReaders = 64
	// acceptPause is the time until another connection is accepted after one could not be.
	acceptPause = 10 * time.Millisecond
)

// Serve sends the copy that read returns to each reader that connects, until the listener is closed. Each connection carries
// one request and one copy, so no multiplexing is needed.
func Serve(l net.Listener, log *slog.Logger, read func() Copy) {
	readers := make(chan struct{}, MaxReaders)
	for {
		readers <- struct{}{}
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
			<-readers
			time.Sleep(acceptPause)
			continue
		}
		go func() {
			defer func() { <-readers }()
			answer(conn, log, read())
		}()
	}
}

// answer reads what a reader has and sends it the rest of a copy.
func answer(conn net.Conn, log *slog.Logger, c Copy) {
	defer func() { _ = conn.Close() }()
	request, err := receiveRequest(conn)
	if err != nil {
		log.Info(toucanlog.MsgWholeCopySent, toucanlog.Cause, err.Error())
	}
	if err := sendCopy(conn, c.message(request)); err != nil {
		log.Warn(toucanlog.MsgPeerNotAnswered, toucanlog.Cause, err.Error())
	}
}

// Fetch reads the copy of the entry at an address. Large ones of the held values are not transferred if the sender has the same.
// Fetch ends when the sender is silent.
func Fetch(ctx context.Context, address string, held []toucanstore.Value) (Copy, error) {
	limits := toucanwait.TransferLimits{Begin: stallTimeout, Stall: stallTimeout, Total: maxTransferTime}
	ctx, progress, cancel := toucanwait.WithProgress(ctx, limits)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Copy{}, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	received := toucanwait.NewReader(conn, progress)
	c, err := receive(conn, received, held)
	return c, errors.Wrapf(err, "%d bytes received", received.Bytes())
}
