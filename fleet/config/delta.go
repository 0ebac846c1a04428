package config

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// delta describes how one text becomes another, as copies from the old text and inserted bytes, as in
// VCDIFF (RFC 3284).
type delta struct {
	size int       // bytes of the new text
	sum  uint64    // xxhash of the new text
	ops  []deltaOp // operations that produce the new text, in order
}

// deltaOp copies length bytes of the old text, beginning at offset, or inserts bytes.
type deltaOp struct {
	offset int    // in the old text; only of a copy
	length int    // bytes copied or inserted
	insert []byte // bytes to insert; nil for a copy
}

const (
	deltaBlockSize  = 16                  // bytes that must match before a copy is considered
	maxDelta        = MaxDocument + 4<<10 // bytes of an encoded delta
	minDeflate      = 128                 // bytes; smaller payloads are not worth compressing
	payloadRaw      = 0                   // first byte of an uncompressed payload
	payloadDeflated = 1                   // first byte of a payload compressed with DEFLATE
)

// makeDelta returns a delta from old to new. The same texts always give the same delta.
func makeDelta(old, new []byte) *delta {
	d := &delta{size: len(new), sum: xxhash.Sum64(new)}
	offsets := blockOffsets(old)
	begin := 0 // start of the part of new that no operation covers yet
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

// blockOffsets returns the first offset of each block of a text.
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

// commonPrefix returns the length of the longest common prefix of x and y.
func commonPrefix(x, y []byte) int {
	n := 0
	for n < len(x) && n < len(y) && x[n] == y[n] {
		n++
	}
	return n
}

// commonSuffix returns the length of the longest common suffix of x and y.
func commonSuffix(x, y []byte) int {
	n := 0
	for n < len(x) && n < len(y) && x[len(x)-1-n] == y[len(y)-1-n] {
		n++
	}
	return n
}

// insert appends an insertion. The bytes are copied, so that the delta does not keep a whole text in
// memory.
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

// copy appends a copy, merging it with the previous one if they are contiguous.
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

// apply returns the new text. It verifies the checksum of the whole result, because a corrupt delta, or one
// applied to the wrong text, could otherwise put a text in force that nobody wrote.
func (d *delta) apply(old []byte) ([]byte, error) {
	text := make([]byte, 0, d.size)
	for _, op := range d.ops {
		if len(text)+op.length > d.size {
			return nil, fmt.Errorf("%w: delta is longer than its declared size", ErrMalformed)
		}
		if op.insert != nil {
			text = append(text, op.insert...)
			continue
		}
		if op.offset > len(old) || op.length > len(old)-op.offset {
			return nil, fmt.Errorf("%w: delta was made from another text", ErrMalformed)
		}
		text = append(text, old[op.offset:op.offset+op.length]...)
	}
	if len(text) != d.size || xxhash.Sum64(text) != d.sum {
		return nil, fmt.Errorf("%w: checksum or size of the resulting text does not match", ErrMalformed)
	}
	return text, nil
}

// compose returns a delta that has the effect of d followed by next.
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

// copyComposed appends what a copy from the result of first means for the text that first applies to.
func (d *delta) copyComposed(first *delta, offset, length int) {
	begin := 0 // offset of the operation's output in the intermediate text
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

// memorySize estimates the memory that a delta holds, in bytes.
func (d *delta) memorySize() int {
	total := 64
	for _, op := range d.ops {
		total += 48 + len(op.insert)
	}
	return total
}

// encode returns the payload of a delta, as it is sent and logged, compressed if that is shorter.
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

// deflate returns the compressed payload of text, including its first byte.
func deflate(text []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(payloadDeflated)
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return text // cannot happen: the compression level is valid
	}
	writer.Write(text) // writes to a buffer do not fail
	writer.Close()
	return out.Bytes()
}

// inflate decompresses what deflate produced. The output is limited to maxDelta bytes, because a few bytes
// of input could otherwise expand to gigabytes.
func inflate(flat []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(flat))
	text, err := io.ReadAll(io.LimitReader(reader, maxDelta+1))
	if err != nil || len(text) > maxDelta {
		return nil, fmt.Errorf("%w: invalid or too large compressed payload", ErrMalformed)
	}
	return text, nil
}

// readDelta decodes a payload. Errors are ErrMalformed.
func readDelta(payload []byte) (d *delta, err error) {
	if len(payload) < 2 || len(payload) > maxDelta {
		return nil, fmt.Errorf("%w: delta of %d bytes", ErrMalformed, len(payload))
	}
	raw := payload[1:]
	switch payload[0] {
	case payloadRaw:
	case payloadDeflated:
		raw, err = inflate(raw)
	default:
		err = fmt.Errorf("%w: unknown delta encoding", ErrMalformed)
	}
	if err != nil {
		return nil, err
	}
	size, width := binary.Uvarint(raw)
	if width <= 0 || size > MaxDocument || len(raw) < width+8 {
		return nil, fmt.Errorf("%w: invalid delta header", ErrMalformed)
	}
	d = &delta{size: int(size), sum: binary.LittleEndian.Uint64(raw[width:])}
	return d, d.readOps(raw[width+8:])
}

// readOps decodes the operations of a delta.
func (d *delta) readOps(raw []byte) error {
	for len(raw) > 0 {
		head, width := binary.Uvarint(raw)
		length := head >> 1
		if width <= 0 || length == 0 || length > MaxDocument {
			return fmt.Errorf("%w: invalid delta operation", ErrMalformed)
		}
		raw = raw[width:]
		if head&1 == 1 {
			if length > uint64(len(raw)) {
				return fmt.Errorf("%w: truncated delta", ErrMalformed)
			}
			d.ops = append(d.ops, deltaOp{insert: raw[:length], length: int(length)})
			raw = raw[length:]
			continue
		}
		offset, width := binary.Uvarint(raw)
		if width <= 0 || offset > MaxDocument {
			return fmt.Errorf("%w: invalid delta operation", ErrMalformed)
		}
		raw = raw[width:]
		d.ops = append(d.ops, deltaOp{offset: int(offset), length: int(length)})
	}
	return nil
}
