package config

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// delta is how one text becomes another: copies from the old one and inserted bytes, as in VCDIFF (RFC 3284).
type delta struct {
	size int    // of the new text
	sum  uint64 // xxhash of the new text
	ops  []deltaOp
}

// deltaOp copies length bytes from offset of the old text, or inserts.
type deltaOp struct {
	offset, length int
	insert         []byte // not nil: inserted, and length is its length
}

const (
	deltaBlockSize  = 16                  // bytes that have to be alike before a copy is looked at
	maxDelta        = MaxDocument + 4<<10 // bytes of an encoded delta
	minDeflate      = 128                 // bytes below which a payload is not worth compressing
	payloadRaw      = 0
	payloadDeflated = 1
)

// makeDelta finds how old becomes new. The same texts lead to the same delta.
func makeDelta(old, new []byte) *delta {
	d := &delta{size: len(new), sum: xxhash.Sum64(new)}
	offsets := blockOffsets(old)
	begin := 0 // of what is not written yet
	for at := 0; at+deltaBlockSize <= len(new); {
		offset, has := offsets[[deltaBlockSize]byte(new[at:at+deltaBlockSize])]
		if !has {
			at++
			continue
		}
		back := commonSuffix(old[:offset], new[begin:at])
		length := back + commonPrefix(old[offset:], new[at:])
		d.insert(new[begin : at-back])
		d.copy(offset-back, length)
		at += length - back
		begin = at
	}
	d.insert(new[begin:])
	return d
}

// blockOffsets gives where each block of a text stands first.
func blockOffsets(text []byte) map[[deltaBlockSize]byte]int {
	offsets := make(map[[deltaBlockSize]byte]int, len(text)/deltaBlockSize)
	for at := 0; at+deltaBlockSize <= len(text); at += deltaBlockSize {
		block := [deltaBlockSize]byte(text[at : at+deltaBlockSize])
		if _, has := offsets[block]; !has {
			offsets[block] = at
		}
	}
	return offsets
}

func commonPrefix(x, y []byte) int {
	n := 0
	for n < len(x) && n < len(y) && x[n] == y[n] {
		n++
	}
	return n
}

func commonSuffix(x, y []byte) int {
	n := 0
	for n < len(x) && n < len(y) && x[len(x)-1-n] == y[len(y)-1-n] {
		n++
	}
	return n
}

// insert adds bytes; they are copied, so that the delta does not keep a whole text alive.
func (d *delta) insert(text []byte) {
	if len(text) == 0 {
		return
	}
	if last := len(d.ops) - 1; last >= 0 && d.ops[last].insert != nil {
		joined := append(bytes.Clone(d.ops[last].insert), text...)
		d.ops[last] = deltaOp{insert: joined, length: len(joined)}
		return
	}
	d.ops = append(d.ops, deltaOp{insert: bytes.Clone(text), length: len(text)})
}

// copy adds a copy, joined to the one before where it goes on there.
func (d *delta) copy(offset, length int) {
	if length == 0 {
		return
	}
	if len(d.ops) > 0 {
		last := &d.ops[len(d.ops)-1]
		if last.insert == nil && last.offset+last.length == offset {
			last.length += length
			return
		}
	}
	d.ops = append(d.ops, deltaOp{offset: offset, length: length})
}

// apply gives the new text. Danger: a spoilt delta, or one against another text, would put something in force
// that nobody wrote, so the whole text's checksum decides.
func (d *delta) apply(old []byte) ([]byte, error) {
	text := make([]byte, 0, d.size)
	for _, op := range d.ops {
		if len(text)+op.length > d.size {
			return nil, fmt.Errorf("%w: a delta longer than it says", ErrMalformed)
		}
		if op.insert != nil {
			text = append(text, op.insert...)
			continue
		}
		if op.offset > len(old) || op.length > len(old)-op.offset {
			return nil, fmt.Errorf("%w: a delta against another text", ErrMalformed)
		}
		text = append(text, old[op.offset:op.offset+op.length]...)
	}
	if len(text) != d.size || xxhash.Sum64(text) != d.sum {
		return nil, fmt.Errorf("%w: a text with another checksum", ErrMalformed)
	}
	return text, nil
}

