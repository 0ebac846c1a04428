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
	net    *Net
	owner  any
	conn   *nbio.Conn
	mu     sync.Mutex // guards what follows but for sent
	in     ring.Buffer
	full   bool // the poller left bytes with the system, for want of room
	closed bool
	what   front.EventFlags // of an event not yet gathered; guarded by Net.mu
	sent   atomic.Int64
	awaits atomic.Bool // the system takes no more for now, and the loop is told when it does
	ending atomic.Bool // nothing is to be sent behind what out holds

	descriptor int         // valid while conn is locked and not closed
	registered bool        // it is under the poller, or was; guarded by registry.mu, as the next
	dropped    bool        // the front has closed it
	token      int32       // of its last wait; guarded by writability.mu
	out        ring.Buffer // the loop's alone, as what follows
	halved     bool        // the sending has ended
	client     bool        // it was accepted
	rising     bool        // it was dialled, and nothing has been written yet
	heard      atomic.Bool // something has come in
	handed     bool        // what it begins with waits in the library until the connection is up
}

// pump reads what the system holds into the ring, as far as there is room.
func (l *Link) pump() {
	l.mu.Lock()
	got, ended := l.fill()
	l.mu.Unlock()
	l.tell(got, ended)
}

// fill reads what the system holds into the ring. ended: the peer has closed its side, or the connection has broken. The
// lock is held.
func (l *Link) fill() (got, ended bool) {
	for !l.closed {
		if l.ending.Load() { // Danger: a close over unread bytes is a reset, and takes what the peer was sent last with it.
			l.in.Discard(l.in.Len())
		}
		space := l.in.Space()
		if l.full = len(space) == 0; l.full {
			return true, false
		}
		n, err := l.conn.Read(space)
		switch {
		case n > 0:
			l.in.Commit(n)
			l.heard.Store(true)
			got = true
		case err == syscall.EINTR:
		default:
			return got, n == 0 || err != syscall.EAGAIN
		}
	}
	return got, false
}

// tell tells the loop what fill has found.
func (l *Link) tell(got, ended bool) {
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
	l.tell(got, ended)
	return open
}

// atRest does end if nothing has come that was not discarded, up to the moment of end.
func (l *Link) atRest(end func()) bool {
	l.mu.Lock()
	got, ended := l.fill()
	rests := !got && !ended && !l.closed && l.in.Len() == 0
	if rests {
		end()
	}
	l.mu.Unlock()
	l.tell(got, ended)
	return rests
}

// CloseIfIdle closes the connection if nothing has come on it that was not discarded. last is sent before, as far as the
// system takes it at once.
func (l *Link) CloseIfIdle(last []byte) bool {
	closes := l.atRest(func() {
		l.conn.Lock()
		if closed, _ := l.conn.IsClosed(); !closed && len(last) > 0 {
			syscall.Write(l.descriptor, last)
		}
		l.conn.Unlock()
		l.ending.Store(true)
	})
	if closes {
		l.Close()
	}
	return closes
}

// CloseWriteIfIdle is Finish, if nothing has come that was not discarded and nothing is queued.
func (l *Link) CloseWriteIfIdle() bool {
	return l.Flushed() && l.atRest(func() {
		l.ending.Store(true)
		l.conn.Lock()
		if closed, _ := l.conn.IsClosed(); !closed {
			l.halved = true
			syscall.Shutdown(l.descriptor, syscall.SHUT_WR)
		}
		l.conn.Unlock()
	})
}

// gone is told when the descriptor has been given back.
func (l *Link) gone() {
	n := l.net
	n.mu.Lock()
	_, known := n.links[l.conn]
	delete(n.links, l.conn)
	if known && l.client {
		n.taken--
	}
	n.mu.Unlock()
	if !known {
		return
	}
	n.writes.forget(l)
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
	return l.full
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
	again := l.full && n > 0
	l.mu.Unlock()
	if again {
		l.pump()
	}
}

func (l *Link) Write(p []byte) bool { return l.out.Append(p) }

func (l *Link) SentBytes() int64 { return l.sent.Load() }

// Flush writes what is queued, as far as the system takes it.
func (l *Link) Flush() {
	if l.awaits.Load() || l.out.Len() == 0 && !l.ending.Load() || l.handed && !l.heard.Load() {
		return
	}
	l.conn.Lock() // until it is unlocked the descriptor is not another's
	if closed, _ := l.conn.IsClosed(); closed {
		l.conn.Unlock()
		return
	}
	up, err := l.send()
	halves := err == nil && up && l.ending.Load() && !l.halved && l.out.Len() == 0
	if halves {
		l.halved = true
		syscall.Shutdown(l.descriptor, syscall.SHUT_WR)
	}
	l.conn.Unlock()
	switch {
	case err != nil:
		l.close(err)
	case halves:
		l.pump()
	case !up && l.known():
		l.handOver()
	}
}

// known tells whether the link is under the poller.
func (l *Link) known() bool {
	l.net.owners.mu.Lock()
	defer l.net.owners.mu.Unlock()
	return l.registered
}

// send writes until all is out or the system is full. A write that is cut short or interrupted is gone on with at once.
// up is false where the connection that was dialled is not up yet.
func (l *Link) send() (up bool, err error) {
	for l.out.Len() > 0 {
		size, err := syscall.Write(l.descriptor, l.out.Peek())
		switch {
		case size > 0:
			l.sent.Add(int64(size))
			l.out.Discard(size)
			l.rising = false
		case err == syscall.EINTR:
		case err == syscall.EAGAIN && l.rising:
			return false, nil
		case err == syscall.EAGAIN:
			l.awaits.Store(true)
			l.net.writes.await(l)
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
	l.rising, l.handed = false, true
	size := l.out.Len()
	if _, err := l.conn.Write(l.out.Peek()); err != nil {
		return // it is closed, and says so
	}
	l.out.Discard(size)
	l.sent.Add(int64(size))
}

func (l *Link) Flushed() bool { return l.out.Len() == 0 }

func (l *Link) CloseWrite() {
	l.ending.Store(true)
	l.Flush()
}

func (l *Link) Close() { l.close(nil) }

// close is the one place where the front closes a link by itself; the poller closes it where the peer has.
func (l *Link) close(err error) {
	if l.net.owners.close(l, err) {
		l.gone()
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
