package sock

import (
	"sync"
	"syscall"
	"time"
)

const (
	maxWritableEvents  = 64                   // events taken from the system per epoll_wait
	writeRetryInterval = 2 * time.Millisecond // delay before a write is retried if epoll can't watch the socket
)

// writability reports when a socket whose send buffer was full becomes writable again.
//
// nbio sends the remainder of a write at the next edge of writability. After a write that was cut short or interrupted while
// the buffer had space no edge follows, and the remainder would never be sent. Here each wait adds the socket to an epoll
// instance of its own, which reports the current state first, so no change is missed.
type writability struct {
	epoll      int           // epoll descriptor
	onWritable func(l *Link) // called when a link's wait has ended

	mu      sync.Mutex
	waiting map[int32]*Link // by token; a descriptor may belong to another socket by the time its event is handled
	token   int32           // of the last wait started
}

// newWritability starts a writability, which calls onWritable from its own goroutines.
func newWritability(onWritable func(l *Link)) (*writability, error) {
	epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	w := &writability{epoll: epoll, onWritable: onWritable, waiting: map[int32]*Link{}}
	go w.run()
	return w, nil
}

// wait arranges for onWritable to be called once the link's socket is writable. The connection must be open, and the caller
// must hold its lock.
func (w *writability) wait(l *Link) {
	w.mu.Lock()
	w.token++
	token := w.token
	w.waiting[token] = l
	l.waitToken = token
	w.mu.Unlock()
	event := syscall.EpollEvent{Events: syscall.EPOLLOUT, Fd: token}
	if err := syscall.EpollCtl(w.epoll, syscall.EPOLL_CTL_ADD, l.descriptor, &event); err != nil {
		time.AfterFunc(writeRetryInterval, func() { w.finishWait(token) })
	}
}

// forget drops the wait of a link that was closed. The system has removed the socket from the epoll instance by itself.
func (w *writability) forget(l *Link) {
	w.mu.Lock()
	delete(w.waiting, l.waitToken)
	w.mu.Unlock()
}

// finishWait ends the wait with the token, if it still exists, and calls onWritable.
func (w *writability) finishWait(token int32) {
	w.mu.Lock()
	l := w.waiting[token]
	delete(w.waiting, token)
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.conn.Lock()
	if closed, _ := l.conn.IsClosed(); !closed {
		syscall.EpollCtl(w.epoll, syscall.EPOLL_CTL_DEL, l.descriptor, &syscall.EpollEvent{})
	}
	l.conn.Unlock()
	l.blocked.Store(false)
	w.onWritable(l)
}

// run handles the events of the epoll instance for the life of the process.
func (w *writability) run() {
	events := make([]syscall.EpollEvent, maxWritableEvents)
	for {
		count, err := syscall.EpollWait(w.epoll, events, -1)
		if err != nil && err != syscall.EINTR {
			time.Sleep(writeRetryInterval)
		}
		for _, event := range events[:max(count, 0)] {
			w.finishWait(event.Fd)
		}
	}
}
