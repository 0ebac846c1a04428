package stage2

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

	"micatrack/internal/pgwire"
)

// Group is a primary and its replicas. Positions are Unix times in milliseconds.
type Group struct {
	mu      sync.Mutex
	primary string
	commits []Commit
}

// Commit is one committed write.
type Commit struct {
	At         time.Time
	Ref, Value string
}

// NewGroup returns a group with this primary.
func NewGroup(primary string) *Group { return &Group{primary: primary} }

// Commits returns the commits so far.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Promote makes another store the primary. The one before goes on as a replica from where it stands.
func (g *Group) Promote(store string) {
	g.mu.Lock()
	g.primary = store
	g.mu.Unlock()
}

// Told is an answer by which a store has told its role.
type Told struct {
	At   time.Time // when it was written
	Role string
	By   string // the id of the request that was answered, or "probe"
}

// Run is a statement that a store has run.
type Run struct {
	Begun    time.Time // when its last byte had come
	ID       string
	Ref      string
	Write    bool
	Primary  bool      // whether the store was the primary then
	Position time.Time // of a read: the data that it was answered from
}

// Store is a store that speaks PostgreSQL's protocol.
type Store struct {
	Name  string
	stage *Stage
	group *Group
	l     net.Listener

	// Connecting is called for each connection that comes up, with its number from 1 on, before its startup is answered.
	Connecting func(n int)
	// Work is called for each statement that is no probe, before it is answered; false: it is never answered.
	Work func(id string) bool
	// Way is how long the way to the store takes in each direction.
	Way time.Duration
	// Echo has reads answered with a value that names the request.
	Echo bool
	// Twice tells whether an answer is followed by a second copy; it is asked where nothing else waits on the connection.
	Twice func(id string) bool
	// Sending is called for each answer to a statement, between its making and its sending.
	Sending func(id string)
	// Probe is called for each probe; false: it is never answered.
	Probe func() bool
	// Lag returns how far the store is behind as a replica.
	Lag func() time.Duration

	mu    sync.Mutex
	conns int
	told  []Told
	runs  []Run
}

// NewStore starts a store.
func (s *Stage) NewStore(name string, g *Group) *Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail(err.Error())
	}
	store := &Store{Name: name, stage: s, group: g, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go store.serve(c)
		}
	}()
	return store
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.l.Addr().String() }

// Told returns the answers so far by which the store has told its role.
func (s *Store) Told() []Told {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Told(nil), s.told...)
}

// Runs returns the statements that the store has run so far.
func (s *Store) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Store) isPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.primary == s.Name
}

func (s *Store) role() string {
	if s.isPrimary() {
		return "primary"
	}
	return "replica"
}

