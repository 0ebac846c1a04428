package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/neo4j/neo4j-go-driver/v5/neo4j"

	"micatrack/internal/bolt"
	"micatrack/internal/standin"
)

func codeOf(err error) string {
	var e *neo4j.Neo4jError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// TestBoltTransactionOnADrainingStore: a transaction is open on a store that begins to drain. Past the grace nothing more
// of it is written there, and its client is told that trying again is harmless; COMMIT within the grace counts.
func TestBoltTransactionOnADrainingStore(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), outer)
	defer cancel()
	g := newGraph(t, "a", "b")
	s := g.driver("bolt").NewSession(ctx, neo4j.SessionConfig{})
	open := func(id string) neo4j.ExplicitTransaction {
		tx, err := s.BeginTransaction(ctx, says(id, "save"))
		if err != nil {
			t.Fatal(id, err)
		}
		r, err := tx.Run(ctx, "CREATE (n)", nil)
		if err != nil {
			t.Fatal(id, err)
		}
		if _, err := r.Consume(ctx); err != nil {
			t.Fatal(id, err)
		}
		return tx
	}
	within := open("within")
	g.group.MarkDraining("a")
	g.d.Update(func(l []standin.Server) []standin.Server { l[0].State = "leaving"; return l })
	time.Sleep(50 * time.Millisecond)
	if err := within.Commit(ctx); err != nil {
		t.Errorf("COMMIT within the grace: %v", err)
	}
	g.d.Update(func(l []standin.Server) []standin.Server { l[0].State = "active"; return l })
	time.Sleep(300 * time.Millisecond)
	past := open("past")
	g.d.Update(func(l []standin.Server) []standin.Server { l[0].State = "leaving"; return l })
	time.Sleep(500 * time.Millisecond)
	if code := codeOf(past.Commit(ctx)); code != bolt.NoThreadsAvailable {
		t.Errorf("COMMIT past the grace: %s", code)
	}
	for _, e := range g.group.Ledger() {
		if e.RequestID == "past" && e.Write {
			t.Errorf("%+v", e)
		}
	}
}

// TestBoltCommitAnswerLost: COMMIT ran, and the connection was lost before its answer. The client hears that nobody
// knows, in a word that no driver tries again by itself.
func TestBoltCommitAnswerLost(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), outer)
	defer cancel()
	g := newGraph(t, "a", "b")
	act := standin.RunThenDisconnect
	g.stores["a"].SetBehavior(func(_ string, w bolt.MessageType) standin.Behavior {
		if w == bolt.Commit {
			return act
		}
		return standin.Respond
	})
	s := g.driver("bolt").NewSession(ctx, neo4j.SessionConfig{})
	calls := 0
	work := one(ctx, "CREATE (n)")
	_, err := s.ExecuteWrite(ctx, func(tx neo4j.ManagedTransaction) (any, error) { calls++; return work(tx) }, says("lost", "save"))
	if code := codeOf(err); code != bolt.UnknownError || calls != 1 {
		t.Errorf("%s after %d calls", code, calls)
	}
	if broken := g.group.Check([]standin.Outcome{{RequestID: "lost", Write: true}}, time.Second); broken != nil {
		t.Error(broken)
	}
}

// TestBoltBookmarks: a read that has to see more than any replica has goes to the primary; a bookmark of another group
// says nothing; one from the future, and one that cannot be read, are errors.
func TestBoltBookmarks(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), outer)
	defer cancel()
	g := newGraph(t, "a", "b", "c")
	g.group.SetLag("b", time.Minute)
	g.group.SetLag("c", time.Minute)
	d := g.driver("bolt")
	read := func(id string, marks ...string) error {
		s := d.NewSession(ctx, neo4j.SessionConfig{Bookmarks: marks})
		defer s.Close(ctx)
		_, err := s.Run(ctx, "RETURN 1", nil, says(id, "mine"))
		return err
	}
	w := d.NewSession(ctx, neo4j.SessionConfig{})
	if _, err := w.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says("w", "save")); err != nil {
		t.Fatal(err)
	}
	now := time.Now().UnixNano() / 100_000
	for _, c := range []struct{ id, mark, code string }{
		{"ahead", w.LastBookmarks()[0], "<nil>"},
		{"other", string(bolt.AppendBookmark(nil, 7, now+1_000_000)), "<nil>"},
		{"future", string(bolt.AppendBookmark(nil, 1, now+1_000_000)), bolt.InvalidBookmark},
		{"foreign", "FB:kcwQ", bolt.InvalidBookmark},
	} {
		if code := codeOf(read(c.id, c.mark)); code != c.code {
			t.Errorf("%s: %s, want %s", c.id, code, c.code)
		}
	}
	for _, e := range g.group.Ledger() {
		if e.RequestID == "ahead" && e.Store != "a" {
			t.Errorf("%+v", e)
		}
	}
}

