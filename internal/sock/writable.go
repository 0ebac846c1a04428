package sock

import (
	"sync"
	"syscall"
	"time"
)

const (
	maxWritableEvents  = 64                   // taken from the system at a time
	writeRetryInterval = 2 * time.Millisecond // until a write is tried again where the system cannot tell when it may be
)

// writability tells when a socket whose buffer was full takes bytes again.
//
// Danger: nbio sends what a write left over at the next edge of writability. A write that was cut short or interrupted
// while the buffer had room is followed by no edge, and the rest would stay there. Here each wait begins with the state
// that the socket is in, so none is missed.
type writability struct {
	epoll      int
	onWritable func(l *Link)

	mu      sync.Mutex
	waiting map[int32]*Link // by token: a descriptor may be another socket's by the time its event is looked at
	token   int32
}

func newWritability(onWritable func(l *Link)) (*writability, error) {
	epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	w := &writability{epoll: epoll, onWritable: onWritable, waiting: map[int32]*Link{}}
	go w.run()
	return w, nil
}

// wait has a link told of once its socket takes bytes. The connection's lock is held and it is open.
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

// forget is told that a link is closed. The system has ended the wait by itself.
func (w *writability) forget(l *Link) {
	w.mu.Lock()
	delete(w.waiting, l.waitToken)
	w.mu.Unlock()
}

// finishWait ends a wait, and tells of it.
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
