package caller

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// jsonCodec writes messages with the field names of the protocol, in snake case, and refuses unknown fields.
type jsonCodec struct{}

// Name returns the name by which connect chooses the codec from the content type.
func (jsonCodec) Name() string { return "json" }

// Marshal writes a message; fields without a value are left out.
func (jsonCodec) Marshal(message any) ([]byte, error) {
	known, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is no message", message)
	}
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(known)
}

// Unmarshal reads a message.
func (jsonCodec) Unmarshal(data []byte, message any) error {
	known, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("%T is no message", message)
	}
	return protojson.Unmarshal(data, known)
}
