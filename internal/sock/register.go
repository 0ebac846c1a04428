package sock

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// registerPatience is how long a connection waits for the poller's word before it is put under it all the same. The poller
// may be held up for half of that.
const registerTimeout = 300 * time.Millisecond

// registry puts connections under the poller.
//
// Danger: the poller takes events from the system in batches, by descriptor. While it works on one, a connection that has
// an event there may be closed and its descriptor be given to a new one, which the poller would then close for the old
// one's event. So a connection whose descriptor was closed a moment ago waits until the poller has begun with a later
// batch. The poller's own closes need no such wait: they happen at the one event that the descriptor has in the batch.
type registry struct {
	add    func(l *Link)
	onLate func(l *Link) // is told of one that had to wait and is under the poller now

	mu               sync.Mutex // held over each close of a descriptor that was under the poller
	closed           map[int]bool
	closedBeforeWake map[int]bool // closed before the wake-up that is on its way
	waiting          []*Link
	waitingSince     time.Time // of the oldest that waits
	wakePending      bool
	eventFD          int        // an eventfd, by which the poller is woken
	wakeConn         *nbio.Conn // the same, as the poller knows it
}

// eventConn is an eventfd in the form in which nbio takes descriptors, of which it makes a copy.
type eventConn struct {
	net.Conn
	descriptor eventDescriptor
}

func (e eventConn) SyscallConn() (syscall.RawConn, error) { return e.descriptor, nil }
func (e eventConn) LocalAddr() net.Addr                   { return nil }
func (e eventConn) RemoteAddr() net.Addr                  { return nil }
func (e eventConn) Close() error                          { return nil }

type eventDescriptor int

// Control hands out the descriptor.
func (d eventDescriptor) Control(use func(descriptor uintptr)) error {
	use(uintptr(d))
	return nil
}

func (d eventDescriptor) Read(func(descriptor uintptr) bool) error  { return errors.ErrUnsupported }
func (d eventDescriptor) Write(func(descriptor uintptr) bool) error { return errors.ErrUnsupported }

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

// register puts a new connection under the poller, at once or behind the batch that it is working on.
func (r *registry) register(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed[l.descriptor] && !r.closedBeforeWake[l.descriptor] {
		r.addLocked(l)
		return
	}
	if len(r.waiting) == 0 {
		r.waitingSince = time.Now()
	}
	r.waiting = append(r.waiting, l)
	r.wake()
}

// addLocked puts a connection under the poller unless it was closed meanwhile. The lock is held.
func (r *registry) addLocked(l *Link) {
	if !l.registered && !l.closedByFront {
		l.registered = true
		r.add(l)
	}
}

// wake asks for a word from the poller's next batch. The lock is held.
func (r *registry) wake() {
	if r.wakePending {
		return
	}
	r.closed, r.closedBeforeWake = r.closedBeforeWake, r.closed // the first is empty: no wake-up is on its way
	r.wakePending = true
	one := [8]byte{1}
	syscall.Write(r.eventFD, one[:])
}

// onWake is called by the poller at its event: all batches that were taken before the wake-up are done.
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

// addReady puts those that wait under the poller for which ready holds. The lock is held.
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

// addOverdue puts those under the poller that it has given no word for in time.
func (r *registry) addOverdue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 && time.Since(r.waitingSince) >= registerTimeout {
		r.addReady(func(*Link) bool { return true })
	}
}

// close closes a connection, whether or not it is under the poller yet. True: it never was, and nobody else tells of its end.
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
