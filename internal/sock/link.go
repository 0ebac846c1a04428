package sock

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"micatrack/internal/front"
	"micatrack/internal/ring"
)

// Link is one connection. It implements front.Link.
type Link struct {
	net       *Net
	owner     any
	conn      *nbio.Conn
	mu        sync.Mutex   // guards in, inputFull, inputFreed, dropped and closed
	in        ring.Buffer  // data that was received and not discarded
	inBytes   atomic.Int64 // bytes that were received
	inputFull bool         // received bytes were left with the system because in was full
	closed    bool         // the descriptor was released
	dropped   int          // bytes dropped while finishing
	// inputFreed is the number of bytes that were discarded since in was full.
	inputFreed int
	losses     inputLosses // guarded by mu
	// uncheckedBytes is the number of bytes that were received since the last call of checkLosses; guarded by mu.
	uncheckedBytes int
	pending        front.EventFlags // events that Poll has not returned yet; guarded by Net.mu
	sent           atomic.Int64     // bytes that the system has accepted
	blocked        atomic.Bool      // the send buffer is full; writability reports when it isn't
	finishing      atomic.Bool      // sending ends after the content of out; received data is dropped

	descriptor    int         // file descriptor; valid while conn is locked and not closed
	registered    bool        // it was added to the poller; guarded by registry.mu
	closedByFront bool        // the front has closed it; guarded by registry.mu
	waitingSince  time.Time   // when it began to wait to be added to the poller; guarded by registry.mu
	waitToken     int32       // token of its last wait; guarded by writability.mu
	out           ring.Buffer // queued data; used by the main loop only
	writeShutdown atomic.Bool // the sending direction was shut down
	accepted      bool        // it was accepted rather than dialled
	connecting    bool        // it was dialled and no data has been written yet
	received      atomic.Bool // some data was received
	handedOver    bool        // its first data was handed over to nbio, which writes it once the connection is established
}

// readInput reads available data into the ring buffer, as far as there is space, and reports the result to the main loop.
func (l *Link) readInput() {
	l.mu.Lock()
	got, ended := l.fill()
	l.mu.Unlock()
	l.reportRead(got, ended)
}

// fill reads available data into the ring buffer, as far as there is space. got reports whether it read any, or whether the
// buffer is full; ended, whether the peer has closed its side or the connection is broken. The caller must hold mu.
func (l *Link) fill() (got, ended bool) {
	for !l.closed {
		if l.finishing.Load() { // Closing with unread bytes resets the connection, and the peer may lose the last data sent to it.
			l.dropped += l.in.Len()
			l.in.Discard(l.in.Len())
			if l.dropped >= maxDropped { // such a peer would hold the poller for as long as it sends
				return got, l.writeShutdown.Load()
			}
		}
		space := l.in.Space()
		if l.inputFull = len(space) == 0; l.inputFull {
			l.inputFreed = 0
			l.checkLosses()
			return true, false
		}
		n, err := l.conn.Read(space)
		switch {
		case n > 0:
			l.in.Commit(n)
			l.inBytes.Add(int64(n))
			l.uncheckedBytes += n
			l.received.Store(true)
			got = true
		case err == syscall.EINTR:
		default:
			l.checkLosses()
			return got, n == 0 || err != syscall.EAGAIN
		}
	}
	return got, false
}

// reportRead reports the result of fill to the main loop, and closes the link if it has ended.
func (l *Link) reportRead(got, ended bool) {
	if got {
		l.net.report(l, front.Readable)
	}
	if ended {
		l.Close()
	}
}

// PeerState reads available data, as far as there is space, and reports whether the connection is still open on both sides.
func (l *Link) PeerState() front.PeerState {
	l.mu.Lock()
	got, ended := false, false
	if !l.inputFull || l.mayReadOn() {
		got, ended = l.fill()
	}
	full, closed, lossy := l.inputFull, l.closed, l.losses.unrecovered()
	l.mu.Unlock()
	state := front.PeerConnected
	if ended || closed {
		state = front.PeerGone
	} else if full {
		state = l.stateBehindInput()
	}
	if lossy && state == front.PeerConnected {
		state = front.PeerUnknown
	}
	l.reportRead(got, state == front.PeerGone)
	return state
}

