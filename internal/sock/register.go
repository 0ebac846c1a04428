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
const registerPatience = 300 * time.Millisecond

// registry puts connections under the poller.
//
// Danger: the poller takes events from the system in batches, by descriptor. While it works on one, a connection that has
// an event there may be closed and its descriptor be given to a new one, which the poller would then close for the old
// one's event. So a connection whose descriptor was closed a moment ago waits until the poller has begun with a later
// batch. The poller's own closes need no such wait: they happen at the one event that the descriptor has in the batch.
type registry struct {
	add  func(l *Link)
	late func(l *Link) // is told of one that had to wait and is under the poller now

	mu      sync.Mutex // held over each close of a descriptor that was under the poller
	closed  map[int]bool
	cooling map[int]bool // closed before the wake-up that is on its way
	waiting []*Link
	since   time.Time // of the oldest that waits
	waking  bool
	event   int        // an eventfd, by which the poller is woken
	poll    *nbio.Conn // the same, as the poller knows it
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

func newRegistry(add, late func(l *Link)) (*registry, error) {
	event, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, errno
	}
	conn, err := nbio.NBConn(eventConn{descriptor: eventDescriptor(event)})
	if err != nil {
		syscall.Close(int(event))
		return nil, err
	}
	return &registry{add: add, late: late, closed: map[int]bool{}, cooling: map[int]bool{}, event: int(event), poll: conn}, nil
}

// register puts a new connection under the poller, at once or behind the batch that it is working on.
func (r *registry) register(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed[l.descriptor] && !r.cooling[l.descriptor] {
		r.put(l)
		return
	}
	if len(r.waiting) == 0 {
		r.since = time.Now()
	}
	r.waiting = append(r.waiting, l)
	r.wake()
}

// put puts a connection under the poller unless it was closed meanwhile. The lock is held.
func (r *registry) put(l *Link) {
	if !l.registered && !l.dropped {
		l.registered = true
		r.add(l)
	}
}

// wake asks for a word from the poller's next batch. The lock is held.
func (r *registry) wake() {
	if r.waking {
		return
	}
	r.closed, r.cooling = r.cooling, r.closed // the first is empty: no wake-up is on its way
	r.waking = true
	one := [8]byte{1}
	syscall.Write(r.event, one[:])
}

// woken is called by the poller at its event: all batches that were taken before the wake-up are done.
func (r *registry) woken() {
	var count [8]byte
	syscall.Read(r.event, count[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.waking {
		return
	}
	r.waking = false
	clear(r.cooling)
	r.release(func(l *Link) bool { return !r.closed[l.descriptor] })
	if len(r.waiting) > 0 {
		r.wake()
	}
}

// release puts those that wait under the poller for which ready holds. The lock is held.
func (r *registry) release(ready func(l *Link) bool) {
	still := r.waiting[:0]
	for _, l := range r.waiting {
		if ready(l) {
			r.put(l)
			r.late(l)
		} else {
			still = append(still, l)
		}
	}
	clear(r.waiting[len(still):])
	r.waiting = still
}

// overdue puts those under the poller that it has given no word for in time.
func (r *registry) overdue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 && time.Since(r.since) >= registerPatience {
		r.release(func(*Link) bool { return true })
	}
}

// close closes a connection, whether or not it is under the poller yet. True: it never was, and nobody else tells of its end.
func (r *registry) close(l *Link, err error) (never bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.dropped {
		return false
	}
	never = !l.registered
	l.dropped = true
	l.conn.CloseWithError(err)
	if !never {
		r.closed[l.descriptor] = true
	}
	return never
}
