package sock

import (
	"net"
	"testing"
	"time"

	"micatrack/internal/front"
)

// acceptPeer connects a peer and gives both ends.
func acceptPeer(t *testing.T, n *Net) (net.Conn, *Link) {
	t.Helper()
	peer, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return peer, pollUntil(t, n, nil, front.Accepted).(*Link)
}

// holdPoller keeps the poller busy with another link until release is called, so that it hears of nothing else.
func holdPoller(t *testing.T, n *Net) (release func()) {
	t.Helper()
	peer, other := acceptPeer(t, n)
	other.mu.Lock()
	peer.Write([]byte("x"))
	time.Sleep(20 * time.Millisecond) // the poller waits for the lock by then
	return other.mu.Unlock
}

func TestUnreadRequestPreventsIdleClose(t *testing.T) {
	for name, ends := range map[string]func(l *Link) bool{
		"finish": (*Link).CloseWriteIfIdle,
		"close":  func(l *Link) bool { return l.CloseIfIdle([]byte("no room")) },
	} {
		n := openNet(t)
		peer, l := acceptPeer(t, n)
		release := holdPoller(t, n)
		peer.Write([]byte("request"))
		time.Sleep(20 * time.Millisecond)
		if len(l.Peek()) > 0 {
			t.Fatal("the poller is not held")
		}
		if ends(l) || string(l.Peek()) != "request" {
			t.Errorf("%s: the connection was ended over %q", name, l.Peek())
		}
		release()
		l.Discard(len("request"))
		l.Write([]byte("answer"))
		l.Flush()
		got := make([]byte, 6)
		peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := peer.Read(got); err != nil || string(got) != "answer" {
			t.Errorf("%s: answered %q, %v", name, got, err)
		}
		if !ends(l) {
			t.Errorf("%s: a connection at rest is not ended", name)
		}
		if name == "close" {
			got = make([]byte, 7)
			if _, err := peer.Read(got); err != nil || string(got) != "no room" {
				t.Errorf("told %q, %v", got, err)
			}
		}
		if _, err := peer.Read(got); err == nil {
			t.Errorf("%s: the peer does not hear of the end", name)
		}
	}
}

func TestPeerOpenSeesCloseBeforePoller(t *testing.T) {
	n := openNet(t)
	peer, l := acceptPeer(t, n)
	release := holdPoller(t, n)
	defer release()
	if !l.PeerOpen() {
		t.Error("a peer that is there is taken for gone")
	}
	peer.Close()
	time.Sleep(20 * time.Millisecond)
	if l.PeerOpen() {
		t.Error("a peer that has gone is taken for there")
	}
}

func TestStaleEventSparesReusedDescriptor(t *testing.T) {
	n := openNet(t)
	firstPeer, first := acceptPeer(t, n)
	secondPeer, second := acceptPeer(t, n)
	oldPeer, old := acceptPeer(t, n)
	first.mu.Lock()
	firstPeer.Write([]byte("x"))
	time.Sleep(20 * time.Millisecond) // the poller waits for the first
	second.mu.Lock()
	secondPeer.Write([]byte("x"))
	oldPeer.Close()
	time.Sleep(20 * time.Millisecond)
	first.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // it has both events now, and waits for the second
	old.Close()
	var next *Link
	var peer net.Conn
	for range 10 { // until one has the descriptor that the old one had
		if peer, next = acceptPeer(t, n); next.descriptor == old.descriptor {
			break
		}
	}
	if next.descriptor != old.descriptor {
		t.Fatal("no connection has the old one's descriptor")
	}
	second.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	next.Write([]byte("answer"))
	next.Flush()
	got := make([]byte, 6)
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := peer.Read(got); err != nil || string(got) != "answer" {
		t.Errorf("the next connection on the descriptor: %q, %v", got, err)
	}
}
