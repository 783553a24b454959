package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is the number of clients that read slowly, and readEvents the number of events of the stream that each asks for.
	readers    = 8
	readEvents = 234
	// readBytes is read every readPause. A client's window is small, since its receive buffer has receiveBuffer bytes.
	readBytes     = 300
	readPause     = 500 * time.Millisecond
	receiveBuffer = 4096
	// contact is longer than ContactMs: the process is in touch when the requests come.
	contact = 4500 * time.Millisecond
	// hangUp is how long after the start of the streams the platform sends SIGHUP, which is planned work.
	hangUp = 2 * time.Second
	// lostWithoutWork is how many requests may be lost where no work is planned. Around planned work none may be; the case asks for both.
	lostWithoutWork = 3
)

// reader is a client that reads slowly from a kept connection.
type reader struct {
	rig  *rig
	conn net.Conn
	buf  *bufio.Reader
}

func (r *rig) newReader(front string) (*reader, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failed)
	}}
	conn, err := d.Dial("tcp", front)
	if err != nil {
		return nil, err
	}
	return &reader{rig: r, conn: conn, buf: bufio.NewReaderSize(conn, 256)}, nil
}

// send sends a request and reads the head of its answer.
func (c *reader) send(id, path string, deadline time.Duration, headers string) (*http.Response, error) {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n",
		path, host, id, secret, deadline.Milliseconds(), headers)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.buf, nil)
}

// stream asks for a stream and reads it, readBytes every pause. It returns the number of events, and nil if the answer is whole.
func (c *reader) stream(id string, pause time.Duration) (int, error) {
	resp, err := c.send(id, "/draft/2f", 39*time.Second, fmt.Sprintf("Model: m\r\nToken-Count: 1460,%d\r\n", 4*readEvents))
	if err != nil {
		return 0, err
	}
	var text strings.Builder
	piece := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(piece)
		text.Write(piece[:n])
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return strings.Count(text.String(), "id: "), err
		}
		time.Sleep(pause)
	}
}

// readerCase: clients read their streams slowly, and the platform sends the process SIGHUP meanwhile, as after a change of its settings file.
func readerCase(r *rig) int {
	if _, err := r.newPlain(0, 6, 10*time.Millisecond); err != nil {
		return couldNot
	}
	m, err := r.newModel(10, map[string]*model{})
	if err != nil {
		return couldNot
	}
	m.text = ", with some tokens of a plan for a post"
	m.beat()
	r.configure(1)
	e, err := r.startEntry(1, nil)
	if err != nil || !e.awaitReady() {
		return couldNot
	}
	time.Sleep(contact)
	pause := readPause
	if !r.trouble {
		pause = 0
	}
	var mu sync.Mutex
	lost, whole := 0, 0
	var clients sync.WaitGroup
	for range readers {
		clients.Go(func() {
			c, err := r.newReader(e.front())
			if err != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			// The connection is kept: it has carried a request before.
			first, err := c.send(newID(), "/order/2f", 1500*time.Millisecond, "")
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, first.Body)
			id, began := newID(), time.Now()
			n, err := c.stream(id, pause)
			made := m.made(id)
			r.logf("stream %s: the client has %d of %d events after %.1f s, the engine has made %d%s", id, n, readEvents, time.Since(began).Seconds(), made, errorText(err))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lost++
			} else if n == readEvents {
				whole++
			}
		})
	}
	time.Sleep(hangUp)
	mu.Lock()
	early := lost
	mu.Unlock()
	e.signal(syscall.SIGHUP)
	clients.Wait()
	after := lost - early
	r.logf("%d streams are whole; %d connections ended without a complete answer after SIGHUP, %d before it", whole, after, early)
	if whole+lost < readers {
		return couldNot
	}
	if after > lostWithoutWork {
		return broken
	}
	return held
}
