package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"micatrack/internal/pgwire"
)

// Postgres is a store that speaks PostgreSQL's protocol, simple queries only. INSERT is a write, any other statement a
// read; the value returned is the ID of the request.
type Postgres struct {
	Name     string
	group    *Group
	listener net.Listener

	probes atomic.Int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	behavior func(requestID string) Behavior
	delay    time.Duration
	slots    chan struct{} // Slots for running requests; nil for no limit.
	closed   bool
}

// NewPostgres starts a store of a group on a loopback address.
func NewPostgres(name string, g *Group) (*Postgres, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Postgres{Name: name, group: g, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			if p.closed {
				c.Close()
			} else {
				p.conns[c] = true
			}
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p, nil
}

// Addr returns the address that the store listens on.
func (p *Postgres) Addr() string { return p.listener.Addr().String() }

// Probes returns how often the store was asked for its position.
func (p *Postgres) Probes() int64 { return p.probes.Load() }

// SetBehavior sets the function that decides what happens to each request; with nil all are answered. Any connection's
// goroutine may call the function.
func (p *Postgres) SetBehavior(f func(requestID string) Behavior) {
	p.mu.Lock()
	p.behavior = f
	p.mu.Unlock()
}

// SetDelay sets how long each request takes.
func (p *Postgres) SetDelay(d time.Duration) { p.mu.Lock(); p.delay = d; p.mu.Unlock() }

// SetConcurrency sets how many requests run at a time; the others wait.
func (p *Postgres) SetConcurrency(n int) {
	p.mu.Lock()
	p.slots = make(chan struct{}, n)
	p.mu.Unlock()
}

// CloseConnections resets all open connections.
func (p *Postgres) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close stops the store: it resets all connections and refuses new ones.
func (p *Postgres) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseConnections()
}

func (p *Postgres) serve(c net.Conn) {
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	start := make([]byte, 4)
	if _, err := io.ReadFull(c, start); err != nil {
		return
	}
	if n := binary.BigEndian.Uint32(start); n < 8 || n > pgwire.MaxStartupSize {
		return
	} else if _, err := io.CopyN(io.Discard, c, int64(n)-4); err != nil {
		return
	}
	if _, err := c.Write(StartupResponse()); err != nil {
		return
	}
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		n := int(binary.BigEndian.Uint32(head[1:])) - 4
		if head[0] != 'Q' || n < 1 || n > pgwire.MaxQuerySize {
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		if !p.answer(c, body[:n-1]) {
			return
		}
	}
}

func (p *Postgres) answer(c net.Conn, text []byte) bool {
	if len(text) == 0 {
		_, err := c.Write(EmptyResponse())
		return err == nil
	}
	if string(text) == ProbeQuery {
		p.probes.Add(1)
		_, err := c.Write(p.group.Execute(p.Name, text))
		return err == nil
	}
	p.mu.Lock()
	before, takes, cores := p.behavior, p.delay, p.slots
	p.mu.Unlock()
	act := Respond
	if s, err := pgwire.ParseQuery(text); err == nil && before != nil {
		act = before(string(s.ID))
	}
	switch act {
	case Hang:
		time.Sleep(10 * time.Second)
		return false
	case Reject:
		_, err := c.Write(FullResponse())
		return err == nil
	case Disconnect:
		return false
	}
	if cores != nil {
		cores <- struct{}{}
		defer func() { <-cores }()
	}
	time.Sleep(takes)
	answer := p.group.Execute(p.Name, text)
	switch act {
	case RunThenDisconnect:
		return false
	case Corrupt:
		answer = []byte("D\x7f\xff\xff\xff\x00\x01noise")
	}
	_, err := c.Write(answer)
	return err == nil
}

// ProbeQuery is the statement that asks a store for its position and role.
const ProbeQuery = "SHOW load"

// StartupResponse returns what a store sends on a new connection.
func StartupResponse() []byte { return pgwire.AppendReady([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00")) }

// EmptyResponse returns what a store sends in answer to an empty query, which it answers at once and does nothing for.
func EmptyResponse() []byte { return pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(nil)) }

// FullResponse returns what a store sends when it rejects a request without executing it because it is overloaded.
func FullResponse() []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.TooManyConnections, "full", ""))
}

// Execute executes a statement at one of the group's stores and returns the store's whole response.
func (g *Group) Execute(store string, text []byte) []byte {
	position := g.Position(store)
	if string(text) == ProbeQuery {
		role := "0"
		if name, _ := g.Primary(); name == store {
			role = "1"
		}
		return pgwire.AppendReady(row("x0=" + strconv.FormatFloat(float64(position)/10_000, 'f', 4, 64) + ",x1=" + role))
	}
	s, err := pgwire.ParseQuery(text)
	if err != nil {
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.ProtocolViolation, err.Error(), ""))
	}
	ok := false
	if isWrite(text) {
		if position, ok = g.Write(store, string(s.ID), string(s.Key)); !ok {
			return pgwire.AppendReady(g.appendReport(store, position, pgwire.AppendError(nil, "ERROR", pgwire.ReadOnlyTransaction, "no primary", "")))
		}
		position += 9 // The position of a commit is reported rounded up to whole milliseconds.
	} else if position, ok = g.Read(store, string(s.ID), s.ReadAfter); !ok {
		return pgwire.AppendReady(g.appendReport(store, position, pgwire.AppendError(nil, "ERROR", pgwire.SnapshotTooOld, "too far behind", "")))
	}
	return pgwire.AppendReady(g.appendReport(store, position, row(string(s.ID))))
}

// isWrite reports whether a statement contains INSERT.
func isWrite(text []byte) bool {
	for i := 0; i+6 <= len(text); i++ {
		if string(text[i:i+6]) == "INSERT" {
			return true
		}
	}
	return false
}

// appendReport appends what a store reports about itself: its role, and a position.
func (g *Group) appendReport(store string, position int64, dst []byte) []byte {
	role := "replica"
	if name, _ := g.Primary(); name == store {
		role = "primary"
	}
	return pgwire.AppendParameter(pgwire.AppendParameter(dst, "role", role), "applied_ms", fmt.Sprint(position/10))
}

func row(value string) []byte {
	out := []byte("T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00D")
	out = binary.BigEndian.AppendUint32(out, uint32(10+len(value)))
	out = binary.BigEndian.AppendUint32(append(out, 0, 1), uint32(len(value)))
	return append(append(out, value...), "C\x00\x00\x00\x0dSELECT 1\x00"...)
}
