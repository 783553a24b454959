package toucanwire

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// smallMessageBytes is the largest announced size for which a buffer is allocated before the message has arrived.
const smallMessageBytes = 64 << 10

// appendDelimited appends m to b with its size as a varint prefix, the format that protodelim reads. size must be the
// result of a preceding proto.Size(m), because the cached size is used.
func appendDelimited(b []byte, m proto.Message, size int) ([]byte, error) {
	b = protowire.AppendVarint(b, uint64(size))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	return b, errors.Wrap(err, "marshal message")
}

// readDelimited reads one message of at most MaxMessageBytes. The buffer of a message over smallMessageBytes grows as
// its bytes arrive, so that a peer cannot make this process allocate memory by announcing a large size.
func readDelimited(r *bufio.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: smallMessageBytes}
	if _, err := r.Peek(1); err != nil {
		return err
	}
	size, length, err := peekSize(r)
	if err != nil || size <= smallMessageBytes {
		return opts.UnmarshalFrom(r, m)
	}
	if size > MaxMessageBytes {
		return &protodelim.SizeTooLargeError{Size: size, MaxSize: MaxMessageBytes}
	}
	if _, err := r.Discard(length); err != nil {
		return err
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	return proto.Unmarshal(b.Bytes(), m)
}

// peekSize returns the size in a message's varint prefix and the length of the prefix, both in bytes. It consumes
// nothing.
func peekSize(r *bufio.Reader) (size uint64, length int, err error) {
	for n := 1; n <= protowire.SizeVarint(1<<63); n++ {
		b, err := r.Peek(n)
		if err != nil {
			return 0, 0, err
		}
		if b[n-1] < 0x80 {
			size, length = protowire.ConsumeVarint(b)
			return size, length, protowire.ParseError(length)
		}
	}
	return 0, 0, errors.New("size is not a varint")
}
