package standin

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"micatrack/internal/bolt"
)

// Bolt is a store that speaks Bolt. A statement that begins with CREATE, MERGE, SET or DELETE is a write, any other a
// read. "RETURN range(1, N)" returns N records; any other statement returns one, the ID of its request.
type Bolt struct {
	Name     string
	group    *Group
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	behavior func(requestID string, w bolt.MessageType) Behavior // Decides what happens to a message; nil: all are answered.
	delay    time.Duration                                       // Duration of a statement.
	full     bool                                                // Rejects every RUN and BEGIN without executing it.
	closed   bool
}

// Behavior is what a store does with a message instead of answering it correctly.
type Behavior uint8

// The behaviors.
const (
	Respond           Behavior = iota // Answers correctly.
	Hang                              // Sends nothing more on this connection.
	Reject                            // Rejects the message without executing it.
	Disconnect                        // Closes the connection without executing the message.
	RunThenDisconnect                 // Executes the message, then closes the connection.
	Corrupt                           // Executes the message and sends a malformed response.
)

// NewBolt starts a store of a group on a loopback address.
func NewBolt(name string, g *Group) (*Bolt, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Bolt{Name: name, group: g, listener: l, conns: map[net.Conn]bool{}}
	go b.accept()
	return b, nil
}

// Addr returns the address that the store listens on.
func (b *Bolt) Addr() string { return b.listener.Addr().String() }

// SetBehavior sets the function that decides what happens to each message; with nil all are answered.
func (b *Bolt) SetBehavior(f func(requestID string, w bolt.MessageType) Behavior) {
	b.mu.Lock()
	b.behavior = f
	b.mu.Unlock()
}

// SetDelay sets how long each statement takes.
func (b *Bolt) SetDelay(d time.Duration) { b.mu.Lock(); b.delay = d; b.mu.Unlock() }

// SetFull sets whether the store rejects every RUN and BEGIN without executing it.
func (b *Bolt) SetFull(full bool) { b.mu.Lock(); b.full = full; b.mu.Unlock() }

// Close stops the store: it closes all connections and refuses new ones.
func (b *Bolt) Close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for c := range b.conns {
		c.Close()
	}
}

func (b *Bolt) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			c.Close()
		} else {
			b.conns[c] = true
		}
		b.mu.Unlock()
		go (&boltConn{store: b, conn: c, reader: bolt.Reader{MaxSize: 1 << 20}}).serve()
	}
}

// boltConn is one connection to a store.
type boltConn struct {
	store          *Bolt
	conn           net.Conn
	in             []byte
	reader         bolt.Reader
	version        bolt.Version
	state          bolt.State
	requestID      string // Of the open result or transaction.
	idempotencyKey string
	position       int64
	writes         bool // The transaction contains a write.
	records        int  // Records that are left to be pulled.
	openResults    int
	out            []byte
}

// readUntil reads until take has consumed bytes. It returns false if the connection has ended.
func (s *boltConn) readUntil(take func() (size int, err error)) bool {
	buf := make([]byte, 16<<10)
	for {
		n, err := take()
		if err != nil {
			return false
		}
		if n > 0 {
			s.in = s.in[:copy(s.in, s.in[n:])]
			return true
		}
		got, err := s.conn.Read(buf)
		if err != nil {
			return false
		}
		s.in = append(s.in, buf[:got]...)
	}
}

func (s *boltConn) serve() {
	defer func() {
		s.conn.Close()
		s.store.mu.Lock()
		delete(s.store.conns, s.conn)
		s.store.mu.Unlock()
	}()
	if !s.readUntil(func() (n int, err error) { s.version, n, err = bolt.Handshake(s.in); return n, err }) {
		return
	}
	if s.version == bolt.Manifest {
		s.conn.Write(bolt.AppendManifest(nil))
		if !s.readUntil(func() (n int, err error) { s.version, n, err = bolt.ReadChosenVersion(s.in); return n, err }) {
			return
		}
	} else if s.conn.Write(bolt.AppendVersion(nil, s.version)); s.version == 0 {
		return
	}
	s.state = bolt.InitialState(s.version)
	for {
		going := true
		if !s.readUntil(func() (int, error) {
			body, n, err := s.reader.Next(s.in)
			if n > 0 && len(body) > 0 {
				going = s.handle(body)
			}
			return n, err
		}) || !going {
			return
		}
		if _, err := s.conn.Write(s.out); err != nil {
			return
		}
		s.out = s.out[:0]
	}
}

