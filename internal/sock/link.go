package sock

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"

	"micatrack/internal/front"
	"micatrack/internal/ring"
)

// Link is one socket.
type Link struct {
	net       *Net
	owner     any
	conn      *nbio.Conn
	mu        sync.Mutex // guards what follows but for sent
	in        ring.Buffer
	inputFull bool // the poller left bytes with the system, for want of room
	closed    bool
	pending   front.EventFlags // of an event not yet gathered; guarded by Net.mu
	sent      atomic.Int64
	blocked   atomic.Bool // the system takes no more for now, and the loop is told when it does
	finishing atomic.Bool // nothing is to be sent behind what out holds

	descriptor    int         // valid while conn is locked and not closed
	registered    bool        // it is under the poller, or was; guarded by registry.mu, as the next
	closedByFront bool        // the front has closed it
	waitToken     int32       // of its last wait; guarded by writability.mu
	out           ring.Buffer // the loop's alone, as what follows
	writeShutdown bool        // the sending has ended
	accepted      bool        // it was accepted
	connecting    bool        // it was dialled, and nothing has been written yet
	received      atomic.Bool // something has come in
	handedOver    bool        // what it begins with waits in the library until the connection is up
}

// readInput reads what the system holds into the ring, as far as there is room.
func (l *Link) readInput() {
	l.mu.Lock()
	got, ended := l.fill()
	l.mu.Unlock()
	l.reportRead(got, ended)
}

// fill reads what the system holds into the ring. ended: the peer has closed its side, or the connection has broken. The
// lock is held.
func (l *Link) fill() (got, ended bool) {
	for !l.closed {
		if l.finishing.Load() { // Danger: a close over unread bytes is a reset, and takes what the peer was sent last with it.
			l.in.Discard(l.in.Len())
		}
		space := l.in.Space()
		if l.inputFull = len(space) == 0; l.inputFull {
			return true, false
		}
		n, err := l.conn.Read(space)
		switch {
		case n > 0:
			l.in.Commit(n)
			l.received.Store(true)
			got = true
		case err == syscall.EINTR:
		default:
			return got, n == 0 || err != syscall.EAGAIN
		}
	}
	return got, false
}

// reportRead tells the loop what fill has found.
func (l *Link) reportRead(got, ended bool) {
	if got {
		l.net.report(l, front.Readable)
	}
	if ended {
		l.Close()
	}
}

// PeerOpen reads what the system holds and tells whether the peer is still there.
func (l *Link) PeerOpen() bool {
	l.mu.Lock()
	got, ended := l.fill()
	open := !ended && !l.closed
	l.mu.Unlock()
	l.reportRead(got, ended)
	return open
}

// ifIdle does end if nothing has come that was not discarded, up to the moment of end.
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

// CloseIfIdle closes the connection if nothing has come on it that was not discarded. last is sent before, as far as the
// system takes it at once.
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

// CloseWriteIfIdle is Finish, if nothing has come that was not discarded and nothing is queued.
func (l *Link) CloseWriteIfIdle() bool {
	return l.Flushed() && l.ifIdle(func() {
		l.finishing.Store(true)
		l.conn.Lock()
		if closed, _ := l.conn.IsClosed(); !closed {
			l.writeShutdown = true
			syscall.Shutdown(l.descriptor, syscall.SHUT_WR)
		}
		l.conn.Unlock()
	})
}

// onClosed is told when the descriptor has been given back.
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

// release is the one place where a link's rings are given back.
func (l *Link) release() {
	l.mu.Lock()
	l.in.Release()
	l.mu.Unlock()
	l.out.Release()
}

// ReadBufferFull tells that bytes wait with the system for want of room here.
func (l *Link) ReadBufferFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inputFull
}

func (l *Link) Owner() any         { return l.owner }
func (l *Link) SetOwner(owner any) { l.owner = owner }

func (l *Link) Peek() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in.Peek()
}

func (l *Link) Discard(n int) {
	l.mu.Lock()
	l.in.Discard(min(n, l.in.Len())) // Danger: where the link is ending, what came is gone before the core drops it.
	resume := l.inputFull && n > 0
	l.mu.Unlock()
	if resume {
		l.readInput()
	}
}

func (l *Link) Write(p []byte) bool { return l.out.Append(p) }

func (l *Link) SentBytes() int64 { return l.sent.Load() }

// Flush writes what is queued, as far as the system takes it.
func (l *Link) Flush() {
	if l.blocked.Load() || l.out.Len() == 0 && !l.finishing.Load() || l.handedOver && !l.received.Load() {
		return
	}
	l.conn.Lock() // until it is unlocked the descriptor is not another's
	if closed, _ := l.conn.IsClosed(); closed {
		l.conn.Unlock()
		return
	}
	connected, err := l.send()
	shutdown := err == nil && connected && l.finishing.Load() && !l.writeShutdown && l.out.Len() == 0
	if shutdown {
		l.writeShutdown = true
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

// isRegistered tells whether the link is under the poller.
func (l *Link) isRegistered() bool {
	l.net.registry.mu.Lock()
	defer l.net.registry.mu.Unlock()
	return l.registered
}

// send writes until all is out or the system is full. A write that is cut short or interrupted is gone on with at once.
// up is false where the connection that was dialled is not up yet.
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

// handOver gives the library what a connection begins with, to be written once it is up: then there is an edge. All else
// waits until the peer has said something.
func (l *Link) handOver() {
	l.connecting, l.handedOver = false, true
	size := l.out.Len()
	if _, err := l.conn.Write(l.out.Peek()); err != nil {
		return // it is closed, and says so
	}
	l.out.Discard(size)
	l.sent.Add(int64(size))
}

func (l *Link) Flushed() bool { return l.out.Len() == 0 }

func (l *Link) CloseWrite() {
	l.finishing.Store(true)
	l.Flush()
}

func (l *Link) Close() { l.close(nil) }

// close is the one place where the front closes a link by itself; the poller closes it where the peer has.
func (l *Link) close(err error) {
	if l.net.registry.close(l, err) {
		l.onClosed()
	}
}

func (l *Link) Abort() {
	l.conn.Lock()
	if closed, _ := l.conn.IsClosed(); !closed {
		l.conn.SetLinger(1, 0)
	}
	l.conn.Unlock()
	l.Close()
}
