package sock

import (
	"net"
	"testing"
	"time"

	"micatrack/internal/front"
)

// accepted connects a peer and gives both ends.
func accepted(t *testing.T, n *Net) (net.Conn, *Link) {
	t.Helper()
	peer, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return peer, until(t, n, nil, front.Accepted).(*Link)
}

// holdPoller keeps the poller busy with another link until release is called, so that it hears of nothing else.
func holdPoller(t *testing.T, n *Net) (release func()) {
	t.Helper()
	peer, other := accepted(t, n)
	other.mu.Lock()
	peer.Write([]byte("x"))
	time.Sleep(20 * time.Millisecond) // the poller waits for the lock by then
	return other.mu.Unlock
}

func TestPeerThatHasGoneIsSeenBeforeThePollerTells(t *testing.T) {
	n := open(t)
	peer, l := accepted(t, n)
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