// compose gives the delta that does what d and after it next does.
func (d *delta) compose(next *delta) *delta {
	joined := &delta{size: next.size, sum: next.sum}
	for _, op := range next.ops {
		if op.insert != nil {
			joined.insert(op.insert)
		} else {
			joined.copyComposed(d, op.offset, op.length)
		}
	}
	return joined
}

// copyComposed adds what a copy from the text that first leads to means for the text before it.
func (d *delta) copyComposed(first *delta, offset, length int) {
	begin := 0 // of an operation's part in the text between
	for _, op := range first.ops {
		from, to := max(offset, begin), min(offset+length, begin+op.length)
		if from < to && op.insert != nil {
			d.insert(op.insert[from-begin : to-begin])
		} else if from < to {
			d.copy(op.offset+from-begin, to-from)
		}
		begin += op.length
		if begin >= offset+length {
			return
		}
	}
}

// memorySize estimates the memory that a delta holds.
func (d *delta) memorySize() int {
	total := 64
	for _, op := range d.ops {
		total += 48 + len(op.insert)
	}
	return total
}

// encode encodes a delta as it is sent and logged, compressed where that is shorter.
func (d *delta) encode() []byte {
	raw := binary.AppendUvarint([]byte{payloadRaw}, uint64(d.size))
	raw = binary.LittleEndian.AppendUint64(raw, d.sum)
	for _, op := range d.ops {
		if op.insert != nil {
			raw = binary.AppendUvarint(raw, uint64(op.length)<<1|1)
			raw = append(raw, op.insert...)
			continue
		}
		raw = binary.AppendUvarint(raw, uint64(op.length)<<1)
		raw = binary.AppendUvarint(raw, uint64(op.offset))
	}
	if len(raw) < minDeflate {
		return raw
	}
	if flat := deflate(raw[1:]); len(flat) < len(raw) {
		return flat
	}
	return raw
}

func deflate(text []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(payloadDeflated)
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return text // the level is a sound one
	}
	writer.Write(text) // a buffer takes everything
	writer.Close()
	return out.Bytes()
}

// inflate gives what deflate was given. Danger: a few bytes that become gigabytes.
func inflate(flat []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(flat))
	text, err := io.ReadAll(io.LimitReader(reader, maxDelta+1))
	if err != nil || len(text) > maxDelta {
		return nil, fmt.Errorf("%w: compressed bytes", ErrMalformed)
	}
	return text, nil
}

// readDelta reads a payload.
func readDelta(payload []byte) (d *delta, err error) {
	if len(payload) < 2 || len(payload) > maxDelta {
		return nil, fmt.Errorf("%w: a delta of %d bytes", ErrMalformed, len(payload))
	}
	raw := payload[1:]
	switch payload[0] {
	case payloadRaw:
	case payloadDeflated:
		raw, err = inflate(raw)
	default:
		err = fmt.Errorf("%w: a delta of an unknown form", ErrMalformed)
	}
	if err != nil {
		return nil, err
	}
	size, width := binary.Uvarint(raw)
	if width <= 0 || size > MaxDocument || len(raw) < width+8 {
		return nil, fmt.Errorf("%w: a delta without its head", ErrMalformed)
	}
	d = &delta{size: int(size), sum: binary.LittleEndian.Uint64(raw[width:])}
	return d, d.readOps(raw[width+8:])
}

func (d *delta) readOps(raw []byte) error {
	for len(raw) > 0 {
		head, width := binary.Uvarint(raw)
		length := head >> 1
		if width <= 0 || length == 0 || length > MaxDocument {
			return fmt.Errorf("%w: an operation of a delta", ErrMalformed)
		}
		raw = raw[width:]
		if head&1 == 1 {
			if length > uint64(len(raw)) {
				return fmt.Errorf("%w: a delta that is cut short", ErrMalformed)
			}
			d.ops = append(d.ops, deltaOp{insert: raw[:length], length: int(length)})
			raw = raw[length:]
			continue
		}
		offset, width := binary.Uvarint(raw)
		if width <= 0 || offset > MaxDocument {
			return fmt.Errorf("%w: an operation of a delta", ErrMalformed)
		}
		raw = raw[width:]
		d.ops = append(d.ops, deltaOp{offset: int(offset), length: int(length)})
	}
	return nil
}