// TestBoltSessionSpansDriverSessions guards against a session's read that misses its last write because a bookmark came
// with that write, or an older one with the read. The writes and reads come in several of the driver's sessions, all under
// one session in s, while the replicas stand where they were after the first write.
func TestBoltSessionSpansDriverSessions(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), outer)
	defer cancel()
	g := newGraph(t, "a", "b", "c")
	d := g.driver("bolt")
	do := func(s neo4j.SessionWithContext, id, class, statement string) {
		t.Helper()
		res, err := s.Run(ctx, statement, nil, func(c *neo4j.TransactionConfig) {
			neo4j.WithTxTimeout(2500 * time.Millisecond)(c)
			neo4j.WithTxMetadata(map[string]any{"id": id, "c": class, "s": "reader-7", "cluster": 1})(c)
		})
		if err == nil {
			_, err = res.Consume(ctx)
		}
		if err != nil {
			t.Fatal(id, err)
		}
	}
	newSession := func(marks ...string) neo4j.SessionWithContext {
		return d.NewSession(ctx, neo4j.SessionConfig{Bookmarks: marks})
	}
	chained := newSession()
	do(chained, "w1", "save", "CREATE (n)")
	firstMarks := chained.LastBookmarks()
	time.Sleep(50 * time.Millisecond)
	for _, replica := range []string{"b", "c"} {
		g.group.SetLag(replica, time.Minute)
	}
	for n := 0; !g.replicaHasServed("warm"); n++ { // the front has to know that a replica has passed the first write
		if n == 40 {
			t.Fatal("no replica serves a read of the session after its first write")
		}
		do(newSession(), fmt.Sprint("warm", n), "mine", "RETURN 1")
		time.Sleep(50 * time.Millisecond)
	}
	do(chained, "w2", "save", "CREATE (n)")
	do(newSession(), "without a bookmark", "mine", "RETURN 1")
	do(newSession(firstMarks...), "with an older bookmark", "mine", "RETURN 1")
	written := g.group.WritePosition("w2")
	for _, e := range g.group.Ledger() {
		if strings.HasPrefix(e.RequestID, "with") && e.Position < written {
			t.Errorf("read %s was answered by %s at %d, before the session's write at %d", e.RequestID, e.Store, e.Position, written)
		}
	}
}

// replicaHasServed reports whether a replica has served a read whose ID begins with prefix.
func (g *graph) replicaHasServed(prefix string) bool {
	for _, e := range g.group.Ledger() {
		if strings.HasPrefix(e.RequestID, prefix) && e.Store != "a" {
			return true
		}
	}
	return false
}

func packed(what bolt.MessageType, fields int, more func(b []byte) []byte) []byte {
	b, at := bolt.BeginMessage(nil)
	return bolt.EndMessage(more(bolt.AppendStruct(b, byte(what), fields)), at)
}

func empty(b []byte) []byte { return bolt.AppendMap(b, 0) }

