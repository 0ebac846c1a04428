package peers

import (
	"errors"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/config"
)

// This file handles messages of the configuration (fleet/config) and requests to control machines. The front and the
// control part of a machine share a port, so each message contains the part that it is for, and the machine and part that
// sent it.

const (
	// kindConfig and kindRequest are kinds of messages, in the field of the membership kind.
	kindConfig  = 10
	kindRequest = 11

	// fieldConfig and fieldRequest are the fields of their bodies.
	fieldConfig  = 13
	fieldRequest = 14

	// maxRequestBytes bounds a request to a control machine, and its answer.
	maxRequestBytes = 1 << 20
)

// ConfigMessage is one message of the configuration.
type ConfigMessage struct {
	ToControl   bool   // it is for the control part of the receiving machine, not for its front
	FromControl bool   // it comes from the control part of the sending machine, not from its front
	Addr        string // address of the sender
	Body        []byte // as encoded by fleet/config; 1 to config.MaxMessage bytes
}

// Errors of Request.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("control machine unreachable")
	// ErrNoAnswer means that the request may have been received, but no valid answer arrived.
	ErrNoAnswer = errors.New("no valid answer from the control machine")
)

// boolToUint returns 1 for true and 0 for false.
func boolToUint(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// AppendConfig appends the complete encoding of a configuration message to dst.
func AppendConfig(dst []byte, fleet string, m *ConfigMessage) []byte {
	dst = appendHeader(dst, fleet, kindConfig)
	return appendEmbedded(dst, fieldConfig, func(dst []byte) []byte {
		dst = appendUint(appendUint(dst, 1, boolToUint(m.ToControl)), 2, boolToUint(m.FromControl))
		return appendBytes(appendBytes(dst, 3, []byte(m.Addr)), 4, m.Body)
	})
}

// ReadConfig decodes a configuration message, whose body refers to b. It rejects addresses that are neither loopback nor
// private, because replies are sent there: a message of a peer must not direct traffic to other addresses.
func ReadConfig(b []byte, fleet string) (m ConfigMessage, err error) {
	body, ok := messageBody(b, fleet, kindConfig, fieldConfig)
	if !ok {
		return m, errMalformed
	}
	err = forEachField(body, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			m.ToControl = number != 0
		case 2:
			m.FromControl = number != 0
		case 3:
			m.Addr = string(data[:min(len(data), maxTextBytes+1)])
		case 4:
			m.Body = data
		}
		return nil
	})
	if err != nil {
		return m, err
	}
	addrPort, err := netip.ParseAddrPort(m.Addr)
	if err != nil || !isLocal(addrPort.Addr()) || len(m.Addr) > maxTextBytes {
		return m, errMalformed
	}
	if len(m.Body) == 0 || len(m.Body) > config.MaxMessage {
		return m, errMalformed
	}
	return m, nil
}

// appendHeader writes the fields that begin every message: the version, the fleet and the kind.
func appendHeader(dst []byte, fleet string, kind uint64) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendUint(dst, 3, kind)
}

// OnConfig sets the functions that handle configuration messages. Receive calls front with those for the front. Several
// goroutines may call control at once with those for the control machine; it must not block, and must not keep the body. If a
// function is nil, its messages are dropped.
func (p *Transport) OnConfig(front, control func(m ConfigMessage)) {
	p.onConfig = front
	if control != nil {
		p.onControl.Store(&control)
	}
	p.configEnabled.Store(true)
}

// OnRequest sets the function that answers requests to this control machine. Several goroutines may call it at once, and it
// has to return within HandlerTimeout.
func (p *Transport) OnRequest(handle func(body []byte) []byte) { p.onRequest.Store(&handle) }

// HandlerTimeout is the maximum time that the function given to OnRequest may take.
const HandlerTimeout = ioTimeout - 500*time.Millisecond

// SendConfig sends a configuration message: as a datagram, or over TCP if the names around its body make it longer than one.
func (p *Transport) SendConfig(addr string, m *ConfigMessage) {
	b := AppendConfig(p.getBuffer(), p.fleet, m)
	if len(b) <= maxDatagram {
		p.enqueue(addr, b)
		return
	}
	p.putBuffer(b)
	p.sendStream(addr, AppendConfig(make([]byte, 4), p.fleet, m))
}

// handleControl passes on a configuration message for this control machine, and reports whether b was one.
func (p *Transport) handleControl(b []byte) bool {
	if !p.configEnabled.Load() {
		return false
	}
	m, err := ReadConfig(b, p.fleet)
	if err != nil || !m.ToControl {
		return false
	}
	if handle := p.onControl.Load(); handle != nil {
		p.received.Add(1)
		(*handle)(m)
	}
	return true
}

// handleFront passes on a configuration message for this front, and reports whether b was one.
func (p *Transport) handleFront(b []byte) bool {
	if p.onConfig == nil {
		return false
	}
	m, err := ReadConfig(b, p.fleet)
	if err != nil || m.ToControl {
		return false
	}
	p.received.Add(1)
	p.onConfig(m)
	return true
}

// handleRequest answers a request and returns the frame of the answer. ok reports whether data was a request; the answer to
// one that is too long is nil.
func (p *Transport) handleRequest(data []byte) (reply []byte, ok bool) {
	handler := p.onRequest.Load()
	if handler == nil {
		return nil, false
	}
	body, ok := messageBody(data, p.fleet, kindRequest, fieldRequest)
	if !ok {
		return nil, false
	}
	if len(body) > maxRequestBytes {
		p.tooLong.Add(1)
		return nil, true
	}
	p.received.Add(1)
	return appendBytes(appendHeader(make([]byte, 4), p.fleet, kindRequest), fieldRequest, (*handler)(body)), true
}

// Request sends a request to the control machine at addr and waits for its answer, so the main loop must not call it. The
// error is ErrUnreachable if nothing was sent, and ErrNoAnswer if it was sent but no valid answer arrived.
func (p *Transport) Request(addr string, body []byte) ([]byte, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || !isLocal(addrPort.Addr()) {
		p.badAddress.Add(1)
		return nil, ErrUnreachable
	}
	c, err := p.dial(addrPort)
	if err != nil {
		return nil, ErrUnreachable
	}
	defer c.Close()
	data := appendBytes(appendHeader(make([]byte, 4), p.fleet, kindRequest), fieldRequest, body)
	if writeFrame(c, data) != nil {
		return nil, ErrNoAnswer
	}
	reply, err := readFrame(c)
	if err != nil {
		return nil, ErrNoAnswer
	}
	answer, ok := messageBody(reply, p.fleet, kindRequest, fieldRequest)
	if !ok || len(answer) > maxRequestBytes {
		return nil, ErrNoAnswer
	}
	return answer, nil
}