// position returns the time up to which the store has applied all commits.
func (s *Store) position() time.Time {
	now := time.Now()
	if !s.isPrimary() && s.Lag != nil {
		return now.Add(-s.Lag())
	}
	return now
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, fmt.Errorf("length %d", n)
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

func (s *Store) serve(conn net.Conn) {
	c := newDelayed(conn, s.Way)
	defer c.Close()
	r := bufio.NewReader(c)
	head := make([]byte, 4)
	if _, err := io.ReadFull(r, head); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head))-4); err != nil {
		return
	}
	s.mu.Lock()
	s.conns++
	n := s.conns
	s.mu.Unlock()
	s.stage.Note("store %s: connection %d", s.Name, n)
	if s.Connecting != nil {
		s.Connecting(n)
	}
	if _, err := c.Write(pgwire.AppendReady([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00"))); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' || len(body) < 1 {
			return
		}
		out, id := s.answer(string(body[:len(body)-1]), n)
		if out == nil {
			io.Copy(io.Discard, r) // it hangs until its peer gives up
			return
		}
		role := s.role()
		out = pgwire.AppendParameter(out, "role", role)
		s.mu.Lock()
		s.told = append(s.told, Told{time.Now(), role, id})
		s.mu.Unlock()
		out = pgwire.AppendReady(out)
		if s.Sending != nil && id != "probe" {
			s.Sending(id)
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		if s.Twice != nil && id != "probe" && r.Buffered() == 0 && !c.waits() && s.Twice(id) {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}
}

// Row returns the messages of an answer with one value.
func Row(value string) []byte {
	out := []byte("T\x00\x00\x00\x20\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x01D")
	out = binary.BigEndian.AppendUint32(out, uint32(10+len(value)))
	out = binary.BigEndian.AppendUint32(append(out, 0, 1), uint32(len(value)))
	return append(append(out, value...), "C\x00\x00\x00\x0dSELECT 1\x00"...)
}

// millis returns a position in whole milliseconds, rounded down.
func millis(t time.Time) int64 { return t.UnixMilli() }

func (s *Store) answer(text string, conn int) (out []byte, id string) {
	begun := time.Now()
	if text == "SHOW load" || text == "SELECT 1" {
		if s.Probe != nil && !s.Probe() {
			return nil, "probe"
		}
		p, x1 := millis(s.position()), 0
		if s.isPrimary() {
			x1 = 1
		}
		return Row(fmt.Sprintf("x0=%d.%03d,x1=%d", p/1000, p%1000, x1)), "probe"
	}
	if strings.Trim(text, " ;") == "" {
		return []byte{'I', 0, 0, 0, 4}, ""
	}
	q, err := pgwire.ParseQuery([]byte(text))
	if err != nil {
		return pgwire.AppendError(nil, "ERROR", pgwire.ProtocolViolation, err.Error(), ""), ""
	}
	run := Run{Begun: begun, ID: string(q.ID), Ref: string(q.Session), Write: strings.Contains(text, "INSERT"), Primary: s.isPrimary(),
		Position: s.position()}
	s.stage.Note("store %s, connection %d: has %s, is %s", s.Name, conn, text, s.role())
	if s.Work != nil && !s.Work(run.ID) {
		s.stage.Note("store %s: does not answer %s", s.Name, run.ID)
		return nil, run.ID
	}
	if run.Write {
		s.group.mu.Lock()
		defer s.group.mu.Unlock()
		if s.group.primary != s.Name {
			return pgwire.AppendError(nil, "ERROR", pgwire.ReadOnlyTransaction, "no primary", ""), run.ID
		}
		at := time.Now()
		s.group.commits = append(s.group.commits, Commit{at, run.Ref, run.ID})
		s.mu.Lock()
		s.runs = append(s.runs, run)
		s.mu.Unlock()
		return pgwire.AppendParameter(Row(run.ID), "applied_ms", strconv.FormatInt(millis(at)+1, 10)), run.ID
	}
	value := ""
	for _, c := range s.group.Commits() {
		if c.Ref == run.Ref && !c.At.After(run.Position) {
			value = c.Value
		}
	}
	if s.Echo {
		value = "value of " + run.ID
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.stage.Note("store %s: answers %s with %q", s.Name, run.ID, value)
	return pgwire.AppendParameter(Row(value), "applied_ms", strconv.FormatInt(millis(run.Position), 10)), run.ID
}

// JudgeStale decides about a read that was answered without the newest write, which was committed before the read was sent. It breaks
// the rule unless the front had not been told yet that the store is a primary no more; what an answer tells counts 100 ms later.
func (s *Stage) JudgeStale(stores []*Store, id, newest string, committed time.Time) {
	for _, store := range stores {
		for _, run := range store.Runs() {
			if run.ID != id || run.Position.After(committed) {
				continue
			}
			for _, t := range store.Told() {
				if t.Role == "replica" && run.Begun.Sub(t.At) > 100*time.Millisecond {
					s.Break("%s was sent to %s %.0f ms after the answer to %s had told that this is a replica; it was answered from data %.0f ms old, without %s",
						id, store.Name, float64(run.Begun.Sub(t.At))/1e6, t.By, float64(run.Begun.Sub(run.Position))/1e6, newest)
					return
				}
			}
			s.Note("%s was stale, but the front had not been told in time: excused", id)
		}
	}
}

// Client is a client's connection.
type Client struct {
	net.Conn
	r *bufio.Reader
}

// Answer is what a client was told.
type Answer struct {
	Value string
	Code  string // SQLSTATE; empty: it was served
	Err   error  // the connection ended without an answer
	At    time.Time
}

// Refused reports whether the answer is a refusal.
func (a Answer) Refused() bool { return a.Code == "53300" || a.Code == "57P03" }

// String describes the answer.
func (a Answer) String() string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.Code != "":
		return "error " + a.Code
	}
	return fmt.Sprintf("served %q", a.Value)
}

// Dial opens a connection and asks an empty query on it.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn, bufio.NewReader(conn)}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(pgwire.AppendStartup(nil, "web", "orders")); err != nil {
		c.Close()
		return nil, err
	}
	if a := c.answer(); a.Err != nil {
		c.Close()
		return nil, a.Err
	}
	if a := c.Ask(""); a.Err != nil {
		c.Close()
		return nil, a.Err
	}
	c.SetDeadline(time.Time{})
	return c, nil
}

// Ask sends a query and returns its answer.
func (c *Client) Ask(text string) Answer {
	if _, err := c.Write(pgwire.AppendSimpleQuery(nil, text)); err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	return c.answer()
}

// answer reads up to ReadyForQuery.
func (c *Client) answer() (a Answer) {
	for {
		kind, body, err := readMessage(c.r)
		a.At = time.Now()
		switch {
		case err != nil:
			a.Err = err
			return a
		case kind == 'E':
			a.Code = pgwire.SQLState(body)
		case kind == 'D':
			v, _ := pgwire.ColumnValue(body)
			a.Value = string(v)
		case kind == 'Z':
			return a
		}
	}
}

// Read returns the text of a read.
func Read(id, class, ref string, limitMS, cluster int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT payload FROM entries WHERE ref = '%s'", id, class, limitMS, cluster, ref)
}

// Write returns the text of a write.
func Write(id, class, ref string, limitMS, cluster int) string {
	return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', '\x9f03') RETURNING payload`,
		id, class, limitMS, cluster, ref)
}
