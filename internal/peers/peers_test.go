package peers

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"micatrack/fleet/membership"
)

// drawFact draws a random fact.
func drawFact(t *rapid.T) membership.Fact {
	text := func(n int, what string) []byte {
		if b := rapid.SliceOfN(rapid.Byte(), 0, n).Draw(t, what); len(b) > 0 {
			return b
		}
		return nil
	}
	return membership.Fact{Name: text(membership.MaxNameBytes, "name"), Zone: text(membership.MaxZoneBytes, "zone"), Addr: text(membership.MaxAddrBytes, "addr"),
		By: text(membership.MaxNameBytes, "by"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), State: membership.State(rapid.IntRange(0, 3).Draw(t, "state"))}
}

// TestMessageRoundTrip checks that encoded membership messages are decoded unchanged, that those of another fleet are
// rejected, and that truncated or corrupted ones cause no panic and stay within bounds.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &membership.Message{Kind: membership.Kind(rapid.IntRange(1, 7).Draw(t, "kind")), Seq: rapid.Uint64().Draw(t, "seq"), Sender: drawFact(t)}
		for range rapid.IntRange(0, 5).Draw(t, "facts") {
			m.Facts = append(m.Facts, drawFact(t))
			m.Notes = append(m.Notes, membership.Note{Key: []byte("k"), Version: rapid.Uint64().Draw(t, "version"),
				Age: rapid.Int64Range(0, 1<<40).Draw(t, "age"), Body: rapid.SliceOfN(rapid.Byte(), 1, membership.MaxBodyBytes).Draw(t, "body")})
		}
		data := AppendMessage(nil, "f", m)
		var back membership.Message
		if err := ReadMessage(data, "f", &back); err != nil {
			t.Fatal(err)
		}
		if a, b := fmt.Sprintf("%v", *m), fmt.Sprintf("%v", back); a != b {
			t.Fatalf("%s\n%s", a, b)
		}
		if err := ReadMessage(data, "g", &back); err != errOtherFleet {
			t.Errorf("message of another fleet: %v", err)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		ReadMessage(data[:cut], "f", &back)
		data[cut] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		ReadMessage(data, "f", &back)
		if len(back.Facts) > membership.MaxFacts {
			t.Error("too many facts")
		}
	})
}

// TestInvalidDatagramsAreDropped checks that datagrams that are too long, truncated, of another fleet or version, or no message
// at all are counted and dropped.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	woken := make(chan struct{}, 1024)
	p, err := Open("127.0.0.1:0", "f", func() { woken <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("udp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	m := &membership.Message{Kind: membership.Ping, Sender: membership.Fact{Name: []byte("a"), Incarnation: 1}}
	good := AppendMessage(nil, "f", m)
	old := append([]byte(nil), good...)
	old[1] = 9 // the version's value
	for _, b := range [][]byte{good, good[:len(good)-1], AppendMessage(nil, "g", m), old, bytes.Repeat([]byte("x"), 1500), []byte("noise")} {
		c.Write(b)
	}
	taken := 0
	deadline := time.After(10 * time.Second)
	for n := p.Counts(); n.Taken+n.Shape+n.Fleet+n.Version+n.Long < 6; n = p.Counts() {
		select {
		case <-woken:
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatalf("%+v", n)
		}
		p.Receive(func(*membership.Message) bool { taken++; return false }, nil)
	}
	if n := p.Counts(); taken != 1 || n.Taken != 1 || n.Shape != 2 || n.Fleet != 1 || n.Version != 1 || n.Long != 1 {
		t.Errorf("%d messages handled, counts %+v", taken, n)
	}
}

// TestFullSync checks a full exchange of 4,096 members with the longest names. Neither side's loop blocks on it.
func TestFullSync(t *testing.T) {
	a, err := Open("127.0.0.1:0", "f", func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Open("127.0.0.1:0", "f", func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	all := func(k membership.Kind) *membership.Message {
		m := &membership.Message{Kind: k, Sender: membership.Fact{Name: []byte("a"), Incarnation: 1}}
		for n := range membership.MaxFacts {
			m.Facts = append(m.Facts, membership.Fact{Name: fmt.Appendf(nil, "%s%d", strings.Repeat("n", 58), n), Zone: bytes.Repeat([]byte("z"), 32),
				Addr: bytes.Repeat([]byte("a"), 64), Incarnation: 1 << 60, By: bytes.Repeat([]byte("b"), 64), State: membership.Suspect})
			m.Notes = append(m.Notes, membership.Note{Key: fmt.Appendf(nil, "e%d", n), Version: 1 << 60, Body: bytes.Repeat([]byte("x"), membership.MaxBodyBytes)})
		}
		return m
	}
	a.StartSync(b.Addr(), all(membership.SyncRequest))
	got := 0
	for end := time.Now().Add(10 * time.Second); got == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		b.Receive(func(m *membership.Message) bool {
			return m.Kind == membership.SyncRequest && len(m.Facts) == membership.MaxFacts
		},
			func() *membership.Message { return all(membership.SyncResponse) })
		a.Receive(func(m *membership.Message) bool { got = len(m.Facts); return false }, nil)
	}
	if got != membership.MaxFacts {
		t.Errorf("the reply has %d facts", got)
	}
}

// TestOnlyLocalAddresses checks that a front only listens on loopback and private addresses, and only sends to these.
func TestOnlyLocalAddresses(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", "[::]:0", "192.0.2.1:0", "host:1"} {
		if p, err := Open(addr, "f", func() {}); err == nil {
			p.Close()
			t.Errorf("Open accepts %s", addr)
		}
	}
	p, err := Open("127.0.0.1:0", "f", func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Send("192.0.2.1:9", &membership.Message{})
	p.StartSync("192.0.2.1:9", &membership.Message{})
	if n := p.Counts(); n.Where != 2 || n.Sent != 0 {
		t.Errorf("%+v", n)
	}
}

// BenchmarkRead decodes a gossip message with three facts and a note.
func BenchmarkRead(b *testing.B) {
	fact := membership.Fact{Name: []byte("front-17"), Zone: []byte("zone-a"), Addr: []byte("10.0.0.17:7400"), Incarnation: 1 << 40}
	m := &membership.Message{Kind: membership.Gossip, Sender: fact, Facts: []membership.Fact{fact, fact, fact},
		Notes: []membership.Note{{Key: []byte("efront-17"), Version: 1, Body: make([]byte, 60)}}}
	data := AppendMessage(nil, "fleet", m)
	var into membership.Message
	b.ReportAllocs()
	for b.Loop() {
		if err := ReadMessage(data, "fleet", &into); err != nil {
			b.Fatal(err)
		}
	}
}
