package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, path, key string
	prompt, out   int
	deadline      time.Duration
	// bodyLength is the length of the body. Its first part, burst bytes, is sent at once, the rest in pieces.
	bodyLength, burst int
	// piece is the size of the pieces, and pause the time before each of them.
	piece int
	pause time.Duration
	// chunked sends the body in chunks.
	chunked bool
	// leaves is the time after which the client closes its connection; zero if it stays.
	leaves time.Duration
	// left is called once the client has closed its connection.
	left func()
	// closes adds Connection: close, as a client does that opens a new connection for each request.
	closes bool
}

// outcome is what a client has seen.
type outcome struct {
	status int
	header http.Header
	// events is the number of events in order, wrong the number of the first event that is not the engine's, or 0.
	events, wrong int
	// complete is true if the answer ended as its framing says.
	complete bool
	err      error
}

// do sends a call to an entry on a new connection and reads the answer.
func (k call) do(address string, rec *record) outcome {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(k.deadline))
	rec.line("client sends %s (%s, body of %d bytes) to %s", k.id, k.path, k.bodyLength, address)
	if k.leaves > 0 {
		timer := time.AfterFunc(k.leaves, func() {
			_ = c.Close()
			k.left()
		})
		defer timer.Stop()
	}
	sent := make(chan error, 1)
	go func() { sent <- k.send(c) }()
	o := k.read(c)
	select {
	case err := <-sent:
		if err != nil && o.err == nil {
			o.err = err
		}
	default:
	}
	rec.line("client has of %s: status %d, %d events, wrong event %d, complete %v, error %v", k.id, o.status, o.events, o.wrong, o.complete, o.err)
	return o
}

// send writes the request.
func (k call) send(c net.Conn) error {
	framing := fmt.Sprintf("Content-Length: %d\r\n", k.bodyLength)
	if k.chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if k.closes {
		framing += "Connection: close\r\n"
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Count: %d,%d\r\nPrompt-Prefix: 5c1e07a2:79,%x:%d\r\nLength-Hint: %d\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n%s\r\n",
		k.path, clientHost, k.id, k.prompt, k.out, bodyBytes(k.id+"/part", 0, 4), k.prompt-79, k.out, k.deadline.Milliseconds(), k.key, framing)
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	at := 0
	for at < k.bodyLength {
		n := min(k.burst, k.bodyLength)
		if at > 0 {
			time.Sleep(k.pause)
			n = min(k.piece, k.bodyLength-at)
		}
		p := bodyBytes(k.id, at, n)
		if k.chunked {
			p = append([]byte(fmt.Sprintf("%x\r\n", n)), append(p, "\r\n"...)...)
		}
		if _, err := c.Write(p); err != nil {
			return err
		}
		at += n
	}
	if k.chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// read reads the answer.
func (k call) read(c net.Conn) outcome {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	o := outcome{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		_, o.err = io.Copy(io.Discard, resp.Body)
		o.complete = o.err == nil
		return o
	}
	r := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(r)
		if err == io.EOF && event == "" {
			o.complete = true
			return o
		}
		if err != nil {
			o.err = err
			return o
		}
		o.events++
		if o.wrong == 0 && event != fmt.Sprintf("id: %d\ndata: %s\n\n", o.events, eventData(k.id, o.events)) {
			o.wrong = o.events
		}
	}
}

// readEvent reads up to an empty line.
func readEvent(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		line, err := r.ReadString('\n')
		b.WriteString(line)
		if err != nil {
			return b.String(), err
		}
		if line == "\n" {
			return b.String(), nil
		}
	}
}
