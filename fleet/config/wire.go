package config

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// All encodings consist of fields in the Protocol Buffers wire format. Unknown fields are skipped, so an older
// program can read what a newer one writes.

// field is a decoded field. Only one of value and bytes is set.
type field struct {
	number protowire.Number
	value  uint64 // of a varint or fixed64 field
	bytes  []byte // of a length-delimited field; shares memory with the input
}

// eachField calls handle for each field of an encoding, in order, and stops at the first error. A field
// takes at least one byte, so the number of calls is at most the length of encoded.
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
			f.number = 0 // a wire type that no known field has
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

// text returns the bytes of a field as a string, or an error if there are more than limit.
func (f field) text(limit int) (string, error) {
	if len(f.bytes) > limit {
		return "", fmt.Errorf("%w: text of %d bytes, at most %d", ErrMalformed, len(f.bytes), limit)
	}
	return string(f.bytes), nil
}

// duration returns the value of a field as a duration, or an error if it exceeds limit.
func (f field) duration(limit Time) (Time, error) {
	if f.value > uint64(limit) {
		return 0, fmt.Errorf("%w: duration exceeds its limit", ErrMalformed)
	}
	return Time(f.value), nil
}

// appendNumber appends a varint field; 0 is omitted.
func appendNumber(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, number, protowire.VarintType), value)
}

// appendFixed appends a field of eight bytes, which suits hashes.
func appendFixed(dst []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(dst, number, protowire.Fixed64Type), value)
}

// appendText appends a text field; an empty text is omitted.
func appendText[T string | Scope | []byte](dst []byte, number protowire.Number, text T) []byte {
	if len(text) == 0 {
		return dst
	}
	return appendPart(dst, number, []byte(text))
}

// appendPart appends a length-delimited field, even if it is empty.
func appendPart(dst []byte, number protowire.Number, part []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(dst, number, protowire.BytesType), part)
}

// valid reports whether a scope name has an allowed length and consists of lower-case letters, digits,
// hyphens and underscores.
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
