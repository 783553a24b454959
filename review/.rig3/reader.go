package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is the number of clients that read streams.
	readers = 6
	// readWindow is the size of the receive buffer that they ask for, in bytes.
	readWindow = 4096
	// pieceBytes and piecePause are how they read: a piece, and a pause. It is below the pause of a client that gives up.
	pieceBytes = 1000
	piecePause = 200 * time.Millisecond
	// termAfter is the time from the first request to SIGTERM.
	termAfter = 500 * time.Millisecond
)

// streamResult is what a client got of a stream.
type streamResult struct {
	id     string
	status int
	bytes  int
	took   time.Duration
	// end is empty for a whole answer.
	end string
}

// readStream requests a stream on a connection with a small window and reads it piece by piece.
func (r *rig) readStream(m *machine, pause time.Duration) (res streamResult) {
	res.id = r.nextID('s')
	began := time.Now()
	defer func() { res.took = time.Since(began) }()
	dialer := net.Dialer{Timeout: connectTime, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readWindow)
		})
	}}
	conn, err := dialer.Dial("tcp", m.callers)
	if err != nil {
		res.end = reason(err)
		return res
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(streamMs * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST /plan/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\n{}", host, res.id, streamMs, callerKey)
	if err != nil {
		res.end = reason(err)
		return res
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		res.end = reason(err)
		return res
	}
	res.status = resp.StatusCode
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, pieceBytes)
		res.bytes += int(n)
		time.Sleep(pause)
	}
	if !errors.Is(err, io.EOF) {
		res.end = reason(err)
	}
	return res
}

// playReader: clients read their streams slowly, and without a stop, while their machine gets SIGTERM. It returns true if a stream that an
// engine makes soundly ends without a complete answer.
func playReader(r *rig) bool {
	r.deploy(2)
	m := r.machines[0]
	pause := time.Duration(0)
	if r.trouble {
		pause = piecePause
		r.record("%d clients read %d bytes of their streams every %v, at %s", readers, pieceBytes, pause, m.name)
	}
	var clients sync.WaitGroup
	results := make([]streamResult, readers)
	for i := range results {
		clients.Go(func() { results[i] = r.readStream(m, pause) })
	}
	time.Sleep(termAfter)
	r.record("%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	clients.Wait()
	cut := 0
	for _, s := range results {
		end := "whole"
		if s.end != "" || s.bytes != streamBytes {
			end = "not whole, " + s.end
			cut++
		}
		r.record("stream %s: status %d, %d of %d bytes in %.3f s, run %d times: %s", s.id, s.status, s.bytes, streamBytes, s.took.Seconds(), r.runsOf(s.id), end)
	}
	return cut > 0
}