// stateBehindInput is PeerState of a link without space for more data, which cannot read up to the peer's close. The system
// tells of a close that it has received. While data waits there the close may still be with the peer.
func (l *Link) stateBehindInput() front.PeerState {
	const gone = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	l.conn.Lock() // while it is locked, the descriptor can't be reused
	defer l.conn.Unlock()
	if closed, _ := l.conn.IsClosed(); closed {
		return front.PeerGone
	}
	wait := [1]unix.PollFd{{Fd: int32(l.descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
	count, err := unix.Poll(wait[:], 0)
	switch {
	case err != nil:
		return front.PeerUnknown
	case count == 0:
		return front.PeerConnected
	case wait[0].Revents&gone != 0:
		return front.PeerGone
	}
	return front.PeerUnknown
}

// ifIdle calls end if no received data is left undiscarded, including what the system holds, and reports whether it did. No
// other data is read between the check and the call.
func (l *Link) ifIdle(end func()) bool {
	l.mu.Lock()
	got, ended := l.fill()
	idle := !got && !ended && !l.closed && l.in.Len() == 0
	if idle {
		end()
	}
	l.mu.Unlock()
	l.reportRead(got, ended)
	return idle
}

// CloseIfIdle closes the connection if all received data was discarded, and reports whether it did. Before that, it sends as
// much of last as the system accepts at once.
func (l *Link) CloseIfIdle(last []byte) bool {
	closes := l.ifIdle(func() {
		l.conn.Lock()
		if closed, _ := l.conn.IsClosed(); !closed && len(last) > 0 {
			syscall.Write(l.descriptor, last)
		}
		l.conn.Unlock()
		l.finishing.Store(true)
	})
	if closes {
		l.Close()
	}
	return closes
}

// CloseWriteIfIdle is like CloseWrite, but does nothing and returns false if there is queued data or received data that was
// not discarded.
func (l *Link) CloseWriteIfIdle() bool {
	return l.Flushed() && l.ifIdle(func() {
		l.finishing.Store(true)
		l.conn.Lock()
		if closed, _ := l.conn.IsClosed(); !closed {
			l.writeShutdown.Store(true)
			syscall.Shutdown(l.descriptor, syscall.SHUT_WR)
		}
		l.conn.Unlock()
	})
}

// onClosed is called when the descriptor has been released. It reports front.Closed once.
func (l *Link) onClosed() {
	n := l.net
	n.mu.Lock()
	_, known := n.links[l.conn]
	delete(n.links, l.conn)
	if known && l.accepted {
		n.acceptedCount--
	}
	n.mu.Unlock()
	if !known {
		return
	}
	n.writability.forget(l)
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.net.report(l, front.Closed)
}

// release releases the link's ring buffers. This happens nowhere else.
func (l *Link) release() {
	l.mu.Lock()
	l.in.Release()
	l.mu.Unlock()
	l.out.Release()
}

// ReadOn reads available data if reading has stopped because the ring buffer was full, and reports false if it has no space
// even now.
func (l *Link) ReadOn() bool {
	l.mu.Lock()
	stopped := l.inputFull
	if stopped {
		l.inputFull = len(l.in.Space()) == 0
	}
	full := l.inputFull
	l.mu.Unlock()
	if stopped && !full {
		l.readInput()
	}
	return !full
}

// ReceivedBytes returns the number of bytes received so far, discarded or not.
func (l *Link) ReceivedBytes() int64 { return l.inBytes.Load() }

// Owner returns the value last passed to SetOwner.
func (l *Link) Owner() any { return l.owner }

// SetOwner stores a value of the core's for Owner.
func (l *Link) SetOwner(owner any) { l.owner = owner }

// Peek returns all received data that was not discarded.
func (l *Link) Peek() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in.Peek()
}

// InputWaits reports whether reading has stopped because the ring buffer was full, or the peer has yet to repeat input that
// the system had no room for.
func (l *Link) InputWaits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inputFull || l.losses.unrecovered()
}

// Discard drops the first n bytes of the received data. If there was no space for more, it reads on once a part of the
// buffer is free or all data is dropped: to read on behind each small message would move the whole content each time.
func (l *Link) Discard(n int) {
	l.mu.Lock()
	l.in.Discard(min(n, l.in.Len())) // If the link is finishing, fill may have dropped the data before the core does.
	l.inputFreed += n
	resume := l.inputFull && l.mayReadOn()
	l.mu.Unlock()
	if resume {
		l.readInput()
	}
}

// mayReadOn reports whether enough space is free again to read on into a ring buffer that was full. The caller must hold mu.
func (l *Link) mayReadOn() bool {
	return l.in.Len() == 0 || l.inputFreed >= l.in.Capacity()/resumeDivisor
}

// Write queues all of p and reports true, or reports false if there is no space for it.
func (l *Link) Write(p []byte) bool { return l.out.Append(p) }

// SentBytes returns the number of bytes that the system has accepted.
func (l *Link) SentBytes() int64 { return l.sent.Load() }

// Flush writes queued data, as far as the system accepts it.
func (l *Link) Flush() {
	if l.blocked.Load() || l.out.Len() == 0 && !l.finishing.Load() || l.handedOver && !l.received.Load() {
		return
	}
	l.conn.Lock() // while it is locked, the descriptor can't be reused
	if closed, _ := l.conn.IsClosed(); closed {
		l.conn.Unlock()
		return
	}
	connected, err := l.send()
	shutdown := err == nil && connected && l.finishing.Load() && !l.writeShutdown.Load() && l.out.Len() == 0
	if shutdown {
		l.writeShutdown.Store(true)
		syscall.Shutdown(l.descriptor, syscall.SHUT_WR)
	}
	l.conn.Unlock()
	switch {
	case err != nil:
		l.close(err)
	case shutdown:
		l.readInput()
	case !connected && l.isRegistered():
		l.handOver()
	}
}

// isRegistered reports whether the link was added to the poller.
func (l *Link) isRegistered() bool {
	l.net.registry.mu.Lock()
	defer l.net.registry.mu.Unlock()
	return l.registered
}

// send writes until all queued data is sent or the send buffer is full. A write that is cut short or interrupted is continued
// at once. connected is false if the connection was dialled and is not established yet.
func (l *Link) send() (connected bool, err error) {
	for l.out.Len() > 0 {
		size, err := syscall.Write(l.descriptor, l.out.Peek())
		switch {
		case size > 0:
			l.sent.Add(int64(size))
			l.out.Discard(size)
			l.connecting = false
		case err == syscall.EINTR:
		case err == syscall.EAGAIN && l.connecting:
			return false, nil
		case err == syscall.EAGAIN:
			l.blocked.Store(true)
			l.net.writability.wait(l)
			return true, nil
		case err == nil:
			return true, io.ErrShortWrite
		default:
			return true, err
		}
	}
	return true, nil
}

// handOver passes the queued data of a connection that is not established yet to nbio, which writes it once the connection is
// established: an edge of writability is certain to follow then. Flush holds all further data back until the peer has sent
// something.
func (l *Link) handOver() {
	l.connecting, l.handedOver = false, true
	size := l.out.Len()
	if _, err := l.conn.Write(l.out.Peek()); err != nil {
		return // the connection is closed, which nbio reports
	}
	l.out.Discard(size)
	l.sent.Add(int64(size))
}

// Flushed reports whether the system has accepted all queued data.
func (l *Link) Flushed() bool { return l.out.Len() == 0 }

// CloseWrite shuts down the sending direction once all queued data is sent. Received data is dropped from now on, and the link
// is closed when the peer closes its side.
func (l *Link) CloseWrite() {
	l.finishing.Store(true)
	l.Flush()
}

// Close closes the link at once and drops queued data.
func (l *Link) Close() { l.close(nil) }

// close closes the link. All closes that the front decides on go through here; the poller closes a link that its peer has
// closed.
func (l *Link) close(err error) {
	if l.net.registry.close(l, err) {
		l.onClosed()
	}
}

// Abort is like Close, but resets the connection, so that data that the system has not sent yet is dropped too.
func (l *Link) Abort() {
	l.conn.Lock()
	if closed, _ := l.conn.IsClosed(); !closed {
		l.conn.SetLinger(1, 0)
	}
	l.conn.Unlock()
	l.Close()
}
