package bolt

import (
	"encoding/binary"
	"errors"
	"math"
)

// Kind is the type of a PackStream value.
type Kind uint8

// The kinds of values.
const (
	None Kind = iota // No bytes are left.
	Null
	Bool
	Int
	Float
	Bytes
	String
	List
	Map
	Struct
	InvalidKind // The next byte is not a marker.
)

var (
	errTruncated = errors.New("a value ends too early")
	errKind      = errors.New("a value of another kind was expected")
	errMarker    = errors.New("a byte that begins no value")
)

// Decoder reads PackStream values one after the other. The slices it returns point into the message. After an error it
// returns only zero values, and Err returns the error.
type Decoder struct {
	buf []byte
	err error
}

// NewDecoder returns a Decoder of the values in a message's body.
func NewDecoder(body []byte) Decoder { return Decoder{buf: body} }

// Err returns the first error.
func (v *Decoder) Err() error { return v.err }

// Remaining returns the bytes that have not been read.
func (v *Decoder) Remaining() []byte { return v.buf }

// fail records the first error and discards the remaining bytes.
func (v *Decoder) fail(err error) {
	if v.err == nil {
		v.err = err
	}
	v.buf = nil
}

// Kind returns the kind of the next value without consuming it.
func (v *Decoder) Kind() Kind {
	if len(v.buf) == 0 {
		return None
	}
	switch m := v.buf[0]; {
	case m <= 0x7f || m >= 0xf0 || m >= 0xc8 && m <= 0xcb:
		return Int
	case m <= 0x8f || m >= 0xd0 && m <= 0xd2:
		return String
	case m <= 0x9f || m >= 0xd4 && m <= 0xd6:
		return List
	case m <= 0xaf || m >= 0xd8 && m <= 0xda:
		return Map
	case m <= 0xbf:
		return Struct
	case m == 0xc0:
		return Null
	case m == 0xc1:
		return Float
	case m <= 0xc3:
		return Bool
	case m >= 0xcc && m <= 0xce:
		return Bytes
	}
	return InvalidKind
}

// readHead consumes a marker and the size or number behind it. It returns the number of bytes, entries or fields that
// follow, or the number itself.
func (v *Decoder) readHead() (k Kind, n int64) {
	k = v.Kind()
	if k == None {
		v.fail(errTruncated)
		return InvalidKind, 0
	}
	m := v.buf[0]
	width := 0 // Bytes of the size or number behind the marker.
	switch {
	case k == InvalidKind:
		v.fail(errMarker)
		return InvalidKind, 0
	case k == Int && (m <= 0x7f || m >= 0xf0):
		n = int64(int8(m))
	case k == Int:
		width = 1 << (m - 0xc8)
	case k == Float:
		width = 8
	case k == Bool:
		n = int64(m & 1)
	case k == Bytes:
		width = 1 << (m - 0xcc)
	case m >= 0x80 && m <= 0xbf:
		n = int64(m & 0x0f)
	case k == String:
		width = 1 << (m - 0xd0)
	case k == List:
		width = 1 << (m - 0xd4)
	case k == Map:
		width = 1 << (m - 0xd8)
	}
	if len(v.buf) < 1+width {
		v.fail(errTruncated)
		return InvalidKind, 0
	}
	switch b := v.buf[1:]; width {
	case 1:
		n = int64(b[0])
	case 2:
		n = int64(binary.BigEndian.Uint16(b))
	case 4:
		n = int64(binary.BigEndian.Uint32(b))
	case 8:
		n = int64(binary.BigEndian.Uint64(b))
	}
	if k == Int && width > 0 && width < 8 { // Sizes are unsigned, integers are signed.
		shift := 64 - 8*width
		n = n << shift >> shift
	}
	v.buf = v.buf[1+width:]
	return k, n
}

// expect consumes the head of a value of kind k.
func (v *Decoder) expect(k Kind) int64 {
	got, n := v.readHead()
	if got != k {
		v.fail(errKind)
		return 0
	}
	return n
}

// Int consumes an integer.
func (v *Decoder) Int() int64 { return v.expect(Int) }

// Bool consumes a Boolean.
func (v *Decoder) Bool() bool { return v.expect(Bool) != 0 }

// Float consumes a floating-point number.
func (v *Decoder) Float() float64 { return math.Float64frombits(uint64(v.expect(Float))) }

// take consumes n bytes.
func (v *Decoder) take(n int64) []byte {
	if n < 0 || n > int64(len(v.buf)) {
		v.fail(errTruncated)
		return nil
	}
	b := v.buf[:n:n]
	v.buf = v.buf[n:]
	return b
}

