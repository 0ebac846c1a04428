// Package peers is how the fronts of a fleet talk: UDP datagrams for pings and rumours, TCP for whole exchanges. It
// decides nothing. What comes in waits, bounded, until the loop takes it, and what goes out waits, bounded, for the
// system: the loop never does. What cannot be taken, or parsed, is counted and dropped without a line in the log.
package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"micatrack/fleet/membership"
	"micatrack/fleet/positions"
)

const (
	datagram  = 1200    // bytes of one, at most
	waiting   = 1024    // datagrams that wait for the loop, and as many for the system
	turn      = 256     // that the loop takes at a time
	mostWhole = 4 << 20 // bytes of one side of a whole exchange
	exchanges = 4       // at a time, of each direction
	patience  = 2 * time.Second
)

// Counts tells what was dropped, and why.
type Counts struct {
	Sent, Taken, Bytes                       int64 // datagrams, datagrams, and bytes of those sent
	Full, Shape, Fleet, Version, Long, Where int64
}

// whole is one side of a whole exchange that has come in.
type whole struct {
	text  []byte
	reply chan []byte // nil: none is waited for
}

// Transport is the sockets of one front.
type Transport struct {
	fleet    string
	udp      *net.UDPConn
	tcp      *net.TCPListener
	wake     func()
	in       chan []byte
	out      chan outgoing
	whole    chan whole
	spare    chan []byte
	room     chan struct{} // for exchanges that come in
	begun    chan struct{} // for those that go out
	msg      membership.Message
	onQuery  func(q positions.Query) // the loop's
	onAnswer func(a positions.Answer)
	cargo    atomic.Pointer[func(b []byte)] // takes messages of leases; nil: they are dropped
	onConfig func(m ConfigMessage)          // the loop's

	control    atomic.Pointer[func(m ConfigMessage)]    // takes those for this control machine; nil: they are dropped
	requested  atomic.Pointer[func(body []byte) []byte] // answers requests to it
	configured atomic.Bool

	sent, taken, bytes, full, shape, other, version, long, where atomic.Int64
}

type outgoing struct {
	to   netip.AddrPort
	text []byte
}

// Open listens on addr, UDP and TCP, which has to be a loopback or private one.
func Open(addr, fleet string, wake func()) (*Transport, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !near(at.Addr()) {
		return nil, fmt.Errorf("%s is neither a loopback nor a private address", addr)
	}
	udp, tcp, err := both(at)
	for n := 0; err != nil && at.Port() == 0 && n < 16; n++ { // the port that one drew may be taken for the other
		udp, tcp, err = both(at)
	}
	if err != nil {
		return nil, err
	}
	p := &Transport{fleet: fleet, udp: udp, tcp: tcp, wake: wake, in: make(chan []byte, waiting), out: make(chan outgoing, waiting),
		whole: make(chan whole, 2*exchanges), spare: make(chan []byte, 2*waiting), room: make(chan struct{}, exchanges),
		begun: make(chan struct{}, exchanges)}
	go p.read()
	go p.write()
	go p.accept()
	return p, nil
}

// both listens on one port, for datagrams and for connections.
func both(at netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, nil, err
	}
	port := udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), port)))
	if err != nil {
		udp.Close()
	}
	return udp, tcp, err
}

// near: a peer's message must not set this front on addresses elsewhere.
func near(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() }

// Addr is where it listens.
func (p *Transport) Addr() string { return p.tcp.Addr().String() }

// Close ends both sockets.
func (p *Transport) Close() { p.udp.Close(); p.tcp.Close() }

// Counts tells what has come and gone.
func (p *Transport) Counts() Counts {
	return Counts{p.sent.Load(), p.taken.Load(), p.bytes.Load(), p.full.Load(), p.shape.Load(), p.other.Load(),
		p.version.Load(), p.long.Load(), p.where.Load()}
}

func (p *Transport) buffer() []byte {
	select {
	case b := <-p.spare:
		return b[:0]
	default:
		return make([]byte, 0, datagram+1)
	}
}

func (p *Transport) free(b []byte) {
	if cap(b) > datagram {
		select {
		case p.spare <- b:
		default:
		}
	}
}

// Send puts a datagram in the queue for the system.
func (p *Transport) Send(addr string, m *membership.Message) {
	p.raw(addr, AppendMessage(p.buffer(), p.fleet, m))
}

// raw takes a message over.
func (p *Transport) raw(addr string, b []byte) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil || !near(to.Addr()) {
		p.where.Add(1)
		p.free(b)
		return
	}
	if len(b) > datagram {
		p.long.Add(1)
		p.free(b)
		return
	}
	select {
	case p.out <- outgoing{to, b}:
	default:
		p.full.Add(1)
		p.free(b)
	}
}

func (p *Transport) write() {
	for o := range p.out {
		if _, err := p.udp.WriteToUDPAddrPort(o.text, o.to); errors.Is(err, net.ErrClosed) {
			return
		}
		p.sent.Add(1)
		p.bytes.Add(int64(len(o.text)))
		p.free(o.text)
	}
}