func (s *boltConn) fail(w bolt.MessageType, code, text string) bool {
	s.out = bolt.AppendFailure(s.out, s.version, code, text)
	s.state = s.state.After(w, false, false, 0)
	return s.state != bolt.Defunct
}

// handle executes one message and appends the response. It returns false if the connection ends.
func (s *boltConn) handle(body []byte) bool {
	r, err := bolt.ReadRequest(body)
	if err != nil {
		s.out = bolt.AppendFailure(s.out, s.version, bolt.InvalidFormat, err.Error())
		s.conn.Write(s.out)
		return false
	}
	carried, ignored := s.state.Accepts(s.version, r.Type)
	if ignored {
		s.out = bolt.AppendEmpty(s.out, bolt.Ignored)
		return true
	}
	if !carried {
		s.out = bolt.AppendFailure(s.out, s.version, bolt.Invalid, "unexpected "+r.Type.String())
		s.conn.Write(s.out)
		return false
	}
	if (r.Type == bolt.Run || r.Type == bolt.BeginTx) && s.state == bolt.Ready {
		if r.Type == bolt.Run && string(r.Query) == "CALL micatrack.report()" { // A probe.
			s.records, s.requestID, s.writes = 1, s.report(), false
			s.state = s.state.After(r.Type, true, false, 1)
			s.out = bolt.AppendSuccess(s.out, 1, fields)
			return true
		}
		t, err := r.Extra.ParseRequest()
		if err == bolt.ErrInvalidBookmark {
			return s.fail(r.Type, bolt.InvalidBookmark, err.Error())
		}
		if err != nil {
			return s.fail(r.Type, bolt.Invalid, err.Error())
		}
		s.requestID, s.idempotencyKey, s.position, s.writes, s.records, s.openResults = string(t.ID), string(t.Key), t.ReadAfter, false, 0, 0
	}
	act := Respond
	s.store.mu.Lock()
	before, takes, full := s.store.behavior, s.store.delay, s.store.full
	s.store.mu.Unlock()
	if before != nil {
		act = before(s.requestID, r.Type)
	}
	switch {
	case act == Hang:
		time.Sleep(time.Minute)
		return false
	case act == Disconnect:
		return false
	case act == Reject, full && (r.Type == bolt.Run || r.Type == bolt.BeginTx):
		return s.fail(r.Type, bolt.Unavailable, "the store is full")
	}
	if r.Type == bolt.Run {
		time.Sleep(takes)
	}
	going := s.execute(r)
	switch act {
	case RunThenDisconnect:
		return false
	case Corrupt:
		s.out = append(s.out[:0], "\x00\x03\xff\xff\xff\x00\x00"...)
	}
	return going
}

func fields(dst []byte) []byte {
	return bolt.AppendString(bolt.AppendList(bolt.AppendString(dst, "fields"), 1), "value")
}

func (s *boltConn) report() string {
	p := s.store.group.Position(s.store.Name)
	primary, _ := s.store.group.Primary()
	role := "0"
	if primary == s.store.Name {
		role = "1"
	}
	return "x0=" + strconv.FormatFloat(float64(p)/10_000, 'f', 4, 64) + ",x1=" + role
}

func writes(query string) bool {
	for _, w := range []string{"CREATE", "MERGE", "SET", "DELETE"} {
		if strings.HasPrefix(query, w) {
			return true
		}
	}
	return false
}

