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

// AddListener listens on another address; what is told of its connections beside front.Accepted.
func (n *Net) AddListener(addr string, what front.EventFlags) (bound string, err error) {
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

// StopAccepting stops listening. What has been accepted by then is among Clients.
func (n *Net) StopAccepting() {
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
func (n *Net) accept(from net.Listener, what front.EventFlags) {
	for {
		for n.full() && !n.deaf.Load() {
			time.Sleep(time.Millisecond)
		}
		c, err := from.Accept()
		if err == nil {
			if l, err := n.add(c, what, pgwire.MaxQuerySize, n.answer); err == nil {
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
func (n *Net) add(c net.Conn, what front.EventFlags, in, out int) (*Link, error) {
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
	l := &Link{net: n, conn: nc, descriptor: descriptor, what: what, client: what&front.Accepted != 0, in: ring.Buffer{Max: in + spare, Budget: &n.budget},
		out: ring.Buffer{Max: out + spare, Budget: &n.budget}}
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

// report notes that a link has news and wakes the loop.
func (n *Net) report(l *Link, what front.EventFlags) {
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
	n.owners.overdue()
	n.mu.Lock()
	for k, l := range n.ready {
		n.events = append(n.events, front.Event{Link: l, Flags: l.what &^ queued})
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
