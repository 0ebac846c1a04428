// Package ring holds the buffer that stands at each direction of a connection. It starts empty, grows by
// doubling up to its bound and lets its memory go once it is drained.
package ring

import "sync/atomic"

const initialSize = 4 << 10

// Buffer is a bounded ring of bytes. Its zero value with Most set is ready for use.
type Buffer struct {
	Max    int           // bytes that it may hold
	Budget *atomic.Int64 // bytes that all rings together may grow by past their first size; nil: any
	buf    []byte
	head   int
	size   int
}

// Len tells how many bytes it holds.
func (b *Buffer) Len() int { return b.size }

// Space gives a piece of free room to write into, empty only if the ring holds as much as it may.
func (b *Buffer) Space() []byte {
	if b.size == len(b.buf) {
		b.grow(b.size + 1)
	}
	if b.size == len(b.buf) {
		return nil
	}
	tail := (b.head + b.size) % len(b.buf)
	if tail < b.head {
		return b.buf[tail:b.head]
	}
	return b.buf[tail:]
}

// Commit counts n bytes of the last Space as written.
func (b *Buffer) Commit(n int) { b.size += n }

// Append writes all of p, or nothing if it does not fit.
func (b *Buffer) Append(p []byte) bool {
	if b.size+len(p) > b.Max {
		return false
	}
	if b.grow(b.size + len(p)); b.size+len(p) > len(b.buf) {
		return false
	}
	for len(p) > 0 {
		n := copy(b.Space(), p)
		b.Commit(n)
		p = p[n:]
	}
	return true
}

// Peek gives all that it holds in one piece, valid until the next Peek, Append or Discard.
func (b *Buffer) Peek() []byte {
	if b.head+b.size > len(b.buf) {
		b.reallocate(len(b.buf))
	}
	return b.buf[b.head : b.head+b.size]
}

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	b.head += n
	b.size -= n
	if b.size == 0 {
		b.head = 0
		if len(b.buf) > initialSize {
			b.Release()
		}
	} else if b.head >= len(b.buf) {
		b.head -= len(b.buf)
	}
}

func (b *Buffer) grow(need int) {
	if need <= len(b.buf) || len(b.buf) >= b.Max {
		return
	}
	n := max(initialSize, len(b.buf))
	for n < need {
		n *= 2
	}
	n = min(n, b.Max)
	if b.Budget != nil && n > initialSize {
		more := int64(n - max(len(b.buf), initialSize))
		if b.Budget.Add(-more) < 0 {
			b.Budget.Add(more)
			return
		}
	}
	b.reallocate(n)
}

// Release drops what it holds and gives its memory back.
func (b *Buffer) Release() {
	if b.Budget != nil && len(b.buf) > initialSize {
		b.Budget.Add(int64(len(b.buf) - initialSize))
	}
	b.buf, b.head, b.size = nil, 0, 0
}

// reallocate lays the content at the start of a new buffer; what was handed out of the old one stays as it is.
func (b *Buffer) reallocate(n int) {
	to := make([]byte, n)
	k := copy(to, b.buf[b.head:min(b.head+b.size, len(b.buf))])
	copy(to[k:], b.buf[:b.size-k])
	b.buf, b.head = to, 0
}
