// Package sock implements the sockets of a front on top of the library lesismal/nbio. The library's single poller reads into
// each link's ring buffer, and the front's main loop collects ready links with Net.Poll. A link is closed by the core or by its
// peer; its descriptor is released only by nbio's close.
package sock

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"micatrack/internal/front"
	"micatrack/internal/ring"
)

const (
	ringHeadroom      = 4 << 10   // bytes of a ring buffer beyond the longest message
	resumeDivisor     = 4         // part of a read buffer that was full to be free before more is read
	readAheadMessages = 4         // longest messages that a client's read buffer holds while memory allows
	readAheadDivisor  = 2         // part of the memory of all buffers that is not used for that
	maxDropped        = 512 << 10 // bytes dropped of a connection that the front has ended before it is closed
	maxAdoptAttempts  = 100       // attempts to hand an accepted connection over to nbio

	ipBindAddressNoPort = 24 // socket option IP_BIND_ADDRESS_NO_PORT
	reservedDescriptors = 24 // descriptors not available to links: pollers, listener, discovery, log, a dial in progress
)

// Net holds the sockets of one front. The front's main loop calls Dial, Poll and the methods of the links.
type Net struct {
	engine         *nbio.Engine
	writability    *writability
	registry       *registry
	listener       net.Listener              // the address given to Open
	extraListeners []net.Listener            // the addresses given to AddListener
	mu             sync.Mutex                // guards links, acceptedCount, openCount, ready and Link.pending
	links          map[*nbio.Conn]*Link      // open links by their nbio connection
	acceptedCount  int                       // links that were accepted rather than dialled
	openCount      int                       // links whose close Poll has not returned
	acceptorCount  atomic.Int32              // goroutines that accept connections
	acceptUntil    atomic.Pointer[time.Time] // when these end; nil: StopAccepting was not called
	ready          []*Link                   // links with pending events that Poll has not returned yet
	events         []front.Event             // result of the last Poll
	wake           chan struct{}             // makes Poll return
	timer          *time.Timer               // bounds the wait of Poll
	tcpInfo        unix.TCPInfo              // result of the last InputAge
	maxAnswer      int                       // bytes of the longest message from a store
	maxLinks       int                       // number of links from which on none is accepted
	largestRead    largestRead               // of the poller since the last call of LargestRead
	lostPackets    atomic.Uint64             // packets of clients that the system has dropped
	// readAheadReserve is the part of the budget that is left to messages when clients' input is read ahead.
	readAheadReserve int64
	budget           atomic.Int64 // bytes by which all ring buffers together may still grow
}

// Open listens on addr and starts the poller. The process may use the given number of descriptors. All ring buffers together
// grow by at most memory bytes. The read buffer of a store connection and the write buffer of a client connection can hold an
// answer of maxAnswer bytes.
func Open(addr string, descriptors int, memory int64, maxAnswer int) (*Net, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 2*descriptors+64) // nbio allocates a table of this length
	n := &Net{listener: listener, maxAnswer: maxAnswer, maxLinks: descriptors - reservedDescriptors, links: map[*nbio.Conn]*Link{},
		wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
	n.budget.Store(memory)
	n.readAheadReserve = memory / readAheadDivisor
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET})
	n.engine.OnRead(func(c *nbio.Conn) {
		if c == n.registry.wakeConn {
			n.registry.onWake()
		} else if l := n.linkOf(c); l != nil {
			n.largestRead.measure(l)
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, _ error) {
		if l := n.linkOf(c); l != nil {
			l.onClosed()
		}
	})
	notify := func(l *Link) { n.report(l, 0) }
	if n.writability, err = newWritability(notify); err == nil {
		n.registry, err = newRegistry(n.addToPoller, notify)
	}
	if err == nil {
		err = n.engine.Start()
	}
	if err == nil {
		_, err = n.engine.AddConn(n.registry.wakeConn)
	}
	if err != nil {
		listener.Close()
		return nil, err
	}
	n.startAcceptor(listener, front.Accepted)
	return n, nil
}

