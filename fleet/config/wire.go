package config

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// All encodings are fields in the wire format of protocol buffers: a field that a program does not know is
// passed over, so an older program reads what a newer one writes.

// field is one field as it is read. One of the two values is set.
type field struct {
	number protowire.Number
	value  uint64 // of a varint or a fixed64
	bytes  []byte // within the text that is read
}

// eachField hands over the fields of an encoding in their order, at most as many as it has bytes.
func eachField(encoded []byte, handle func(f field) error) error {
	for len(encoded) > 0 {
		number, kind, size := protowire.ConsumeTag(encoded)
		if size < 0 {
			return ErrMalformed
		}
		encoded = encoded[size:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.value, size = protowire.ConsumeVarint(encoded)
		case protowire.Fixed64Type:
			f.value, size = protowire.ConsumeFixed64(encoded)
		case protowire.BytesType:
			f.bytes, size = protowire.ConsumeBytes(encoded)
		default:
			size = protowire.ConsumeFieldValue(number, kind, encoded)
			f.number = 0 // of a kind that no field has here
		}
		if size < 0 {
			return ErrMalformed
		}
		encoded = encoded[size:]
		if err := handle(f); err != nil {
			return err
		}
	}
	return nil
}

// text gives a field's bytes as a string of at most limit bytes.
func (f field) text(limit int) (string, error) {
	if len(f.bytes) > limit {
		return "", fmt.Errorf("%w: a text of %d bytes, at most %d", ErrMalformed, len(f.bytes), limit)
	}
	return string(f.bytes), nil
}

// duration gives a field's value as a span of at most limit.
func (f field) duration(limit Time) (Time, error) {
	if f.value > uint64(limit) {
		return 0, fmt.Errorf("%w: a span over its bound", ErrMalformed)
	}
	return Time(f.value), nil
}

// appendNumber appends a number's field; 0 is left out.
func appendNumber(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, number, protowire.VarintType), value)
}

// appendFixed appends a field of eight bytes, for numbers that are hashes.
func appendFixed(dst []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(dst, number, protowire.Fixed64Type), value)
}

// appendText appends a text's field; an empty one is left out.
func appendText[T string | Scope | []byte](dst []byte, number protowire.Number, text T) []byte {
	if len(text) == 0 {
		return dst
	}
	return appendPart(dst, number, []byte(text))
}

// appendPart appends a field of bytes, empty or not.
func appendPart(dst []byte, number protowire.Number, part []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(dst, number, protowire.BytesType), part)
}

// valid tells whether a scope's name is one: small letters, digits, dashes and underscores.
func (s Scope) valid() bool {
	if len(s) == 0 || len(s) > MaxScopeName {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