// ahead is a whole transaction, written before any answer.
func ahead(id string) []byte {
	b := []byte{0x60, 0x60, 0xb0, 0x17, 0, 0, 4, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}
	b = append(b, packed(bolt.Hello, 1, empty)...)
	b = append(b, packed(bolt.Logon, 1, empty)...)
	b = append(b, packed(bolt.BeginTx, 1, func(b []byte) []byte {
		b = bolt.AppendInt(bolt.AppendString(bolt.AppendMap(b, 2), "tx_timeout"), 2000)
		b = bolt.AppendMap(bolt.AppendString(b, "tx_metadata"), 3)
		b = bolt.AppendPair(bolt.AppendPair(b, "id", id), "c", "save")
		return bolt.AppendInt(bolt.AppendString(b, "cluster"), 1)
	})...)
	b = append(b, packed(bolt.Run, 3, func(b []byte) []byte { return empty(empty(bolt.AppendString(b, "CREATE (n)"))) })...)
	b = append(b, packed(bolt.Pull, 1, func(b []byte) []byte { return bolt.AppendInt(bolt.AppendString(bolt.AppendMap(b, 1), "n"), -1) })...)
	return append(b, packed(bolt.Commit, 0, func(b []byte) []byte { return b })...)
}

// TestBoltClientDiesAnywhere: a client writes a whole transaction ahead and dies, at each byte. What was not written whole
// had no effect, nothing has it twice, and the front serves on.
func TestBoltClientDiesAnywhere(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*outer)
	defer cancel()
	g := newGraph(t, "a", "b")
	whole := len(ahead("cut-000"))
	for n := 1; n <= whole; n++ {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(ahead(fmt.Sprintf("cut-%03d", n))[:n])
		if n%3 == 0 {
			time.Sleep(2 * time.Millisecond) // some get further than others
		}
		c.Close()
	}
	s := g.driver("bolt").NewSession(ctx, neo4j.SessionConfig{})
	if got, err := s.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says("after", "save")); err != nil || got != "after" {
		t.Errorf("behind them all: %v, %v", got, err)
	}
	ran := 0
	for _, e := range g.group.Ledger() {
		var n int
		if _, err := fmt.Sscanf(e.RequestID, "cut-%d", &n); err == nil && e.Write {
			if ran++; n < whole {
				t.Errorf("cut at byte %d of %d, and it had its effect", n, whole)
			}
		}
	}
	if broken := g.group.Check([]standin.Outcome{{RequestID: "after", Write: true, Delivered: true}}, time.Second); broken != nil || ran > 1 {
		t.Error(broken, ran)
	}
}

// TestBoltHostileClients: each is told an error or hung up on in good time, and the front serves on.
func TestBoltHostileClients(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*outer)
	defer cancel()
	g := newGraph(t, "a", "b")
	hello := ahead("x")[:20]
	for name, bytes := range map[string]string{
		"no Bolt":             "GET / HTTP/1.1\r\n\r\n",
		"no version":          "\x60\x60\xb0\x17" + strings.Repeat("\x00\x00\x00\x03", 4),
		"a size that lies":    string(hello) + "\x00\x05\xda\x7f\xff\xff\xff\x00\x00",
		"nesting without end": string(hello) + "\x20\x00" + strings.Repeat("\x91", 0x2000) + "\x00\x00",
		"no message":          string(hello) + "\x00\x02\xb1\x99\x00\x00",
		"too long":            string(hello) + strings.Repeat("\xff\xff"+strings.Repeat("x", 0xffff), 4),
		"out of turn":         string(hello) + string(packed(bolt.Commit, 0, func(b []byte) []byte { return b })),
	} {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(2 * outer))
		go io.WriteString(c, bytes)
		if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) || err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: neither an error nor a close", name)
		}
		c.Close()
	}
	// One byte to a chunk is slow, but right.
	c, _ := net.Dial("tcp", g.addr)
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * outer))
	var ones []byte
	for _, b := range packed(bolt.Hello, 1, empty)[2:][:3] {
		ones = append(ones, 0, 1, b)
	}
	c.Write(append(append(append([]byte(nil), hello...), 0, 0), append(ones, 0, 0)...))
	answer := make([]byte, 8)
	if _, err := io.ReadFull(c, answer); err != nil || answer[7] != byte(bolt.Success) {
		t.Errorf("chunks of one byte: %x, %v", answer, err)
	}
	s := g.driver("bolt").NewSession(ctx, neo4j.SessionConfig{})
	if _, err := s.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says("after", "save")); err != nil {
		t.Error(err)
	}
}

