// Package rig is a bed for tests of many processes: it starts fronts of the real program, stand-in stores and discovery,
// puts a relay of its own on each link between them, and can cut, delay, lose, throttle and reset what goes through, by
// pair, zone and direction; it kills, ends, stops and continues processes by their ids. Ledgers of the stores judge. All of
// it stays on loopback addresses, is bounded, and ends with the test.
package rig

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"micatrack/internal/random"
)

// Node is one end of a link.
type Node struct {
	Name, Zone string
	Front      bool
}

// Fault is what happens to what goes one way on a link. The zero value: nothing.
type Fault struct {
	Cut    bool          // nothing goes through, and connections stay as they are
	Refuse bool          // connections are refused, and those that stand are reset
	Delay  time.Duration // of each datagram or piece, from half of it to one and a half
	Loss   int           // of 1,000 datagrams
	Rate   int           // bytes a second; 0: as many as come
}

// rule is a fault for the links that it names.
type rule struct {
	on    func(from, to Node) bool
	fault Fault
}

// Links holds the faults of all links. The newest rule that names a link holds there.
type Links struct {
	mu     sync.Mutex
	rules  []*rule
	table  atomic.Pointer[[]*rule]
	chance random.Source
	ends   []func()
	ledger ledger
}

func newLinks(seed uint64) *Links {
	l := &Links{chance: random.New(seed)}
	l.table.Store(&[]*rule{})
	return l
}

// Between puts a fault on the links that on names, one way; heal ends it.
func (l *Links) Between(on func(from, to Node) bool, f Fault) (heal func()) {
	r := &rule{on, f}
	l.mu.Lock()
	l.rules = append(l.rules, r)
	l.publish()
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for k := range l.rules {
			if l.rules[k] == r {
				l.rules = append(l.rules[:k:k], l.rules[k+1:]...)
				l.publish()
				return
			}
		}
	}
}

func (l *Links) publish() {
	t := append([]*rule(nil), l.rules...)
	l.table.Store(&t)
}

func (l *Links) fault(from, to Node) Fault {
	rules := *l.table.Load()
	for k := len(rules) - 1; k >= 0; k-- {
		if rules[k].on(from, to) {
			return rules[k].fault
		}
	}
	return Fault{}
}

// draw gives a number below n.
func (l *Links) draw(n int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chance.Below(n)
}

func (l *Links) delay(f Fault) time.Duration {
	if f.Delay <= 0 {
		return 0
	}
	return f.Delay/2 + time.Duration(l.draw(int64(f.Delay)))
}

func (l *Links) atEnd(do func()) {
	l.mu.Lock()
	l.ends = append(l.ends, do)
	l.mu.Unlock()
}

// end closes every relay and all that goes through.
func (l *Links) end() {
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for _, e := range ends {
		e()
	}
}

// stream relays connections to an address; who tells from whom one comes.
func (l *Links) stream(listen net.Listener, target string, to Node, who func(from net.Addr) (Node, bool)) {
	var mu sync.Mutex
	open, closed := map[net.Conn]bool{}, false
	l.atEnd(func() {
		listen.Close()
		mu.Lock()
		defer mu.Unlock()
		closed = true
		for c := range open {
			c.Close()
		}
	})
	hold := func(c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		open[c] = !closed
		return !closed
	}
	drop := func(c net.Conn, hard bool) {
		if t, ok := c.(*net.TCPConn); ok && hard {
			t.SetLinger(0)
		}
		c.Close()
		mu.Lock()
		delete(open, c)
		mu.Unlock()
	}
	go func() {
		for {
			in, err := listen.Accept()
			if err != nil {
				return
			}
			from, ok := who(in.RemoteAddr())
			if !ok || !hold(in) {
				drop(in, true)
				continue
			}
			go func() {
				for l.fault(from, to).Cut || l.fault(to, from).Cut { // its first packet is on the way
					mu.Lock()
					over := closed
					mu.Unlock()
					if over {
						drop(in, true)
						return
					}
					time.Sleep(glance)
				}
				if l.fault(from, to).Refuse {
					drop(in, true)
					return
				}
				time.Sleep(l.delay(l.fault(from, to)))
				out, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil || !hold(out) {
					drop(in, true)
					return
				}
				go l.pump(in, out, from, to, drop)
				l.pump(out, in, to, from, drop)
			}()
		}
	}()
}

const glance = 2 * time.Millisecond

// pump carries what comes from one connection to the other.
func (l *Links) pump(in, out net.Conn, from, to Node, drop func(c net.Conn, hard bool)) {
	b := make([]byte, 16<<10)
	messages := 1 // not yet counted: the connection is one message each way
	for {
		in.SetReadDeadline(time.Now().Add(20 * glance))
		n, err := in.Read(b)
		if n > 0 {
			l.ledger.count(from, to, Flow{}, Flow{messages, n})
			messages = 0
		}
		f := l.fault(from, to)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !f.Refuse {
			continue
		}
		for f.Cut && !f.Refuse { // what is on the way stays there, the end of the connection too
			time.Sleep(glance)
			f = l.fault(from, to)
		}
		if f.Refuse {
			drop(in, true)
			drop(out, true)
			return
		}
		time.Sleep(l.delay(f))
		if f.Rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(f.Rate))
		}
		if n > 0 {
			if _, err := out.Write(b[:n]); err != nil {
				drop(in, true)
				return
			}
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			drop(out, false)
			drop(in, false)
			return
		}
	}
}

// Reborn ends a fault as a restart does: what was on the way is gone, and connections are reset.
func (l *Links) Reborn(heal func(), on func(from, to Node) bool) {
	back := l.Between(on, Fault{Refuse: true})
	heal()
	time.Sleep(40 * glance)
	back()
}

// datagrams relays what comes at a socket to an address; who tells from whom one comes.
func (l *Links) datagrams(at *net.UDPConn, target netip.AddrPort, to Node, who func(from netip.AddrPort) (Node, bool)) {
	l.atEnd(func() { at.Close() })
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, src, err := at.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			from, ok := who(src)
			if !ok {
				continue
			}
			l.ledger.count(from, to, Flow{1, n}, Flow{})
			f := l.fault(from, to)
			if f.Cut || f.Refuse || f.Loss > 0 && l.draw(1000) < int64(f.Loss) {
				continue
			}
			if d := l.delay(f); d > 0 {
				late := append([]byte(nil), b[:n]...)
				time.AfterFunc(d, func() { at.WriteToUDPAddrPort(late, target) })
				continue
			}
			at.WriteToUDPAddrPort(b[:n], target)
		}
	}()
}
