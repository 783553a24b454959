package toucanwire

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// appendDelimited appends m to b behind its size, the form that protodelim reads.
func appendDelimited(b []byte, m proto.Message, size int) ([]byte, error) {
	b = protowire.AppendVarint(b, uint64(size))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	return b, errors.Wrap(err, "marshal message")
}
