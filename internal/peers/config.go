package peers

import (
	"errors"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/config"
)

// Messages of the configuration (fleet/config). Fronts and control machines share a port, so each message
// tells for which part of a machine it is, and from which part of which machine.

const (
	kindConfig  = 10
	kindRequest = 11

	fieldConfig  = 13
	fieldRequest = 14

	maxRequestBytes = 1 << 20 // bytes of a request to a control machine, and of its answer
)

// ConfigMessage is one message of the configuration.
type ConfigMessage struct {
	ToControl   bool   // for the control machine's part of its receiver
	FromControl bool   // from the control machine's part of its sender
	Addr        string // at which its sender is reached
	Body        []byte // as fleet/config writes it
}

// Errors of Request.
var (
	ErrUnreachable = errors.New("it cannot be reached")
	ErrNoAnswer    = errors.New("it did not answer")
)

func boolToUint(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// AppendConfig writes a message of the configuration, whole.
func AppendConfig(dst []byte, fleet string, m *ConfigMessage) []byte {
	dst = appendHeader(dst, fleet, kindConfig)
	return appendEmbedded(dst, fieldConfig, func(dst []byte) []byte {
		dst = appendUint(appendUint(dst, 1, boolToUint(m.ToControl)), 2, boolToUint(m.FromControl))
		return appendBytes(appendBytes(dst, 3, []byte(m.Addr)), 4, m.Body)
	})
}

// ReadConfig takes a message of the configuration apart; its body stands in b.
// Danger: what is sent on a peer's word must not go to addresses elsewhere.
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

// appendHeader writes the fields that every message begins with.
func appendHeader(dst []byte, fleet string, kind uint64) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendUint(dst, 3, kind)
}

// OnConfig has messages of the configuration handed on from now on: those for the front to the loop, by Take;
// those for a control machine to several goroutines, which must not block and keep nothing. nil: they are
// dropped.
func (p *Transport) OnConfig(front, control func(m ConfigMessage)) {
	p.onConfig = front
	if control != nil {
		p.onControl.Store(&control)
	}
	p.configEnabled.Store(true)
}

// OnRequest has requests to this control machine handed to answer, by several goroutines. It has
// answerWithin.
func (p *Transport) OnRequest(handle func(body []byte) []byte) { p.onRequest.Store(&handle) }

// AnswerWithin is for how long a request may be worked on.
const HandlerTimeout = ioTimeout - 500*time.Millisecond

// SendConfig sends a message of the configuration: a datagram, or a connection where the names of its frame make
// it longer.
func (p *Transport) SendConfig(addr string, m *ConfigMessage) {
	b := AppendConfig(p.getBuffer(), p.fleet, m)
	if len(b) <= maxDatagram {
		p.enqueue(addr, b)
		return
	}
	p.putBuffer(b)
	p.sendStream(addr, AppendConfig(make([]byte, 4), p.fleet, m))
}

// handleControl hands on what is for this control machine, and tells whether a message was.
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

// handleFront hands on what is for this front, and tells whether a message was.
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

// handleRequest works on a request, and gives the frame of the answer; not ok: it is none.
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

// Request asks a control machine and waits for its answer; it is not the loop's to call. ErrUnreachable:
// nothing was sent.
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
