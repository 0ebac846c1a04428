// Package peers is the transport between the fronts of a fleet: UDP datagrams for pings and gossip, and TCP connections for
// full exchanges and for other messages that are longer than a datagram. It makes no decisions. Received messages wait in a
// bounded queue until the main loop of the front takes them, and outgoing datagrams wait in a bounded queue for the system, so
// the loop never blocks. A message that cannot be queued or parsed is counted and dropped, without a log line.
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
	maxDatagram  = 1200    // bytes
	queueSize    = 1024    // datagrams that wait for the loop, and as many that wait for the system
	receiveBatch = 256     // maximum number of messages that one call of Receive handles
	maxFrame     = 4 << 20 // bytes of a message over TCP, without its length
	maxStreams   = 4       // maximum number of connections at once in each direction
	ioTimeout    = 2 * time.Second
)

// Counts is the number of messages that were sent, received or dropped for some reason.
type Counts struct {
	Sent    int64 // datagrams sent
	Taken   int64 `json:"Taken"`   // messages received and handled
	Bytes   int64 `json:"Bytes"`   // bytes of the datagrams sent
	Full    int64 `json:"Full"`    // dropped because a queue was full or all connections were in use
	Shape   int64 `json:"Shape"`   // dropped because they were malformed
	Fleet   int64 `json:"Fleet"`   // dropped because they came from another fleet
	Version int64 `json:"Version"` // dropped because they had another protocol version
	Long    int64 `json:"Long"`    // dropped because they were too long
	Where   int64 `json:"Where"`   // not sent because the address was invalid, or neither loopback nor private
}

// inboundFrame is a message that was received over TCP.
type inboundFrame struct {
	payload []byte
	reply   chan []byte // takes the frame of the reply, or nil for none; nil: the peer expects no reply
}

// Transport holds the sockets of one front. OnConfig, OnPositions and Receive are for the main loop of the front; the other
// methods are safe for concurrent use.
type Transport struct {
	fleet         string
	udp           *net.UDPConn
	tcp           *net.TCPListener
	wake          func() // wakes the loop, which then calls Receive
	inbound       chan []byte
	outbound      chan outboundDatagram
	frames        chan inboundFrame
	freeBuffers   chan []byte             // for reuse; of maxDatagram+1 bytes or more
	inboundSlots  chan struct{}           // bounds accepted connections
	outboundSlots chan struct{}           // bounds connections that this front opens
	msg           membership.Message      // scratch space
	onQuery       func(q positions.Query) // called by the loop
	onAnswer      func(a positions.Answer)
	onLease       atomic.Pointer[func(b []byte)] // handles lease messages; nil: they are dropped
	onConfig      func(m ConfigMessage)          // called by the loop

	onControl     atomic.Pointer[func(m ConfigMessage)]    // handles messages for this control machine; nil: they are dropped
	onRequest     atomic.Pointer[func(body []byte) []byte] // answers requests to this control machine
	configEnabled atomic.Bool                              // OnConfig was called

	// The counters behind Counts.
	sent         atomic.Int64
	received     atomic.Int64
	sentBytes    atomic.Int64
	queueFull    atomic.Int64
	malformed    atomic.Int64
	otherFleet   atomic.Int64
	otherVersion atomic.Int64
	tooLong      atomic.Int64
	badAddress   atomic.Int64
}

// outboundDatagram is a datagram that waits to be sent.
type outboundDatagram struct {
	to      netip.AddrPort
	payload []byte
}