// resident is the memory of a process, in KiB.
func resident(t testing.TB, pid int) (kib int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fmt.Sscan(rest, &kib)
		}
	}
	return kib
}

// TestBoltSlowReader: a result far larger than the front's buffers, asked for in one go by a client that does not read
// for a while, stops its store; memory stays bounded, and the result comes whole.
func TestBoltSlowReader(t *testing.T) {
	const records = 600_000
	g := newGraph(t, "a", "b")
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * outer))
	b := append(ahead("x")[:20], packed(bolt.Hello, 1, empty)...)
	b = append(b, packed(bolt.Logon, 1, empty)...)
	b = append(b, packed(bolt.Run, 3, func(b []byte) []byte {
		b = empty(bolt.AppendString(b, fmt.Sprintf("RETURN range(1, %d)", records)))
		b = bolt.AppendInt(bolt.AppendString(bolt.AppendMap(b, 2), "tx_timeout"), 2000)
		b = bolt.AppendMap(bolt.AppendString(b, "tx_metadata"), 3)
		b = bolt.AppendPair(bolt.AppendPair(b, "id", "large"), "c", "any")
		return bolt.AppendInt(bolt.AppendString(b, "cluster"), 1)
	})...)
	b = append(b, packed(bolt.Pull, 1, func(b []byte) []byte { return bolt.AppendInt(bolt.AppendString(bolt.AppendMap(b, 1), "n"), -1) })...)
	before := resident(t, g.pid)
	c.Write(b)
	time.Sleep(time.Second)
	stalled := resident(t, g.pid)
	got, total := 0, 0
	var in []byte
	r := bolt.Reader{MaxSize: 1 << 16}
	buf := make([]byte, 256<<10)
	if _, err := io.ReadFull(c, buf[:4]); err != nil {
		t.Fatal(err)
	}
	for done := false; !done; {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("after %d records: %v", got, err)
		}
		total += n
		in = append(in, buf[:n]...)
		at := 0
		for {
			body, size, err := r.Next(in[at:])
			if err != nil {
				t.Fatal(err)
			}
			if size == 0 {
				break
			}
			at += size
			a, err := bolt.ReadResponse(body)
			switch {
			case err != nil || a.Type == bolt.Failure:
				t.Fatalf("after %d records: %s %v", got, a.Message, err)
			case a.Type == bolt.Record:
				got++
			case got > 0:
				done = true
			}
		}
		in = in[:copy(in, in[at:])]
	}
	after := resident(t, g.pid)
	t.Logf("%d records, %d MB; the front's memory %d KiB before, %d while its client did not read, %d behind it", got, total>>20, before, stalled, after)
	if got != records || stalled-before > 96<<10 {
		t.Errorf("%d records, memory grown by %d KiB", got, stalled-before)
	}
}

// BenchmarkBolt is a job of an unmodified driver, straight to a store and through a front.
func BenchmarkBolt(b *testing.B) {
	ctx := context.Background()
	g := newGraph(b, "a", "b")
	for _, way := range []struct{ name, addr string }{{"straight", g.stores["a"].Addr()}, {"front", g.addr}} {
		d, err := neo4j.NewDriverWithContext("bolt://"+way.addr, neo4j.NoAuth())
		if err != nil {
			b.Fatal(err)
		}
		s := d.NewSession(ctx, neo4j.SessionConfig{})
		id := 0
		b.Run("statement/"+way.name, func(b *testing.B) {
			for b.Loop() {
				id++
				r, err := s.Run(ctx, "RETURN 1", nil, says(fmt.Sprint(way.name, id), "any"))
				if err == nil {
					_, err = r.Consume(ctx)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("transaction/"+way.name, func(b *testing.B) {
			for b.Loop() {
				id++
				if _, err := s.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says(fmt.Sprint(way.name, id), "save")); err != nil {
					b.Fatal(err)
				}
			}
		})
		d.Close(ctx)
	}
}
