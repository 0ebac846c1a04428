package sock

import (
	"errors"
	"net"
	"os"
	"time"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
)

const (
	acceptRetryInterval = 10 * time.Millisecond // delay between attempts while the system has no descriptor or memory for a connection
	acceptRest          = 50 * time.Millisecond // for which connections that wait are accepted behind StopAccepting
)

// AddListener listens on another address and returns the address it is bound to. The flags in what are set in the first event
// of its connections, in addition to front.Accepted.
func (n *Net) AddListener(addr string, what front.EventFlags) (bound string, err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	n.extraListeners = append(n.extraListeners, l)
	n.startAcceptor(l, front.Accepted|what)
	return l.Addr().String(), nil
}

// StopAccepting ends accepting after acceptRest, within which connections in the listen backlogs are accepted as room comes: the
// system resets those that still wait when their listener is closed, with the requests that it has received. Accepting tells
// when that is done.
func (n *Net) StopAccepting() {
	until := time.Now().Add(acceptRest)
	n.acceptUntil.Store(&until)
	for _, l := range append([]net.Listener{n.listener}, n.extraListeners...) {
		l.(*net.TCPListener).SetDeadline(until)
	}
}

// Accepting reports whether connections may still be accepted. Those accepted when it reports false are counted by Clients.
func (n *Net) Accepting() bool { return n.acceptorCount.Load() > 0 }

// accept accepts connections while there are fewer than maxLinks; others wait in the listen backlog. Without this limit,
// hundreds of clients connecting at once would take the descriptors that dials need before the main loop can refuse any. A
// closed link counts until Poll has returned its close, or the main loop would see more links than there may be.
func (n *Net) accept(listener net.Listener, what front.EventFlags) {
	for n.awaitCapacity() {
		c, err := listener.Accept()
		if err == nil {
			if l, err := n.add(c, what, pgwire.MaxQuerySize, n.maxAnswer); err == nil {
				n.enqueue(l)
			}
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(acceptRetryInterval) // the process may be out of descriptors nevertheless
	}
}

// startAcceptor accepts connections until StopAccepting has ended that, and closes the listener then.
func (n *Net) startAcceptor(listener net.Listener, what front.EventFlags) {
	n.acceptorCount.Add(1)
	go func() {
		n.accept(listener, what)
		listener.Close()
		n.acceptorCount.Add(-1)
		n.Wake()
	}()
}

// awaitCapacity waits until a connection may be accepted, and reports false if accepting has ended by then.
func (n *Net) awaitCapacity() bool {
	for n.atCapacity() {
		if n.acceptingEnded() {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// acceptingEnded reports whether the time is over that StopAccepting has left.
func (n *Net) acceptingEnded() bool {
	until := n.acceptUntil.Load()
	return until != nil && time.Now().After(*until)
}

// atCapacity reports whether no further connection may be accepted.
func (n *Net) atCapacity() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openCount >= n.maxLinks
}