// String consumes a string.
func (v *Decoder) String() []byte { return v.take(v.expect(String)) }

// Bytes consumes a byte array.
func (v *Decoder) Bytes() []byte { return v.take(v.expect(Bytes)) }

// checkCount checks that n items of at least each bytes can still follow.
func (v *Decoder) checkCount(n, each int64) int {
	if n < 0 || n > int64(len(v.buf))/each {
		v.fail(errTruncated)
		return 0
	}
	return int(n)
}

// List consumes the head of a list and returns the number of entries that follow.
func (v *Decoder) List() int { return v.checkCount(v.expect(List), 1) }

// Map consumes the head of a map and returns the number of pairs, a string and a value each, that follow.
func (v *Decoder) Map() int { return v.checkCount(v.expect(Map), 2) }

// Struct consumes the head of a structure and returns its tag and the number of fields that follow.
func (v *Decoder) Struct() (tag byte, fields int) {
	n := v.expect(Struct)
	if v.err != nil || len(v.buf) == 0 {
		v.fail(errTruncated)
		return 0, 0
	}
	tag = v.buf[0]
	v.buf = v.buf[1:]
	return tag, v.checkCount(n, 1)
}

// Skip consumes a value of any kind with everything nested in it, and returns its bytes. It needs no stack, since it
// counts the values that are still to come; so the nesting is bounded only by the length of the message.
func (v *Decoder) Skip() []byte {
	start := v.buf
	for left := int64(1); left > 0 && v.err == nil; left-- {
		switch k, n := v.readHead(); k {
		case String, Bytes:
			v.take(n)
		case List:
			left += n
		case Map:
			left += 2 * n
		case Struct:
			if v.take(1); v.err == nil {
				left += n
			}
		}
		if left-1 > int64(len(v.buf)) {
			v.fail(errTruncated)
		}
	}
	if v.err != nil {
		return nil
	}
	return start[:len(start)-len(v.buf)]
}

// AppendNull appends Null.
func AppendNull(dst []byte) []byte { return append(dst, 0xc0) }

// AppendBool appends a Boolean.
func AppendBool(dst []byte, b bool) []byte {
	if b {
		return append(dst, 0xc3)
	}
	return append(dst, 0xc2)
}

// AppendInt appends an integer in the shortest form.
func AppendInt(dst []byte, n int64) []byte {
	switch {
	case n >= -16 && n <= 127:
		return append(dst, byte(n))
	case n == int64(int8(n)):
		return append(dst, 0xc8, byte(n))
	case n == int64(int16(n)):
		return binary.BigEndian.AppendUint16(append(dst, 0xc9), uint16(n))
	case n == int64(int32(n)):
		return binary.BigEndian.AppendUint32(append(dst, 0xca), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(dst, 0xcb), uint64(n))
}

// AppendFloat appends a floating-point number.
func AppendFloat(dst []byte, f float64) []byte {
	return binary.BigEndian.AppendUint64(append(dst, 0xc1), math.Float64bits(f))
}

// appendSize appends a marker with a size: tiny|n for a size below 16 if the kind has that form, else one of the three
// markers from wide on.
func appendSize(dst []byte, tiny, wide byte, n int) []byte {
	switch {
	case n < 16 && tiny != 0:
		return append(dst, tiny|byte(n))
	case n < 1<<8:
		return append(dst, wide, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(dst, wide+1), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(dst, wide+2), uint32(n))
}

// AppendString appends a string.
func AppendString[T string | []byte](dst []byte, s T) []byte {
	return append(appendSize(dst, 0x80, 0xd0, len(s)), s...)
}

// AppendBytes appends a byte array.
func AppendBytes(dst, b []byte) []byte { return append(appendSize(dst, 0, 0xcc, len(b)), b...) }

// AppendList appends the head of a list of n entries.
func AppendList(dst []byte, n int) []byte { return appendSize(dst, 0x90, 0xd4, n) }

// AppendMap appends the head of a map of n pairs.
func AppendMap(dst []byte, n int) []byte { return appendSize(dst, 0xa0, 0xd8, n) }

// AppendStruct appends the head of a structure of up to 15 fields.
func AppendStruct(dst []byte, tag byte, fields int) []byte {
	return append(dst, 0xb0|byte(fields&15), tag)
}

// AppendPair appends a key and a string value, for a map.
func AppendPair(dst []byte, key, value string) []byte {
	return AppendString(AppendString(dst, key), value)
}