func (p *Transport) read() {
	for {
		b := p.buffer()
		b = b[:cap(b)]
		n, _, err := p.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			p.free(b)
			continue
		}
		if n > datagram {
			p.long.Add(1)
			p.free(b)
			continue
		}
		if p.lease(b[:n]) || p.toControl(b[:n]) {
			p.free(b)
			continue
		}
		select {
		case p.in <- b[:n]:
			p.wake()
		default:
			p.full.Add(1)
			p.free(b)
		}
	}
}

// Receive hands what has come in to the loop, so much at a time. take tells whether a whole exchange is to be
// answered, with what answer gives.
func (p *Transport) Receive(take func(m *membership.Message) bool, answer func() *membership.Message) {
	for n := range turn {
		select {
		case b := <-p.in:
			if !p.watched(b) && !p.toFront(b) && p.parse(b) {
				take(&p.msg)
			}
			p.free(b)
		case w := <-p.whole:
			var back []byte
			if !p.toFront(w.text) && p.parse(w.text) && take(&p.msg) && w.reply != nil {
				back = AppendMessage(make([]byte, 4), p.fleet, answer())
			}
			if w.reply != nil {
				w.reply <- back // it has room for one
			}
		default:
			return
		}
		if n == turn-1 {
			p.wake()
		}
	}
}

func (p *Transport) parse(b []byte) bool {
	switch err := ReadMessage(b, p.fleet, &p.msg); err {
	case nil:
		p.taken.Add(1)
		return true
	case errFleet:
		p.other.Add(1)
	case errVersion:
		p.version.Add(1)
	default:
		p.shape.Add(1)
	}
	return false
}

func (p *Transport) accept() {
	for {
		c, err := p.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case p.room <- struct{}{}:
			go func() {
				defer func() { c.Close(); <-p.room }()
				c.SetDeadline(time.Now().Add(patience))
				text, err := frame(c)
				if err != nil {
					p.shape.Add(1)
					return
				}
				if p.lease(text) || p.toControl(text) {
					return
				}
				if back, ok := p.handleRequest(text); ok {
					send(c, back)
					return
				}
				w := whole{text, make(chan []byte, 1)}
				select {
				case p.whole <- w:
					p.wake()
				default:
					p.full.Add(1)
					return
				}
				select {
				case back := <-w.reply:
					send(c, back)
				case <-time.After(patience):
				}
			}()
		default:
			p.full.Add(1)
			c.Close()
		}
	}
}

// StartSync begins a whole exchange with whoever is at addr; what comes back is taken like a datagram.
func (p *Transport) StartSync(addr string, m *membership.Message) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil || !near(to.Addr()) {
		p.where.Add(1)
		return
	}
	select {
	case p.begun <- struct{}{}:
	default:
		p.full.Add(1)
		return
	}
	text := AppendMessage(make([]byte, 4), p.fleet, m)
	go func() {
		defer func() { <-p.begun }()
		c, err := p.dial(to)
		if err != nil {
			return
		}
		defer c.Close()
		if send(c, text) != nil {
			return
		}
		if back, err := frame(c); err == nil {
			select {
			case p.whole <- whole{text: back}:
				p.wake()
			default:
				p.full.Add(1)
			}
		}
	}()
}

// OnLease has messages of leases handed to take from now on, by several goroutines; it must not block, and keeps nothing.
func (p *Transport) OnLease(take func(b []byte)) { p.cargo.Store(&take) }

// lease hands on what is a message of this fleet's leases.
func (p *Transport) lease(b []byte) bool {
	body, ok := leaseOf(b, p.fleet)
	if take := p.cargo.Load(); ok && take != nil {
		p.taken.Add(1)
		(*take)(body)
	}
	return ok
}

// SendLease sends a message of leases, as it is written by its package: a datagram, or a connection where it is longer.
func (p *Transport) SendLease(addr string, body []byte) {
	if b := appendLease(p.buffer(), p.fleet, body); len(b) <= datagram {
		p.raw(addr, b)
		return
	}
	p.stream(addr, appendLease(make([]byte, 4), p.fleet, body))
}

// stream sends a frame, whose first four bytes are left for its length, on a connection of its own.
func (p *Transport) stream(addr string, text []byte) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil || !near(to.Addr()) {
		p.where.Add(1)
		return
	}
	select {
	case p.begun <- struct{}{}:
	default:
		p.full.Add(1)
		return
	}
	go func() {
		defer func() { <-p.begun }()
		if c, err := p.dial(to); err == nil {
			send(c, text)
			c.Close()
		}
	}()
}

// dial opens a connection to another front, from the address that it knows this one by.
func (p *Transport) dial(to netip.AddrPort) (net.Conn, error) {
	from := net.TCPAddr{IP: p.tcp.Addr().(*net.TCPAddr).IP}
	d := net.Dialer{Timeout: patience, LocalAddr: &from}
	c, err := d.Dial("tcp", to.String())
	if err == nil {
		c.SetDeadline(time.Now().Add(patience))
	}
	return c, err
}

// send writes a frame, whose first four bytes are left for its length.
func send(c net.Conn, text []byte) error {
	if len(text) < 4 {
		return errShape
	}
	binary.BigEndian.PutUint32(text, uint32(len(text)-4))
	_, err := c.Write(text)
	return err
}

func frame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > mostWhole {
		return nil, errShape
	}
	// Danger: a length that is told costs nothing, so memory is taken as bytes come.
	text, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(text) != int(n) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}
