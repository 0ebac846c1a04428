package rig

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

const (
	allLost   = 1000 // of 1,000 datagrams
	testWait  = 10 * time.Second
	testPause = 5 * time.Millisecond
)

// awaitSent waits until a node has sent that much.
func awaitSent(t *testing.T, l *Links, from Node, want Sent) {
	t.Helper()
	for end := time.Now().Add(testWait); l.Sent(from) != want; time.Sleep(testPause) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v, not %+v", from.Name, l.Sent(from), want)
		}
	}
}

// TestDatagramsAreCounted: each datagram between fronts counts with its bytes, a lost one too; one to a store
// does not.
func TestDatagramsAreCounted(t *testing.T) {
	l := newLinks(1)
	t.Cleanup(l.end)
	one, two, store := Node{Name: "f0", Front: true}, Node{Name: "f1", Front: true}, Node{Name: "s"}
	send := func(to Node, texts ...string) {
		at, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		nowhere := netip.MustParseAddrPort("127.0.0.1:9")
		l.datagrams(at, nowhere, to, func(netip.AddrPort) (Node, bool) { return one, true })
		c, err := net.Dial("udp", at.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for _, text := range texts {
			c.Write([]byte(text))
		}
	}
	l.Between(func(_, _ Node) bool { return true }, Fault{Loss: allLost})
	send(store, "not counted")
	send(two, "12345", "123")
	awaitSent(t, l, one, Sent{Datagrams: Flow{Messages: 2, Bytes: 8}})
	if got := l.Sent(two); got != (Sent{}) {
		t.Errorf("the receiver has sent %+v", got)
	}
}

// TestStreamsAreCounted: a connection between fronts counts as one message each way, with all bytes, in
// however many pieces.
func TestStreamsAreCounted(t *testing.T) {
	const first, second, back = "first", "second", "back"
	l := newLinks(1)
	t.Cleanup(l.end)
	one, two := Node{Name: "f0", Front: true}, Node{Name: "f1", Front: true}
	target := answers(t, len(first+second), back)
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.stream(relay, target, two, func(net.Addr) (Node, bool) { return one, true })
	c, err := net.Dial("tcp", relay.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testWait))
	c.Write([]byte(first))
	awaitSent(t, l, one, Sent{Streams: Flow{Messages: 1, Bytes: len(first)}})
	c.Write([]byte(second))
	if _, err := io.ReadFull(c, make([]byte, len(back))); err != nil {
		t.Fatal(err)
	}
	awaitSent(t, l, one, Sent{Streams: Flow{Messages: 1, Bytes: len(first + second)}})
	awaitSent(t, l, two, Sent{Streams: Flow{Messages: 1, Bytes: len(back)}})
}

// answers takes one connection, and answers once so many bytes have come.
func answers(t *testing.T, bytes int, back string) (addr string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, bytes)); err == nil {
			c.Write([]byte(back))
			io.Copy(io.Discard, c)
		}
	}()
	return target.Addr().String()
}
