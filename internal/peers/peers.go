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
	maxDatagram  = 1200    // bytes of one, at most
	queueSize    = 1024    // datagrams that wait for the loop, and as many for the system
	receiveBatch = 256     // that the loop takes at a time
	maxFrame     = 4 << 20 // bytes of one side of a whole exchange
	maxStreams   = 4       // at a time, of each direction
	ioTimeout    = 2 * time.Second
)

// Counts tells what was dropped, and why.
type Counts struct {
	Sent, Taken, Bytes                       int64 // datagrams, datagrams, and bytes of those sent
	Full, Shape, Fleet, Version, Long, Where int64
}

// inboundFrame is one side of a whole exchange that has come in.
type inboundFrame struct {
	payload []byte
	reply   chan []byte // nil: none is waited for
}

// Transport is the sockets of one front.
type Transport struct {
	fleet         string
	udp           *net.UDPConn
	tcp           *net.TCPListener
	wake          func()
	inbound       chan []byte
	outbound      chan outboundDatagram
	frames        chan inboundFrame
	freeBuffers   chan []byte
	inboundSlots  chan struct{} // for exchanges that come in
	outboundSlots chan struct{} // for those that go out
	msg           membership.Message
	onQuery       func(q positions.Query) // the loop's
	onAnswer      func(a positions.Answer)
	onLease       atomic.Pointer[func(b []byte)] // takes messages of leases; nil: they are dropped
	onConfig      func(m ConfigMessage)          // the loop's

	onControl     atomic.Pointer[func(m ConfigMessage)]    // takes those for this control machine; nil: they are dropped
	onRequest     atomic.Pointer[func(body []byte) []byte] // answers requests to it
	configEnabled atomic.Bool

	sent, received, sentBytes, queueFull, malformed, otherFleet, otherVersion, tooLong, badAddress atomic.Int64
}

type outboundDatagram struct {
	to      netip.AddrPort
	payload []byte
}

// Open listens on addr, UDP and TCP, which has to be a loopback or private one.
func Open(addr, fleet string, wake func()) (*Transport, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !isLocal(addrPort.Addr()) {
		return nil, fmt.Errorf("%s is neither a loopback nor a private address", addr)
	}
	udp, tcp, err := listenBoth(addrPort)
	for n := 0; err != nil && addrPort.Port() == 0 && n < 16; n++ { // the port that one drew may be taken for the other
		udp, tcp, err = listenBoth(addrPort)
	}
	if err != nil {
		return nil, err
	}
	p := &Transport{fleet: fleet, udp: udp, tcp: tcp, wake: wake, inbound: make(chan []byte, queueSize), outbound: make(chan outboundDatagram, queueSize),
		frames: make(chan inboundFrame, 2*maxStreams), freeBuffers: make(chan []byte, 2*queueSize), inboundSlots: make(chan struct{}, maxStreams),
		outboundSlots: make(chan struct{}, maxStreams)}
	go p.read()
	go p.write()
	go p.accept()
	return p, nil
}

// listenBoth listens on one port, for datagrams and for connections.
func listenBoth(addrPort netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, nil, err
	}
	port := udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(addrPort.Addr(), port)))
	if err != nil {
		udp.Close()
	}
	return udp, tcp, err
}

// near: a peer's message must not set this front on addresses elsewhere.
func isLocal(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() }

// Addr is where it listens.
func (p *Transport) Addr() string { return p.tcp.Addr().String() }

// Close ends both sockets.
func (p *Transport) Close() { p.udp.Close(); p.tcp.Close() }

// Counts tells what has come and gone.
func (p *Transport) Counts() Counts {
	return Counts{p.sent.Load(), p.received.Load(), p.sentBytes.Load(), p.queueFull.Load(), p.malformed.Load(), p.otherFleet.Load(),
		p.otherVersion.Load(), p.tooLong.Load(), p.badAddress.Load()}
}

func (p *Transport) getBuffer() []byte {
	select {
	case b := <-p.freeBuffers:
		return b[:0]
	default:
		return make([]byte, 0, maxDatagram+1)
	}
}

func (p *Transport) putBuffer(b []byte) {
	if cap(b) > maxDatagram {
		select {
		case p.freeBuffers <- b:
		default:
		}
	}
}

// Send puts a datagram in the queue for the system.
func (p *Transport) Send(addr string, m *membership.Message) {
	p.enqueue(addr, AppendMessage(p.getBuffer(), p.fleet, m))
}

// enqueue takes a message over.
func (p *Transport) enqueue(addr string, b []byte) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || !isLocal(addrPort.Addr()) {
		p.badAddress.Add(1)
		p.putBuffer(b)
		return
	}
	if len(b) > maxDatagram {
		p.tooLong.Add(1)
		p.putBuffer(b)
		return
	}
	select {
	case p.outbound <- outboundDatagram{addrPort, b}:
	default:
		p.queueFull.Add(1)
		p.putBuffer(b)
	}
}

func (p *Transport) write() {
	for o := range p.outbound {
		if _, err := p.udp.WriteToUDPAddrPort(o.payload, o.to); errors.Is(err, net.ErrClosed) {
			return
		}
		p.sent.Add(1)
		p.sentBytes.Add(int64(len(o.payload)))
		p.putBuffer(o.payload)
	}
}

func (p *Transport) read() {
	for {
		b := p.getBuffer()
		b = b[:cap(b)]
		n, _, err := p.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			p.putBuffer(b)
			continue
		}
		if n > maxDatagram {
			p.tooLong.Add(1)
			p.putBuffer(b)
			continue
		}
		if p.handleLease(b[:n]) || p.handleControl(b[:n]) {
			p.putBuffer(b)
			continue
		}
		select {
		case p.inbound <- b[:n]:
			p.wake()
		default:
			p.queueFull.Add(1)
			p.putBuffer(b)
		}
	}
}

