// Package toucancopy transfers copies of the platform's store between entries. A reader names the large values that it has, and
// the sender leaves those out that are the same.
package toucancopy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"io"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"toucanport/toucanhistory"
	"toucanport/toucanstore"
)

// message returns the copy without the bodies that a request names.
func (c Copy) message(request *Request) *Message {
	held := make(map[string][]byte, len(request.GetHeld()))
	for _, d := range request.GetHeld() {
		held[d.GetKey()] = d.GetSha256()
	}
	s := &Message{Items: make([]*Item, len(c.Values)), Era: c.Era, Revision: c.Revision}
	for i, v := range c.Values {
		s.Items[i] = &Item{Key: v.Key, Revision: v.Revision}
		if digest, ok := held[v.Key]; ok && bytes.Equal(digest, sum(v.Body)) {
			s.Items[i].Unchanged = true
			continue
		}
		s.Items[i].Body = v.Body
	}
	return s
}

// copyOf returns the copy in a message, with the bodies that it leaves out taken from the held values.
func copyOf(s *Message, held []toucanstore.Value) (Copy, error) {
	c := Copy{Values: make([]toucanstore.Value, len(s.GetItems())), Era: s.GetEra(), Revision: s.GetRevision()}
	for i, it := range s.GetItems() {
		c.Values[i] = toucanstore.Value{Key: it.GetKey(), Body: it.GetBody(), Revision: it.GetRevision()}
		if !it.GetUnchanged() {
			continue
		}
		at := slices.IndexFunc(held, func(v toucanstore.Value) bool { return v.Key == it.GetKey() })
		if at < 0 {
			return Copy{}, errors.Wrap(errNotHeld, it.GetKey())
		}
		c.Values[i].Body = held[at].Body
	}
	return c, nil
}

// requestFor returns the request of an entry that holds values.
func requestFor(held []toucanstore.Value) *Request {
	request := &Request{}
	for _, v := range held {
		if len(v.Body) >= toucanhistory.LargeBody {
			request.Held = append(request.Held, &Digest{Key: v.Key, Sha256: sum(v.Body)})
		}
	}
	return request
}

func sum(body []byte) []byte {
	digest := sha256.Sum256(body)
	return digest[:]
}

// sendRequest sends a request in one packet.
func sendRequest(w io.Writer, request *Request) error {
	buf := bufio.NewWriter(w)
	if _, err := protodelim.MarshalTo(buf, request); err != nil {
		return err
	}
	return buf.Flush()
}

// receive sends a request and reads the copy that answers it.
func receive(w io.Writer, r io.Reader, held []toucanstore.Value) (Copy, error) {
	if err := sendRequest(w, requestFor(held)); err != nil {
		return Copy{}, err
	}
	s := &Message{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxCopyBytes}).UnmarshalFrom(bufio.NewReader(r), s); err != nil {
		return Copy{}, err
	}
	return copyOf(s, held)
}

// receiveRequest reads the request of a reader. It returns an empty one with the error.
func receiveRequest(conn net.Conn) (*Request, error) {
	if err := conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return &Request{}, err
	}
	request := &Request{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxRequestBytes}).UnmarshalFrom(bufio.NewReader(conn), request); err != nil {
		return &Request{}, err
	}
	return request, nil
}

func sendCopy(conn net.Conn, s *Message) error {
	_, err := protodelim.MarshalTo(&partWriter{conn: conn, until: time.Now().Add(maxTransferTime)}, s)
	return err
}

// partWriter writes to conn in parts, each within stallTimeout.
type partWriter struct {
	conn net.Conn
	// until is when the last part must have been written.
	until time.Time
}

// Write implements io.Writer.
func (p *partWriter) Write(b []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(b, partBytes) {
		if err := p.conn.SetWriteDeadline(p.nextDeadline()); err != nil {
			return written, err
		}
		n, err := p.conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (p *partWriter) nextDeadline() time.Time {
	stall := time.Now().Add(stallTimeout)
	if p.until.Before(stall) {
		return p.until
	}
	return stall
}
