// Package ring implements the ring buffer used for each direction of a connection. A buffer starts empty, grows by doubling
// up to its bound and frees its memory once it is drained.
package ring

import "sync/atomic"

// InitialSize is the number of bytes of a buffer's first allocation, which no budget is charged for.
const InitialSize = 2 << 10

// Buffer is a bounded ring buffer of bytes. A zero value with Max set is ready for use. A Buffer isn't safe for concurrent
// use, except that several may share a Budget.
type Buffer struct {
	Max    int           // capacity bound in bytes
	Budget *atomic.Int64 // bytes by which all buffers that share it may still grow beyond their initial sizes; nil: no limit
	// Beyond Regular bytes the buffer grows only if that leaves Reserve bytes of the budget for other buffers; 0: Regular is
	// Max.
	Regular int
	Reserve int64
	buf     []byte
	head    int // index of the first byte held
	size    int // number of bytes held
}

// Len returns the number of bytes held.
func (b *Buffer) Len() int { return b.size }

// Space returns a contiguous part of the free space to write into, growing the buffer if it is full. It is empty only if the
// buffer can't grow, because of Max or Budget. Commit makes the bytes written part of the content.
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

// Commit adds the first n bytes of the slice last returned by Space to the content.
func (b *Buffer) Commit(n int) { b.size += n }

// Append adds all of p and reports true, or adds nothing and reports false if p doesn't fit.
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

// Peek returns the whole content as one slice, valid until the next Peek, Append or Discard.
func (b *Buffer) Peek() []byte {
	if b.head+b.size > len(b.buf) {
		b.reallocate(len(b.buf))
	}
	return b.buf[b.head : b.head+b.size]
}

// Discard removes the first n bytes. A buffer that is drained releases its memory unless it still has the initial size.
func (b *Buffer) Discard(n int) {
	b.head += n
	b.size -= n
	if b.size == 0 {
		b.head = 0
		if len(b.buf) > InitialSize {
			b.Release()
		}
	} else if b.head >= len(b.buf) {
		b.head -= len(b.buf)
	}
}

// grow makes the buffer hold at least need bytes, or Max if that is less. It does nothing if the budget doesn't allow it.
func (b *Buffer) grow(need int) {
	if need <= len(b.buf) || len(b.buf) >= b.Max {
		return
	}
	n := max(InitialSize, len(b.buf))
	for n < need {
		n *= 2
	}
	n = min(n, b.Max)
	if b.Regular > 0 && n > b.Regular && (need <= b.Regular || !b.mayExceedRegular(n)) {
		n = b.Regular
	}
	if n <= len(b.buf) {
		return
	}
	if b.Budget != nil && n > InitialSize {
		more := int64(n - max(len(b.buf), InitialSize))
		if b.Budget.Add(-more) < 0 {
			b.Budget.Add(more)
			return
		}
	}
	b.reallocate(n)
}

// mayExceedRegular reports whether the budget leaves enough for other buffers if this one grows to n bytes.
func (b *Buffer) mayExceedRegular(n int) bool {
	return b.Budget == nil || b.Budget.Load()-int64(n-len(b.buf)) >= b.Reserve
}

// Capacity returns the number of bytes that the buffer holds without growing.
func (b *Buffer) Capacity() int { return len(b.buf) }

// Release drops the content, frees the memory and returns its size to the budget.
func (b *Buffer) Release() {
	if b.Budget != nil && len(b.buf) > InitialSize {
		b.Budget.Add(int64(len(b.buf) - InitialSize))
	}
	b.buf, b.head, b.size = nil, 0, 0
}

// reallocate copies the content to the start of a new array of n bytes. The old array isn't changed, so slices of it that
// were handed out keep their content.
func (b *Buffer) reallocate(n int) {
	array := make([]byte, n)
	copied := copy(array, b.buf[b.head:min(b.head+b.size, len(b.buf))])
	copy(array[copied:], b.buf[:b.size-copied])
	b.buf, b.head = array, 0
}
