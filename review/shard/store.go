package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one statement that a store ran.
type run struct {
	at    time.Time
	store string
	id    string
	ref   string
	write bool
}

// ledger is what all stores got and ran.
type ledger struct {
	record *recorder
	mu     sync.Mutex
	got    map[string]int  // statements by request id
	runs   []run           // in the order of their beginnings
	sent   map[string]bool // statements that clients have sent, without their time
	wrong  []string        // statements that no client has sent, or that belong to another group
}

// withoutTime cuts the remaining time out of a statement, which a front changes.
func withoutTime(text string) string {
	before, rest, ok := strings.Cut(text, ",d=")
	if !ok {
		return text
	}
	_, after, _ := strings.Cut(rest, ",")
	return before + "," + after
}

func (l *ledger) clientSends(text string) {
	l.mu.Lock()
	l.sent[withoutTime(text)] = true
	l.mu.Unlock()
}

// arrived reports whether any store has got the request.
func (l *ledger) arrived(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.got[id] > 0
}

// store is one member of a group.
type store struct {
	name    string
	group   int
	primary bool
	ledger  *ledger
	takes   func(class string) time.Duration // how long a statement runs
	addr    string
	mu      sync.Mutex
	inHand  int
}

func newStore(s *store) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// position is how far the store has applied the log: a replica is 10 ms behind.
func (s *store) position() time.Time {
	if s.primary {
		return time.Now()
	}
	return time.Now().Add(-10 * time.Millisecond)
}

func (s *store) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	size := make([]byte, 4)
	if _, err := io.ReadFull(r, size); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size))-4); err != nil {
		return
	}
	c.Write(appendReady(appendMessage(nil, 'R', make([]byte, 4))))
	for {
		m, err := readMessage(r)
		if err != nil || m.kind != 'Q' {
			return
		}
		if _, err := c.Write(s.answer(strings.TrimRight(string(m.body), "\x00"))); err != nil {
			return
		}
	}
}

func (s *store) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

// answer runs a statement and returns the answer to it.
func (s *store) answer(text string) []byte {
	if text == "SHOW load" {
		x1 := 0
		if s.primary {
			x1 = 1
		}
		s.mu.Lock()
		inHand := s.inHand
		s.mu.Unlock()
		return appendReady(appendRow(nil, fmt.Sprintf("x0=%.4f,x1=%d,inflight=%d", float64(s.position().UnixNano()/1000)/1e6, x1, inHand), "SHOW"))
	}
	t, ref := terms(text)
	write := strings.Contains(text, "INSERT")
	runs := !write || s.primary
	s.ledger.mu.Lock()
	s.ledger.got[t["id"]]++
	if !s.ledger.sent[withoutTime(text)] {
		s.ledger.wrong = append(s.ledger.wrong, fmt.Sprintf("store %s got a statement that no client sent: %s", s.name, text))
	}
	if t["cluster"] != strconv.Itoa(s.group) {
		s.ledger.wrong = append(s.ledger.wrong, fmt.Sprintf("store %s of cluster %d got id %s of cluster %s", s.name, s.group, t["id"], t["cluster"]))
	}
	if runs {
		s.ledger.runs = append(s.ledger.runs, run{time.Now(), s.name, t["id"], ref, write})
	}
	s.ledger.mu.Unlock()
	role := appendParameter(nil, "role", s.role())
	if !runs {
		s.ledger.record.line("%s (%s) turns away id=%s c=%s", s.name, s.role(), t["id"], t["c"])
		return appendReady(append(role, appendError(nil, "25006", "not the primary")...))
	}
	s.ledger.record.line("%s (%s) runs id=%s c=%s cluster=%s ref=%s d=%s", s.name, s.role(), t["id"], t["c"], t["cluster"], ref, t["d"])
	s.mu.Lock()
	s.inHand++
	s.mu.Unlock()
	time.Sleep(s.takes(t["c"]))
	s.mu.Lock()
	s.inHand--
	s.mu.Unlock()
	if write {
		role = appendParameter(role, "applied_ms", strconv.FormatInt((time.Now().UnixNano()+999_999)/1_000_000, 10))
	}
	s.ledger.record.line("%s answers id=%s", s.name, t["id"])
	return appendReady(append(role, appendRow(nil, fmt.Sprintf("cluster %d ref %s", s.group, ref), "SELECT 1")...))
}
