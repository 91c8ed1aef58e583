package caller

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// jsonCodec encodes messages with the field names of the protocol, in snake case, and rejects unknown fields.
type jsonCodec struct{}

// Name returns the codec name, by which connect selects the codec for the content type application/json.
func (jsonCodec) Name() string { return "json" }

// Marshal encodes a message. Fields without a value are left out.
func (jsonCodec) Marshal(message any) ([]byte, error) {
	known, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a protobuf message", message)
	}
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(known)
}

// Unmarshal decodes a message and returns an error for an unknown field.
func (jsonCodec) Unmarshal(data []byte, message any) error {
	known, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a protobuf message", message)
	}
	return protojson.Unmarshal(data, known)
}
