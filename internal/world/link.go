package world

import (
	"sort"
	"time"

	"micatrack/internal/front"
)

// side is what stands at the other end of a front's link.
type side interface {
	took(l *link, b []byte) // bytes have arrived
	ended(l *link)          // the front has closed it
}

// link is one connection of a front, to a store or from a client.
type link struct {
	f       *Front
	other   Node
	side    side
	number  uint64
	in, out []byte
	sent    int64
	got     int64 // bytes that have come from the other side
	owner   any
	what    front.EventFlags
	told    bool // it stands among the front's events
	closed  bool // by the front
	gone    bool // by the other side

	buf     []byte // of the other side: bytes not yet taken
	greeted bool
	ask     *asked // of a client
}

func sortLinks(links []*link) {
	sort.Slice(links, func(a, b int) bool { return links[a].number < links[b].number })
}

// Peek, Discard, InputWaits, ReadOn, ReceivedBytes, Write, Flush, SentBytes, Flushed, Close, Abort, CloseWrite, Owner and
// SetOwner are front.Link.
func (l *link) Peek() []byte     { return l.in }
func (l *link) Discard(n int)    { l.in = l.in[n:] }
func (l *link) InputWaits() bool { return false }
func (l *link) ReadOn() bool     { return len(l.in) <= 1<<18 }
func (l *link) Write(p []byte) bool {
	l.out = append(l.out, p...)
	return true
}
func (l *link) ReceivedBytes() int64    { return l.got }
func (l *link) SentBytes() int64        { return l.sent }
func (l *link) InputAge() time.Duration { return 0 }
func (l *link) Flushed() bool           { return len(l.out) == 0 }
func (l *link) Abort()                  { l.Close() }
func (l *link) Owner() any              { return l.owner }
func (l *link) SetOwner(o any)          { l.owner = o }

func (l *link) Flush() {
	if len(l.out) == 0 || l.closed {
		return
	}
	b := l.out
	l.out = nil
	l.sent += int64(len(b))
	l.f.w.carry(l.f.Node, l.other, func() {
		if !l.gone {
			l.side.took(l, b)
		}
	})
}

func (l *link) Close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.f.links, l)
	l.f.w.carry(l.f.Node, l.other, func() {
		if !l.gone {
			l.gone = true
			l.side.ended(l)
		}
	})
}

// CloseWrite closes once all is out; the front hears of that.
func (l *link) CloseWrite() {
	l.Flush()
	f := l.f
	l.Close()
	f.links[l] = true
	f.w.At(0, func() { l.news(front.Closed) })
}

// PeerState tells whether the other side is there, as the front knows.
func (l *link) PeerState() front.PeerState {
	if l.closed {
		return front.PeerGone
	}
	return front.PeerConnected
}

// CloseWriteIfIdle is Finish if nothing of a message has come.
func (l *link) CloseWriteIfIdle() bool {
	if len(l.in) > 0 {
		return false
	}
	l.CloseWrite()
	return true
}

// CloseIfIdle is Close if nothing of a message has come.
func (l *link) CloseIfIdle([]byte) bool {
	if len(l.in) > 0 {
		return false
	}
	l.Close()
	return true
}

// push sends bytes to the front.
func (l *link) push(b []byte) {
	l.f.w.carry(l.other, l.f.Node, func() {
		if !l.closed {
			l.in = append(l.in, b...)
			l.got += int64(len(b))
			l.news(front.Readable)
		}
	})
}

// hang closes the link from the other side.
func (l *link) hang() {
	if l.gone {
		return
	}
	l.gone = true
	l.f.w.carry(l.other, l.f.Node, func() {
		if !l.closed {
			l.news(front.Closed)
		}
	})
}

// news tells the front of it at its next step.
func (l *link) news(what front.EventFlags) {
	f := l.f
	if f.core == nil || !f.links[l] {
		return
	}
	if l.what |= what; !l.told {
		l.told = true
		f.events = append(f.events, front.Event{Link: l})
	}
	f.wake()
}
