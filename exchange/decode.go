package exchange

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"persimmonworks.example/persimmonworks/ingress"
)

const (
	maxDecodedBytes = 4 * maxMessageBytes
	nestedBytes     = 256 // that a nested message takes at least once it is decoded
	elementBytes    = 32  // that a text in a list takes
	packedBytes     = 8   // that a number takes that is a byte long on the wire
	maxNesting      = 16
)

var errTooManyElements = errors.New("the message has too many elements")

// decode decodes a message. An empty element takes many times the bytes that it has on the
// wire, so that large messages are measured first and decoded one at a time.
func (s *Server) decode(body []byte, m proto.Message) error {
	if ingress.IsLarge(body) {
		if _, err := decodedBytes(m.ProtoReflect().Descriptor(), body, maxDecodedBytes, maxNesting); err != nil {
			return err
		}
		s.large.Lock()
		defer s.large.Unlock()
	}
	return proto.Unmarshal(body, m)
}

// decodedBytes takes from left what a message takes once it is decoded, and returns the
// rest.
func decodedBytes(d protoreflect.MessageDescriptor, body []byte, left, nesting int) (int, error) {
	if nesting == 0 {
		return 0, errTooManyElements
	}
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		body = body[n:]
		size := protowire.ConsumeFieldValue(number, kind, body)
		if size < 0 {
			return 0, protowire.ParseError(size)
		}
		left -= packedBytes
		if field := d.Fields().ByNumber(number); kind == protowire.BytesType && field != nil {
			value, _ := protowire.ConsumeBytes(body)
			var err error
			if left, err = fieldBytes(field, value, left, nesting); err != nil {
				return 0, err
			}
		}
		if left < 0 {
			return 0, errTooManyElements
		}
		body = body[size:]
	}
	return left, nil
}

// fieldBytes does so for a field with a length of its own.
func fieldBytes(field protoreflect.FieldDescriptor, value []byte, left, nesting int) (int, error) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return decodedBytes(field.Message(), value, left-nestedBytes, nesting-1)
	case protoreflect.StringKind, protoreflect.BytesKind:
		return left - elementBytes - len(value), nil
	default:
		return left - packedBytes*len(value), nil
	}
}
