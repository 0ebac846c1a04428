// Package sock gives the core its sockets, on lesismal/nbio. The library's one poller reads into each link's
// ring; the loop takes what is ready by Gather. A link is closed by the core or by its peer, and its
// descriptor is given back in nbio's close alone.
package sock

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
	"micatrack/internal/ring"
)

const (
	spare       = 4 << 10               // of a ring, beside the longest message
	acceptPause = 10 * time.Millisecond // between tries where the system has no descriptor or memory for a connection
	mostCopies  = 100                   // tries to take a connection over that was accepted

	noPort  = 24 // IP_BIND_ADDRESS_NO_PORT
	reserve = 24 // descriptors that no link has: pollers, listener, discovery, log, a dial in the making
)

// Net holds the sockets of one front.
type Net struct {
	engine *nbio.Engine
	writes *writability
	owners *registry
	listen net.Listener
	also   []net.Listener
	mu     sync.Mutex
	links  map[*nbio.Conn]*Link // what the library knows as connections
	taken  int                  // of them that were accepted
	taking sync.WaitGroup       // those who accept
	deaf   atomic.Bool
	ready  []*Link
	events []front.Event
	wake   chan struct{}
	timer  *time.Timer
	answer int          // longest message of a store
	most   int          // links past which none is accepted
	budget atomic.Int64 // bytes that the rings may still grow by
}

// Link is one socket.
type Link struct {
	net    *Net
	owner  any
	conn   *nbio.Conn
	mu     sync.Mutex // guards what follows but for sent
	in     ring.Buffer
	full   bool // the poller left bytes with the system, for want of room
	closed bool
	what   front.What // of an event not yet gathered; guarded by Net.mu
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

// Open listens on addr and starts the poller. All rings together grow by no more than memory bytes; the one
// that a store fills, and the one that empties to a client, hold an answer of that many bytes.
func Open(addr string, descriptors int, memory int64, answer int) (*Net, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 2*descriptors+64) // it keeps a table of that length
	n := &Net{listen: l, answer: answer, most: descriptors - reserve, links: map[*nbio.Conn]*Link{},
		wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
	n.budget.Store(memory)
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET})
	n.engine.OnRead(func(c *nbio.Conn) {
		if c == n.owners.poll {
			n.owners.woken()
		} else if l := n.of(c); l != nil {
			l.pump()
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, _ error) {
		if l := n.of(c); l != nil {
			l.gone()
		}
	})
	news := func(l *Link) { n.report(l, 0) }
	if n.writes, err = newWritability(news); err == nil {
		n.owners, err = newRegistry(n.put, news)
	}
	if err == nil {
		err = n.engine.Start()
	}
	if err == nil {
		_, err = n.engine.AddConn(n.owners.poll)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	n.taking.Go(func() { n.accept(l, front.Accepted) })
	return n, nil
}

// Also listens on another address; what is told of its connections beside front.Accepted.
func (n *Net) Also(addr string, what front.What) (bound string, err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	n.also = append(n.also, l)
	n.taking.Go(func() { n.accept(l, front.Accepted|what) })
	return l.Addr().String(), nil
}

func (n *Net) of(c *nbio.Conn) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[c]
}

// Addr is where it listens.
func (n *Net) Addr() string { return n.listen.Addr().String() }

// Clients is how many connections that were accepted are open, whether or not Gather has told of them.
func (n *Net) Clients() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.taken
}

// Deafen stops listening. What has been accepted by then is among Clients.
func (n *Net) Deafen() {
	defer n.taking.Wait()
	n.deaf.Store(true)
	n.listen.Close()
	for _, l := range n.also {
		l.Close()
	}
}

// accept takes connections in while there is room; the backlog holds what comes meanwhile.
// Danger: clients that connect by hundreds at once would take the descriptors that dials need before the loop
// can turn any of them away.
func (n *Net) accept(from net.Listener, what front.What) {
	for {
		for n.full() && !n.deaf.Load() {
			time.Sleep(time.Millisecond)
		}
		c, err := from.Accept()
		if err == nil {
			if l, err := n.add(c, what, pgwire.MostQuery, n.answer); err == nil {
				n.queue(l)
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(acceptPause) // out of descriptors all the same
	}
}

func (n *Net) full() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) >= n.most
}

// add puts a connection of the standard library under the poller, which takes its descriptor over.
// Danger: the poller may read from it, or see it closed, before the loop has heard of it. With what set from
// the start that news waits for queue.
func (n *Net) add(c net.Conn, what front.What, in, out int) (*Link, error) {
	nc, err := nbio.NBConn(c)
	for tries := 1; err != nil && what&front.Accepted != 0 && tries < mostCopies && !n.deaf.Load(); tries++ {
		time.Sleep(acceptPause) // Danger: a client that is accepted has perhaps been read by the machine, and is owed an answer.
		nc, err = nbio.NBConn(c)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	descriptor, err := descriptorOf(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	l := &Link{net: n, conn: nc, descriptor: descriptor, what: what, client: what&front.Accepted != 0, in: ring.Buffer{Most: in + spare, Budget: &n.budget},
		out: ring.Buffer{Most: out + spare, Budget: &n.budget}}
	n.mu.Lock()
	n.links[nc] = l
	if l.client {
		n.taken++
	}
	n.mu.Unlock()
	nc.SetNoDelay(true)
	n.owners.register(l)
	return l, nil
}

// put puts a link under the poller. One that the poller does not take is closed.
func (n *Net) put(l *Link) {
	if _, err := n.engine.AddConn(l.conn); err != nil {
		l.gone()
	}
}

func descriptorOf(conn *nbio.Conn) (descriptor int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) { descriptor = int(fd) })
	return descriptor, err
}