// linkOf returns the link of an nbio connection, or nil if it has none or is closed.
func (n *Net) linkOf(c *nbio.Conn) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[c]
}

// Addr returns the address that Open listens on.
func (n *Net) Addr() string { return n.listener.Addr().String() }

// Clients returns the number of open accepted connections, whether or not Poll has returned them. It is safe for concurrent
// use.
func (n *Net) Clients() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptedCount
}

// add hands a connection of the standard library over to nbio, registers it with the poller and returns its link. in and out
// are the sizes in bytes of the longest messages in each direction.
//
// The poller may read from the connection, or see it closed, before the main loop knows about it. If what
// isn't 0, its flags are pending from the start, so that report doesn't queue the link; the caller then does so.
func (n *Net) add(c net.Conn, what front.EventFlags, in, out int) (*Link, error) {
	nc, err := nbio.NBConn(c)
	for attempts := 1; err != nil && what&front.Accepted != 0 && attempts < maxAdoptAttempts; attempts++ {
		time.Sleep(acceptRetryInterval) // The system may already have received data of an accepted client, which is owed an answer.
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
	l := &Link{net: n, conn: nc, descriptor: descriptor, pending: what, accepted: what&front.Accepted != 0, in: ring.Buffer{Max: in + ringHeadroom, Budget: &n.budget},
		out: ring.Buffer{Max: out + ringHeadroom, Budget: &n.budget}}
	if l.accepted {
		l.in.Regular, l.in.Reserve, l.in.Max = l.in.Max, n.readAheadReserve, readAheadMessages*l.in.Max
	}
	n.mu.Lock()
	n.links[nc] = l
	n.openCount++
	if l.accepted {
		n.acceptedCount++
	}
	n.mu.Unlock()
	nc.SetNoDelay(true)
	n.registry.register(l)
	return l, nil
}

// addToPoller adds a link to the poller. If the poller rejects it, the link is closed.
func (n *Net) addToPoller(l *Link) {
	if _, err := n.engine.AddConn(l.conn); err != nil {
		l.onClosed()
	}
}

// descriptorOf returns the file descriptor of a connection.
func descriptorOf(conn *nbio.Conn) (descriptor int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) { descriptor = int(fd) })
	return descriptor, err
}

// report adds flags to a link's pending events, and queues the link and wakes the main loop if there were none.
func (n *Net) report(l *Link, what front.EventFlags) {
	n.mu.Lock()
	first := l.pending == 0
	l.pending |= what | queued
	n.mu.Unlock()
	if first {
		n.enqueue(l)
	}
}

// enqueue makes the next Poll return the link.
func (n *Net) enqueue(l *Link) {
	n.mu.Lock()
	n.ready = append(n.ready, l)
	n.mu.Unlock()
	n.Wake()
}

// queued is set in Link.pending by report, so that an event without other flags isn't 0. Poll removes it.
const queued front.EventFlags = 1 << 7

// Wake makes the current or next Poll return without waiting. It is safe for concurrent use.
func (n *Net) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Poll waits until a link has an event or Wake is called, but no longer than wait, and returns the events of all ready links.
// The result is valid until the next call. The rings of links that the previous call returned as closed are released, and
// the queued data of ready links is written.
func (n *Net) Poll(wait time.Duration) []front.Event {
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
		if e.Flags&front.Closed != 0 { // the core no longer uses it
			e.Link.(*Link).release()
		}
	}
	n.events = n.events[:0]
	n.registry.addOverdue()
	n.mu.Lock()
	for k, l := range n.ready {
		n.events = append(n.events, front.Event{Link: l, Flags: l.pending &^ queued})
		if l.pending&front.Closed != 0 {
			n.openCount--
		}
		l.pending = 0
		n.ready[k] = nil
	}
	n.ready = n.ready[:0]
	n.mu.Unlock()
	for _, e := range n.events {
		e.Link.Flush() // data that waited until the system accepts more
	}
	return n.events
}