// Receive hands what has come in to the loop, so much at a time. take tells whether a whole exchange is to be
// answered, with what answer gives.
func (p *Transport) Receive(handle func(m *membership.Message) bool, answer func() *membership.Message) {
	for n := range receiveBatch {
		select {
		case b := <-p.inbound:
			if !p.handlePosition(b) && !p.handleFront(b) && p.parse(b) {
				handle(&p.msg)
			}
			p.putBuffer(b)
		case w := <-p.frames:
			var reply []byte
			if !p.handleFront(w.payload) && p.parse(w.payload) && handle(&p.msg) && w.reply != nil {
				reply = AppendMessage(make([]byte, 4), p.fleet, answer())
			}
			if w.reply != nil {
				w.reply <- reply // it has room for one
			}
		default:
			return
		}
		if n == receiveBatch-1 {
			p.wake()
		}
	}
}

func (p *Transport) parse(b []byte) bool {
	switch err := ReadMessage(b, p.fleet, &p.msg); err {
	case nil:
		p.received.Add(1)
		return true
	case errOtherFleet:
		p.otherFleet.Add(1)
	case errOtherVersion:
		p.otherVersion.Add(1)
	default:
		p.malformed.Add(1)
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
		case p.inboundSlots <- struct{}{}:
			go func() {
				defer func() { c.Close(); <-p.inboundSlots }()
				c.SetDeadline(time.Now().Add(ioTimeout))
				data, err := readFrame(c)
				if err != nil {
					p.malformed.Add(1)
					return
				}
				if p.handleLease(data) || p.handleControl(data) {
					return
				}
				if reply, ok := p.handleRequest(data); ok {
					writeFrame(c, reply)
					return
				}
				w := inboundFrame{data, make(chan []byte, 1)}
				select {
				case p.frames <- w:
					p.wake()
				default:
					p.queueFull.Add(1)
					return
				}
				select {
				case reply := <-w.reply:
					writeFrame(c, reply)
				case <-time.After(ioTimeout):
				}
			}()
		default:
			p.queueFull.Add(1)
			c.Close()
		}
	}
}

// StartSync begins a whole exchange with whoever is at addr; what comes back is taken like a datagram.
func (p *Transport) StartSync(addr string, m *membership.Message) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || !isLocal(addrPort.Addr()) {
		p.badAddress.Add(1)
		return
	}
	select {
	case p.outboundSlots <- struct{}{}:
	default:
		p.queueFull.Add(1)
		return
	}
	data := AppendMessage(make([]byte, 4), p.fleet, m)
	go func() {
		defer func() { <-p.outboundSlots }()
		c, err := p.dial(addrPort)
		if err != nil {
			return
		}
		defer c.Close()
		if writeFrame(c, data) != nil {
			return
		}
		if reply, err := readFrame(c); err == nil {
			select {
			case p.frames <- inboundFrame{payload: reply}:
				p.wake()
			default:
				p.queueFull.Add(1)
			}
		}
	}()
}

// OnLease has messages of leases handed to take from now on, by several goroutines; it must not block, and keeps nothing.
func (p *Transport) OnLease(handle func(b []byte)) { p.onLease.Store(&handle) }

// handleLease hands on what is a message of this fleet's leases.
func (p *Transport) handleLease(b []byte) bool {
	body, ok := leaseBody(b, p.fleet)
	if handle := p.onLease.Load(); ok && handle != nil {
		p.received.Add(1)
		(*handle)(body)
	}
	return ok
}

// SendLease sends a message of leases, as it is written by its package: a datagram, or a connection where it is longer.
func (p *Transport) SendLease(addr string, body []byte) {
	if b := appendLeaseFrame(p.getBuffer(), p.fleet, body); len(b) <= maxDatagram {
		p.enqueue(addr, b)
		return
	}
	p.sendStream(addr, appendLeaseFrame(make([]byte, 4), p.fleet, body))
}

// sendStream sends a frame, whose first four bytes are left for its length, on a connection of its own.
func (p *Transport) sendStream(addr string, data []byte) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || !isLocal(addrPort.Addr()) {
		p.badAddress.Add(1)
		return
	}
	select {
	case p.outboundSlots <- struct{}{}:
	default:
		p.queueFull.Add(1)
		return
	}
	go func() {
		defer func() { <-p.outboundSlots }()
		if c, err := p.dial(addrPort); err == nil {
			writeFrame(c, data)
			c.Close()
		}
	}()
}

// dial opens a connection to another front, from the address that it knows this one by.
func (p *Transport) dial(addrPort netip.AddrPort) (net.Conn, error) {
	from := net.TCPAddr{IP: p.tcp.Addr().(*net.TCPAddr).IP}
	d := net.Dialer{Timeout: ioTimeout, LocalAddr: &from}
	c, err := d.Dial("tcp", addrPort.String())
	if err == nil {
		c.SetDeadline(time.Now().Add(ioTimeout))
	}
	return c, err
}

// writeFrame writes a frame, whose first four bytes are left for its length.
func writeFrame(c net.Conn, data []byte) error {
	if len(data) < 4 {
		return errMalformed
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-4))
	_, err := c.Write(data)
	return err
}

func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, errMalformed
	}
	// Danger: a length that is told costs nothing, so memory is taken as bytes come.
	data, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(data) != int(n) {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}
