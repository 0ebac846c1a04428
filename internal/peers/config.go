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

	maxRequest = 1 << 20 // bytes of a request to a control machine, and of its answer
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

func number(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// AppendConfig writes a message of the configuration, whole.
func AppendConfig(dst []byte, fleet string, m *ConfigMessage) []byte {
	dst = appendHead(dst, fleet, kindConfig)
	return appendInside(dst, fieldConfig, func(dst []byte) []byte {
		dst = appendNumber(appendNumber(dst, 1, number(m.ToControl)), 2, number(m.FromControl))
		return appendText(appendText(dst, 3, []byte(m.Addr)), 4, m.Body)
	})
}

// ReadConfig takes a message of the configuration apart; its body stands in b.
// Danger: what is sent on a peer's word must not go to addresses elsewhere.
func ReadConfig(b []byte, fleet string) (m ConfigMessage, err error) {
	body, ok := framed(b, fleet, kindConfig, fieldConfig)
	if !ok {
		return m, errShape
	}
	err = fields(body, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			m.ToControl = number != 0
		case 2:
			m.FromControl = number != 0
		case 3:
			m.Addr = string(text[:min(len(text), mostText+1)])
		case 4:
			m.Body = text
		}
		return nil
	})
	if err != nil {
		return m, err
	}
	at, err := netip.ParseAddrPort(m.Addr)
	if err != nil || !near(at.Addr()) || len(m.Addr) > mostText {
		return m, errShape
	}
	if len(m.Body) == 0 || len(m.Body) > config.MaxMessage {
		return m, errShape
	}
	return m, nil
}

// appendHead writes the fields that every message begins with.
func appendHead(dst []byte, fleet string, kind uint64) []byte {
	dst = appendNumber(dst, 1, version)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendNumber(dst, 3, kind)
}

// OnConfig has messages of the configuration handed on from now on: those for the front to the loop, by Take;
// those for a control machine to several goroutines, which must not block and keep nothing. nil: they are
// dropped.
func (p *Transport) OnConfig(front, control func(m ConfigMessage)) {
	p.onConfig = front
	if control != nil {
		p.control.Store(&control)
	}
	p.configured.Store(true)
}

// OnRequest has requests to this control machine handed to answer, by several goroutines. It has
// answerWithin.
func (p *Transport) OnRequest(answer func(body []byte) []byte) { p.requested.Store(&answer) }

// AnswerWithin is for how long a request may be worked on.
const HandlerTimeout = patience - 500*time.Millisecond

// SendConfig sends a message of the configuration: a datagram, or a connection where the names of its frame make
// it longer.
func (p *Transport) SendConfig(addr string, m *ConfigMessage) {
	b := AppendConfig(p.buffer(), p.fleet, m)
	if len(b) <= datagram {
		p.raw(addr, b)
		return
	}
	p.free(b)
	p.stream(addr, AppendConfig(make([]byte, 4), p.fleet, m))
}

// toControl hands on what is for this control machine, and tells whether a message was.
func (p *Transport) toControl(b []byte) bool {
	if !p.configured.Load() {
		return false
	}
	m, err := ReadConfig(b, p.fleet)
	if err != nil || !m.ToControl {
		return false
	}
	if take := p.control.Load(); take != nil {
		p.taken.Add(1)
		(*take)(m)
	}
	return true
}

// toFront hands on what is for this front, and tells whether a message was.
func (p *Transport) toFront(b []byte) bool {
	if p.onConfig == nil {
		return false
	}
	m, err := ReadConfig(b, p.fleet)
	if err != nil || m.ToControl {
		return false
	}
	p.taken.Add(1)
	p.onConfig(m)
	return true
}

// handleRequest works on a request, and gives the frame of the answer; not ok: it is none.
func (p *Transport) handleRequest(text []byte) (back []byte, ok bool) {
	work := p.requested.Load()
	if work == nil {
		return nil, false
	}
	body, ok := framed(text, p.fleet, kindRequest, fieldRequest)
	if !ok {
		return nil, false
	}
	if len(body) > maxRequest {
		p.long.Add(1)
		return nil, true
	}
	p.taken.Add(1)
	return appendText(appendHead(make([]byte, 4), p.fleet, kindRequest), fieldRequest, (*work)(body)), true
}

// Request asks a control machine and waits for its answer; it is not the loop's to call. ErrUnreachable:
// nothing was sent.
func (p *Transport) Request(addr string, body []byte) ([]byte, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil || !near(to.Addr()) {
		p.where.Add(1)
		return nil, ErrUnreachable
	}
	c, err := p.dial(to)
	if err != nil {
		return nil, ErrUnreachable
	}
	defer c.Close()
	text := appendText(appendHead(make([]byte, 4), p.fleet, kindRequest), fieldRequest, body)
	if send(c, text) != nil {
		return nil, ErrNoAnswer
	}
	back, err := frame(c)
	if err != nil {
		return nil, ErrNoAnswer
	}
	answer, ok := framed(back, p.fleet, kindRequest, fieldRequest)
	if !ok || len(answer) > maxRequest {
		return nil, ErrNoAnswer
	}
	return answer, nil
}
