package toucanwire

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func pipeLinks(t *testing.T, a, b *Hello) (*Link, *Link, error) {
	t.Helper()
	ca, cb := net.Pipe()
	type result struct {
		link *Link
		err  error
	}
	accepted := make(chan result, 1)
	go func() {
		l, err := Accept(context.Background(), cb, b)
		accepted <- result{l, err}
	}()
	la, err := Dial(context.Background(), ca, a)
	r := <-accepted
	if err == nil {
		err = r.err
	}
	return la, r.link, err
}

func TestLinkDeliversMessagesInOrder(t *testing.T) {
	la, lb, err := pipeLinks(t, &Hello{Role: "entry", BootId: 1}, &Hello{Role: "sidecar", BootId: 2})
	assert.NilError(t, err)
	defer la.Close()
	defer lb.Close()
	assert.Equal(t, la.Peer.BootId, uint64(2))
	assert.Equal(t, lb.Peer.BootId, uint64(1))

	go func() {
		s, err := lb.AcceptStream()
		if err != nil {
			return
		}
		open := &Open{}
		if s.Receive(open) != nil {
			return
		}
		for i := range uint32(100) {
			_ = s.Send(&Event{Event: &Event_Tokens{Tokens: &Tokens{FirstIndex: i, Text: []string{"x"}}}})
		}
		s.Close()
	}()
	s, err := la.Open(&Open{Request: &Open_Cancel{Cancel: &Cancel{GenerationId: "g"}}})
	assert.NilError(t, err)
	for i := range uint32(100) {
		e := &Event{}
		assert.NilError(t, s.Receive(e))
		assert.Equal(t, e.GetTokens().FirstIndex, i)
	}
	assert.Assert(t, errors.Is(s.Receive(&Event{}), io.EOF))
}

func TestLinkRefusesGarbage(t *testing.T) {
	ca, cb := net.Pipe()
	go func() {
		_, _ = ca.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		ca.Close()
	}()
	_, err := Accept(context.Background(), cb, &Hello{})
	assert.Assert(t, errors.Is(err, ErrHello), "%v", err)
}
