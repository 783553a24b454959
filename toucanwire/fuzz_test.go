package toucanwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// addFrameSeeds adds a corpus of valid, truncated and oversized frames, and of bytes that are not frames.
func addFrameSeeds(f *testing.F) {
	open := &Open{Request: &Open_Generate{Generate: &Generate{GenerationId: "g", Prompt: []byte("a prompt")}}}
	var valid bytes.Buffer
	_, err := protodelim.MarshalTo(&valid, open)
	assert.NilError(f, err)
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:5])
	f.Add(append(valid.Bytes(), valid.Bytes()...))
	f.Add(protowire.AppendVarint(nil, MaxMessageBytes+1))
	f.Add(protowire.AppendVarint(nil, smallMessageBytes+1))
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{})
}

// FuzzReceive reads arbitrary bytes as messages and checks that readDelimited returns the same messages as protodelim
// and fails in the same cases, with io.EOF if protodelim does.
func FuzzReceive(f *testing.F) {
	addFrameSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		own, other := bufio.NewReaderSize(bytes.NewReader(data), 1024), bufio.NewReader(bytes.NewReader(data))
		for {
			got, want := &Open{}, &Open{}
			err := readDelimited(own, got)
			wantErr := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(other, want)
			assert.Equal(t, err == nil, wantErr == nil, "%v, %v", err, wantErr)
			assert.Equal(t, errors.Is(err, io.EOF), errors.Is(wantErr, io.EOF), "%v, %v", err, wantErr)
			if err != nil {
				return
			}
			assert.Assert(t, proto.Equal(got, want))
		}
	})
}

// FuzzAccept sends arbitrary bytes to the accepting side, which must return once the peer has closed the connection.
func FuzzAccept(f *testing.F) {
	addFrameSeeds(f)
	var hello bytes.Buffer
	_, err := protodelim.MarshalTo(&hello, &Hello{Version: Version, Role: "entry"})
	assert.NilError(f, err)
	f.Add(append(hello.Bytes(), "not yamux, which has a header of 12 bytes"...))
	f.Add(append(hello.Bytes(), 0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0))
	f.Fuzz(func(_ *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		go func() {
			_, _ = near.Write(data)
			near.Close()
		}()
		link, err := Accept(context.Background(), far, &Hello{Role: "sidecar"})
		if err != nil {
			return
		}
		defer link.Close()
		for {
			stream, err := link.AcceptStream()
			if err != nil {
				return
			}
			_ = stream.Receive(&Open{})
			stream.Close()
		}
	})
}

func TestLargeMessageIsReceivedCompletely(t *testing.T) {
	sent := &Call{Body: bytes.Repeat([]byte("b"), 5<<20)}
	var data bytes.Buffer
	_, err := protodelim.MarshalTo(&data, sent)
	assert.NilError(t, err)
	got := &Call{}
	assert.NilError(t, readDelimited(bufio.NewReader(&data), got))
	assert.Assert(t, proto.Equal(got, sent))
}

// TestAnnouncedSizeIsNotAllocated sends the size prefix of the largest message and none of its body: the reader must
// not allocate the announced size.
func TestAnnouncedSizeIsNotAllocated(t *testing.T) {
	data := protowire.AppendVarint(nil, MaxMessageBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := readDelimited(bufio.NewReader(bytes.NewReader(data)), &Open{})
	runtime.ReadMemStats(&after)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < smallMessageBytes)
}

func TestOtherVersionsAreRefused(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		_, _ = protodelim.MarshalTo(near, &Hello{Version: Version + 1, Role: "entry"})
		_, _ = io.Copy(io.Discard, near)
	}()
	_, err := Accept(context.Background(), far, &Hello{})
	assert.Assert(t, errors.Is(err, ErrVersion))
	assert.ErrorContains(t, err, "own 1, peer 2")
}