// execute executes a valid request and appends the response. It returns false if the connection ends.
func (s *boltConn) execute(r bolt.Request) bool {
	was := s.state
	switch r.Type {
	case bolt.Hello:
		s.out = bolt.AppendSuccess(s.out, 2, func(b []byte) []byte {
			return bolt.AppendPair(bolt.AppendPair(b, "server", "Neo4j/5.0.0"), "connection_id", "bolt-1")
		})
	case bolt.Goodbye:
		return false
	case bolt.Run:
		if writes(string(r.Query)) {
			if primary, _ := s.store.group.Primary(); primary != s.store.Name {
				return s.fail(r.Type, bolt.NotALeader, "this is no primary")
			}
			s.writes = true
		}
		s.records = 1
		if n, ok := strings.CutPrefix(string(r.Query), "RETURN range(1, "); ok {
			s.records, _ = strconv.Atoi(strings.TrimSuffix(n, ")"))
		}
		if was == bolt.Ready && !s.writes || was != bolt.Ready && !writes(string(r.Query)) {
			if _, ok := s.store.group.Read(s.store.Name, s.requestID, s.position); !ok {
				return s.fail(r.Type, bolt.BookmarkTimeout, "this store has not come so far")
			}
		}
		if was == bolt.Ready && s.writes {
			position, ok := s.store.group.Write(s.store.Name, s.requestID, s.idempotencyKey)
			if !ok {
				return s.fail(r.Type, bolt.NotALeader, "this is no primary")
			}
			s.position = position
		}
		s.openResults++
		s.out = bolt.AppendSuccess(s.out, 1, fields)
	case bolt.Pull, bolt.Discard:
		n := s.records
		if r.Limit > 0 {
			n = min(n, int(r.Limit))
		}
		for i := range n {
			if r.Type == bolt.Pull {
				var at int
				s.out, at = bolt.BeginMessage(s.out)
				s.out = bolt.AppendList(bolt.AppendStruct(s.out, byte(bolt.Record), 1), 1)
				s.out = bolt.EndMessage(bolt.AppendString(s.out, s.requestID), at)
			}
			if i%1024 == 1023 { // Sends a large result while it is being produced.
				if _, err := s.conn.Write(s.out); err != nil {
					return false
				}
				s.out = s.out[:0]
			}
		}
		if s.records -= n; s.records > 0 {
			s.out = bolt.AppendSuccess(s.out, 1, func(b []byte) []byte { return bolt.AppendBool(bolt.AppendString(b, "has_more"), true) })
			s.state = s.state.After(r.Type, true, true, s.openResults)
			return true
		}
		s.openResults--
		s.out = s.summary(s.out, was == bolt.Streaming)
	case bolt.Commit:
		if s.writes {
			position, ok := s.store.group.Write(s.store.Name, s.requestID, s.idempotencyKey)
			if !ok {
				return s.fail(r.Type, bolt.NotALeader, "this is no primary any more")
			}
			s.position = position
		}
		s.out = s.summary(s.out, true)
	case bolt.Route:
		s.out = bolt.AppendFailure(s.out, s.version, bolt.Invalid, "stores do not route")
		s.state = bolt.Failed
		return true
	default:
		s.out = bolt.AppendSuccess(s.out, 0, nil)
	}
	s.state = s.state.After(r.Type, true, false, max(s.openResults, 0))
	return true
}

// summary appends the SUCCESS that ends a result or a transaction, with the store's role and position, and with the
// bookmark if a write was committed.
func (s *boltConn) summary(dst []byte, ended bool) []byte {
	primary, _ := s.store.group.Primary()
	role := "replica"
	if primary == s.store.Name {
		role = "primary"
	}
	n := 2
	if ended && s.writes {
		n++
	}
	return bolt.AppendSuccess(dst, n, func(b []byte) []byte {
		b = bolt.AppendPair(b, "role", role)
		b = bolt.AppendInt(bolt.AppendString(b, "applied_ms"), s.store.group.Position(s.store.Name)/10)
		if ended && s.writes {
			b = bolt.AppendString(bolt.AppendString(b, "bookmark"), bolt.AppendBookmark(nil, s.store.group.ID, s.position))
		}
		return b
	})
}
