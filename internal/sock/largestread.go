package sock

import "sync/atomic"

// ReadCall describes one call in which the poller read from a connection. All other connections wait meanwhile.
type ReadCall struct {
	Bytes int64 // bytes that were read, whether kept or dropped
	Ended bool  // the front had ended the connection
}

// largestRead keeps the call that read most. A zero value is ready for use. It counts bytes, since a clock read around each
// call would cost more than the call on some systems.
type largestRead struct {
	kept  atomic.Int64 // bytes of a connection that is in use
	ended atomic.Int64 // bytes of a connection that the front had ended
}

// measure has a link read its input, and keeps the call if it read most.
func (m *largestRead) measure(l *Link) {
	bytes, largest := l.inBytes.Load(), &m.kept
	if l.finishing.Load() {
		largest = &m.ended
	}
	l.readInput()
	if bytes = l.inBytes.Load() - bytes; bytes > largest.Load() {
		largest.Store(bytes) // only the poller stores more
	}
}

// LargestRead returns the poller's call that has read most since the last call of LargestRead. It is safe for concurrent use.
func (n *Net) LargestRead() ReadCall {
	kept, ended := n.largestRead.kept.Swap(0), n.largestRead.ended.Swap(0)
	return ReadCall{Bytes: max(kept, ended), Ended: ended > kept}
}