// Open listens on addr, over UDP and TCP. The address has to be a loopback or private one. Other goroutines call wake when a
// message is ready for Receive.
func Open(addr, fleet string, wake func()) (*Transport, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !isLocal(addrPort.Addr()) {
		return nil, fmt.Errorf("%s is neither a loopback nor a private address", addr)
	}
	udp, tcp, err := listenBoth(addrPort)
	for n := 0; err != nil && addrPort.Port() == 0 && n < 16; n++ { // the port chosen for UDP may be in use for TCP
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

// listenBoth listens on the same port over UDP and TCP.
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

// isLocal reports whether an address is a loopback or private one. Nothing is sent elsewhere, so that a message of a peer
// cannot direct traffic of this front to other addresses.
func isLocal(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() }

// Addr returns the address that it listens on.
func (p *Transport) Addr() string { return p.tcp.Addr().String() }

// Close closes both sockets.
func (p *Transport) Close() { p.udp.Close(); p.tcp.Close() }

// Counts returns the current counts.
func (p *Transport) Counts() Counts {
	return Counts{p.sent.Load(), p.received.Load(), p.sentBytes.Load(), p.queueFull.Load(), p.malformed.Load(), p.otherFleet.Load(),
		p.otherVersion.Load(), p.tooLong.Load(), p.badAddress.Load()}
}

// getBuffer returns an empty buffer with room for more than a datagram, so that one that is too long is noticed.
func (p *Transport) getBuffer() []byte {
	select {
	case b := <-p.freeBuffers:
		return b[:0]
	default:
		return make([]byte, 0, maxDatagram+1)
	}
}

// putBuffer makes a buffer available for reuse.
func (p *Transport) putBuffer(b []byte) {
	if cap(b) > maxDatagram {
		select {
		case p.freeBuffers <- b:
		default:
		}
	}
}

// Send queues a membership message as a datagram.
func (p *Transport) Send(addr string, m *membership.Message) {
	p.enqueue(addr, AppendMessage(p.getBuffer(), p.fleet, m))
}

// enqueue queues a datagram, or drops and counts it. It takes ownership of b.
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

// write sends queued datagrams until the socket is closed.
func (p *Transport) write() {
	for d := range p.outbound {
		if _, err := p.udp.WriteToUDPAddrPort(d.payload, d.to); errors.Is(err, net.ErrClosed) {
			return
		}
		p.sent.Add(1)
		p.sentBytes.Add(int64(len(d.payload)))
		p.putBuffer(d.payload)
	}
}

// read receives datagrams until the socket is closed.
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

// Receive handles at most receiveBatch received messages, and wakes the loop again if there may be more. Membership messages
// are passed to handle, which reports whether the sender of a full exchange is to get the message that answer returns. The
// message is valid only during the call.
func (p *Transport) Receive(handle func(m *membership.Message) bool, answer func() *membership.Message) {
	for n := range receiveBatch {
		select {
		case b := <-p.inbound:
			if !p.handlePosition(b) && !p.handleFront(b) && p.parse(b) {
				handle(&p.msg)
			}
			p.putBuffer(b)
		case frame := <-p.frames:
			var reply []byte
			if !p.handleFront(frame.payload) && p.parse(frame.payload) && handle(&p.msg) && frame.reply != nil {
				reply = AppendMessage(make([]byte, 4), p.fleet, answer())
			}
			if frame.reply != nil {
				frame.reply <- reply // does not block: the channel has room for one
			}
		default:
			return
		}
		if n == receiveBatch-1 {
			p.wake()
		}
	}
}

// parse decodes a membership message into p.msg, counts it and reports whether it was valid.
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

// accept serves connections until the listener is closed. Each carries one message and at most one reply.
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
				frame := inboundFrame{data, make(chan []byte, 1)}
				select {
				case p.frames <- frame:
					p.wake()
				default:
					p.queueFull.Add(1)
					return
				}
				select {
				case reply := <-frame.reply:
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

// StartSync starts a full exchange with the front at addr and returns at once. The reply arrives by Receive.
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

// OnLease sets the function that handles the bodies of lease messages. Several goroutines may call it at once; it must not
// block, and must not keep b.
func (p *Transport) OnLease(handle func(b []byte)) { p.onLease.Store(&handle) }

// handleLease passes on a lease message of this fleet, and reports whether b was one.
func (p *Transport) handleLease(b []byte) bool {
	body, ok := leaseBody(b, p.fleet)
	if handle := p.onLease.Load(); ok && handle != nil {
		p.received.Add(1)
		(*handle)(body)
	}
	return ok
}

// SendLease sends the body of a lease message, as AppendLease writes it: as a datagram, or over TCP if it is longer.
func (p *Transport) SendLease(addr string, body []byte) {
	if b := appendLeaseFrame(p.getBuffer(), p.fleet, body); len(b) <= maxDatagram {
		p.enqueue(addr, b)
		return
	}
	p.sendStream(addr, appendLeaseFrame(make([]byte, 4), p.fleet, body))
}

// sendStream sends a frame over a TCP connection of its own and returns at once. The first four bytes are reserved for the
// length.
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

// dial opens a connection to another front, from the address by which that front knows this one.
func (p *Transport) dial(addrPort netip.AddrPort) (net.Conn, error) {
	from := net.TCPAddr{IP: p.tcp.Addr().(*net.TCPAddr).IP}
	d := net.Dialer{Timeout: ioTimeout, LocalAddr: &from}
	c, err := d.Dial("tcp", addrPort.String())
	if err == nil {
		c.SetDeadline(time.Now().Add(ioTimeout))
	}
	return c, err
}

// writeFrame sets the length of a frame, for which its first four bytes are reserved, and writes the frame.
func writeFrame(c net.Conn, data []byte) error {
	if len(data) < 4 {
		return errMalformed
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-4))
	_, err := c.Write(data)
	return err
}

// readFrame reads a frame and returns it without its length.
func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, errMalformed
	}
	// A peer can claim any length at no cost, so memory is allocated only as bytes arrive.
	data, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(data) != int(n) {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}
