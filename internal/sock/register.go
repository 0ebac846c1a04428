package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// registerTimeout is how long a new connection waits for the poller to handle a wake-up before it is added regardless. The
// poller may stall for up to half of this time.
const registerTimeout = 300 * time.Millisecond

// registry adds connections to the poller.
//
// The poller takes events from the system in batches, identified by descriptor. While it handles a batch, a connection with an
// event in it may be closed and its descriptor reused for a new connection, which the poller would then close because of the
// old connection's event. So a connection whose descriptor was closed recently waits until the poller has started a later
// batch. Descriptors that the poller closes need no such wait: it closes them while handling their only event in the batch.
type registry struct {
	add    func(l *Link) // adds a link to the poller
	onLate func(l *Link) // called for a link that had to wait, once it is added

	mu               sync.Mutex   // guards the fields below; held during each close of a descriptor that was added to the poller
	closed           map[int]bool // descriptors closed since the last wake-up was sent
	closedBeforeWake map[int]bool // descriptors closed before the pending wake-up was sent
	waiting          []*Link      // links that are not added yet, the oldest first
	wakePending      bool         // a wake-up was sent and not handled yet
	eventFD          int          // eventfd that wakes the poller
	wakeConn         *nbio.Conn   // eventFD as a connection of the poller
}

// eventConn presents an eventfd as a net.Conn, the form in which nbio accepts descriptors. nbio duplicates the descriptor.
type eventConn struct {
	net.Conn
	descriptor eventDescriptor
}

func (e eventConn) SyscallConn() (syscall.RawConn, error) { return e.descriptor, nil }
func (e eventConn) LocalAddr() net.Addr                   { return nil }
func (e eventConn) RemoteAddr() net.Addr                  { return nil }
func (e eventConn) Close() error                          { return nil }

// eventDescriptor implements syscall.RawConn for an eventfd; only Control is supported.
type eventDescriptor int

// Control calls use with the descriptor.
func (d eventDescriptor) Control(use func(descriptor uintptr)) error {
	use(uintptr(d))
	return nil
}

func (d eventDescriptor) Read(func(descriptor uintptr) bool) error  { return errors.ErrUnsupported }
func (d eventDescriptor) Write(func(descriptor uintptr) bool) error { return errors.ErrUnsupported }

// newRegistry returns a registry. Its wakeConn is yet to be added to the poller.
func newRegistry(add, onLate func(l *Link)) (*registry, error) {
	eventFD, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, errno
	}
	conn, err := nbio.NBConn(eventConn{descriptor: eventDescriptor(eventFD)})
	if err != nil {
		syscall.Close(int(eventFD))
		return nil, err
	}
	return &registry{add: add, onLate: onLate, closed: map[int]bool{}, closedBeforeWake: map[int]bool{}, eventFD: int(eventFD), wakeConn: conn}, nil
}

// register adds a new connection to the poller, either at once or after the batch that the poller is handling.
func (r *registry) register(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed[l.descriptor] && !r.closedBeforeWake[l.descriptor] {
		r.addLocked(l)
		return
	}
	l.waitingSince = time.Now()
	r.waiting = append(r.waiting, l)
	r.wake()
}

// addLocked adds a connection to the poller unless it was closed in the meantime. The caller must hold mu.
func (r *registry) addLocked(l *Link) {
	if !l.registered && !l.closedByFront {
		l.registered = true
		r.add(l)
	}
}

// wake sends a wake-up, which the poller handles in a later batch, unless one is pending. The caller must hold mu.
func (r *registry) wake() {
	if r.wakePending {
		return
	}
	r.closed, r.closedBeforeWake = r.closedBeforeWake, r.closed // closedBeforeWake is empty: no wake-up is pending
	r.wakePending = true
	one := [8]byte{1}
	syscall.Write(r.eventFD, one[:])
}

// onWake is called by the poller when it handles a wake-up: all batches taken before the wake-up was sent are finished.
func (r *registry) onWake() {
	var count [8]byte
	syscall.Read(r.eventFD, count[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wakePending {
		return
	}
	r.wakePending = false
	clear(r.closedBeforeWake)
	r.addReady(func(l *Link) bool { return !r.closed[l.descriptor] })
	if len(r.waiting) > 0 {
		r.wake()
	}
}

// addReady adds the waiting links for which ready returns true. The caller must hold mu.
func (r *registry) addReady(ready func(l *Link) bool) {
	still := r.waiting[:0]
	for _, l := range r.waiting {
		if ready(l) {
			r.addLocked(l)
			r.onLate(l)
		} else {
			still = append(still, l)
		}
	}
	clear(r.waiting[len(still):])
	r.waiting = still
}

// addOverdue adds the links that have waited for registerTimeout.
func (r *registry) addOverdue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 && r.waiting[0].isOverdue() {
		r.addReady((*Link).isOverdue)
	}
}

// isOverdue reports whether a link has waited for registerTimeout to be added to the poller.
func (l *Link) isOverdue() bool { return time.Since(l.waitingSince) >= registerTimeout }

// close closes a connection, whether or not it was added to the poller yet. It reports true if it was never added; then the
// poller won't report the close, and the caller has to.
func (r *registry) close(l *Link, err error) (unregistered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.closedByFront {
		return false
	}
	unregistered = !l.registered
	l.closedByFront = true
	l.conn.CloseWithError(err)
	if !unregistered {
		r.closed[l.descriptor] = true
	}
	return unregistered
}