// Dial starts a connection. What is written meanwhile waits until it is up; Closed follows if it is refused.
// One that never comes up is the core's to close: the library's own dial would leave it no handle for that,
// and misreads IPv4 addresses besides (1.6.8 takes the first four bytes of the sixteen-byte form).
func (n *Net) Dial(addr string) (front.Link, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, sa, err := named(to)
	if err != nil {
		return nil, lack(err)
	}
	file := os.NewFile(uintptr(fd), addr)
	defer file.Close()
	if err := syscall.Connect(fd, sa); err != nil && err != syscall.EINPROGRESS && err != syscall.EINTR {
		return nil, lack(err)
	}
	c, err := net.FileConn(file)
	if err != nil {
		return nil, lack(err)
	}
	l, err := n.add(c, 0, n.answer, pgwire.MostQuery)
	if err != nil {
		return nil, lack(err)
	}
	l.rising = true
	return l, nil
}

// lack is front.NoRoom where the machine is out of something for a moment, which says nothing of the store; else err.
func lack(err error) error {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return err
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN:
		return front.NoRoom
	}
	return err
}

var bind = syscall.Bind // that no socket reads back where the port is left to connect, so a test stands in for it

// named opens a socket that is bound before it connects.
// Danger: the standard library asks a socket for its name before it takes it over. Where the system gives one
// that is bound nowhere no name until it is up, every store is unreachable. The port is left to connect:
// bind would take one that no other connection shares, and the machine runs out of those.
func named(to netip.AddrPort) (fd int, sa syscall.Sockaddr, err error) {
	family, sa, here := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: int(to.Port()),
		Addr: to.Addr().As16()}), syscall.Sockaddr(&syscall.SockaddrInet6{})
	if a := to.Addr().Unmap(); a.Is4() {
		family, sa, here = syscall.AF_INET, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: a.As4()},
			&syscall.SockaddrInet4{}
	}
	if fd, err = syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0); err != nil {
		return fd, sa, err
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, noPort, 1) // a wish: older systems lack it
	if err = bind(fd, here); err != nil {
		syscall.Close(fd)
	}
	return fd, sa, err
}

// report notes that a link has news and wakes the loop.
func (n *Net) report(l *Link, what front.What) {
	n.mu.Lock()
	fresh := l.what == 0
	l.what |= what | queued
	n.mu.Unlock()
	if fresh {
		n.queue(l)
	}
}

func (n *Net) queue(l *Link) {
	n.mu.Lock()
	n.ready = append(n.ready, l)
	n.mu.Unlock()
	n.Wake()
}

const queued front.What = 1 << 7

// Wake makes Gather return.
func (n *Net) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Gather waits until something is ready, for wait at most, and gives all that is.
func (n *Net) Gather(wait time.Duration) []front.Event {
	if wait > 0 {
		n.timer.Reset(wait)
		select {
		case <-n.wake:
		case <-n.timer.C:
		}
	} else {
		select {
		case <-n.wake:
		default:
		}
	}
	for _, e := range n.events {
		if e.What&front.Closed != 0 { // the core has seen the last of it
			e.Link.(*Link).release()
		}
	}
	n.events = n.events[:0]
	n.owners.overdue()
	n.mu.Lock()
	for k, l := range n.ready {
		n.events = append(n.events, front.Event{Link: l, What: l.what &^ queued})
		l.what = 0
		n.ready[k] = nil
	}
	n.ready = n.ready[:0]
	n.mu.Unlock()
	for _, e := range n.events {
		e.Link.Flush() // what waited for the system to take more
	}
	return n.events
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

// CloseAtRest closes the connection if nothing has come on it that was not discarded. last is sent before, as far as the
// system takes it at once.
func (l *Link) CloseAtRest(last []byte) bool {
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

// FinishAtRest is Finish, if nothing has come that was not discarded and nothing is queued.
func (l *Link) FinishAtRest() bool {
	return l.Empty() && l.atRest(func() {
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
	l.in.Free()
	l.mu.Unlock()
	l.out.Free()
}

// Full tells that bytes wait with the system for want of room here.
func (l *Link) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full
}

func (l *Link) Owner() any    { return l.owner }
func (l *Link) Own(owner any) { l.owner = owner }

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

func (l *Link) Sent() int64 { return l.sent.Load() }

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

func (l *Link) Empty() bool { return l.out.Len() == 0 }

func (l *Link) Finish() {
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
