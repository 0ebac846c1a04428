// Package sock gives the core its sockets, on lesismal/nbio. The library's one poller reads into each link's
// ring; the loop takes what is ready by Gather. A link is closed by the core or by its peer, and its
// descriptor is given back in nbio's close alone.
package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
	"micatrack/internal/ring"
)

const (
	ringHeadroom        = 4 << 10               // of a ring, beside the longest message
	acceptRetryInterval = 10 * time.Millisecond // between tries where the system has no descriptor or memory for a connection
	maxAdoptAttempts    = 100                   // tries to take a connection over that was accepted

	ipBindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT
	reservedDescriptors = 24 // descriptors that no link has: pollers, listener, discovery, log, a dial in the making
)

// Net holds the sockets of one front.
type Net struct {
	engine         *nbio.Engine
	writability    *writability
	registry       *registry
	listener       net.Listener
	extraListeners []net.Listener
	mu             sync.Mutex
	links          map[*nbio.Conn]*Link // what the library knows as connections
	acceptedCount  int                  // of them that were accepted
	acceptors      sync.WaitGroup       // those who accept
	stopping       atomic.Bool
	ready          []*Link
	events         []front.Event
	wake           chan struct{}
	timer          *time.Timer
	maxAnswer      int          // longest message of a store
	maxLinks       int          // links past which none is accepted
	budget         atomic.Int64 // bytes that the rings may still grow by
}

// Open listens on addr and starts the poller. All rings together grow by no more than memory bytes; the one
// that a store fills, and the one that empties to a client, hold an answer of that many bytes.
func Open(addr string, descriptors int, memory int64, maxAnswer int) (*Net, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 2*descriptors+64) // it keeps a table of that length
	n := &Net{listener: l, maxAnswer: maxAnswer, maxLinks: descriptors - reservedDescriptors, links: map[*nbio.Conn]*Link{},
		wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
	n.budget.Store(memory)
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET})
	n.engine.OnRead(func(c *nbio.Conn) {
		if c == n.registry.wakeConn {
			n.registry.onWake()
		} else if l := n.linkOf(c); l != nil {
			l.readInput()
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
		l.Close()
		return nil, err
	}
	n.acceptors.Go(func() { n.accept(l, front.Accepted) })
	return n, nil
}

// AddListener listens on another address; what is told of its connections beside front.Accepted.
func (n *Net) AddListener(addr string, what front.EventFlags) (bound string, err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	n.extraListeners = append(n.extraListeners, l)
	n.acceptors.Go(func() { n.accept(l, front.Accepted|what) })
	return l.Addr().String(), nil
}

func (n *Net) linkOf(c *nbio.Conn) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[c]
}

// Addr is where it listens.
func (n *Net) Addr() string { return n.listener.Addr().String() }

// Clients is how many connections that were accepted are open, whether or not Gather has told of them.
func (n *Net) Clients() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptedCount
}

// StopAccepting stops listening. What has been accepted by then is among Clients.
func (n *Net) StopAccepting() {
	defer n.acceptors.Wait()
	n.stopping.Store(true)
	n.listener.Close()
	for _, l := range n.extraListeners {
		l.Close()
	}
}

// accept takes connections in while there is room; the backlog holds what comes meanwhile.
// Danger: clients that connect by hundreds at once would take the descriptors that dials need before the loop
// can turn any of them away.
func (n *Net) accept(listener net.Listener, what front.EventFlags) {
	for {
		for n.atCapacity() && !n.stopping.Load() {
			time.Sleep(time.Millisecond)
		}
		c, err := listener.Accept()
		if err == nil {
			if l, err := n.add(c, what, pgwire.MaxQuerySize, n.maxAnswer); err == nil {
				n.enqueue(l)
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(acceptRetryInterval) // out of descriptors all the same
	}
}

func (n *Net) atCapacity() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) >= n.maxLinks
}

// add puts a connection of the standard library under the poller, which takes its descriptor over.
// Danger: the poller may read from it, or see it closed, before the loop has heard of it. With what set from
// the start that news waits for queue.
func (n *Net) add(c net.Conn, what front.EventFlags, in, out int) (*Link, error) {
	nc, err := nbio.NBConn(c)
	for attempts := 1; err != nil && what&front.Accepted != 0 && attempts < maxAdoptAttempts && !n.stopping.Load(); attempts++ {
		time.Sleep(acceptRetryInterval) // Danger: a client that is accepted has perhaps been read by the machine, and is owed an answer.
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
	n.mu.Lock()
	n.links[nc] = l
	if l.accepted {
		n.acceptedCount++
	}
	n.mu.Unlock()
	nc.SetNoDelay(true)
	n.registry.register(l)
	return l, nil
}

// addToPoller puts a link under the poller. One that the poller does not take is closed.
func (n *Net) addToPoller(l *Link) {
	if _, err := n.engine.AddConn(l.conn); err != nil {
		l.onClosed()
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

// report notes that a link has news and wakes the loop.
func (n *Net) report(l *Link, what front.EventFlags) {
	n.mu.Lock()
	first := l.pending == 0
	l.pending |= what | queued
	n.mu.Unlock()
	if first {
		n.enqueue(l)
	}
}

func (n *Net) enqueue(l *Link) {
	n.mu.Lock()
	n.ready = append(n.ready, l)
	n.mu.Unlock()
	n.Wake()
}

const queued front.EventFlags = 1 << 7

// Wake makes Gather return.
func (n *Net) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Poll waits until something is ready, for wait at most, and gives all that is.
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
		if e.Flags&front.Closed != 0 { // the core has seen the last of it
			e.Link.(*Link).release()
		}
	}
	n.events = n.events[:0]
	n.registry.addOverdue()
	n.mu.Lock()
	for k, l := range n.ready {
		n.events = append(n.events, front.Event{Link: l, Flags: l.pending &^ queued})
		l.pending = 0
		n.ready[k] = nil
	}
	n.ready = n.ready[:0]
	n.mu.Unlock()
	for _, e := range n.events {
		e.Link.Flush() // what waited for the system to take more
	}
	return n.events
}
