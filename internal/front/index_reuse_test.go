package front

import (
	"strings"
	"testing"

	"micatrack/balance"
)

const (
	primaryAddr = "127.0.0.1:1"
	replicaAddr = "127.0.0.1:2"
)

// newSmallGroup returns a core with a primary and a replica that take few attempts at a time.
func newSmallGroup(t *testing.T, fronts int) *harness {
	s := newHarness(t, 40, true)
	s.settings.Fronts = fronts
	s.restartWith(balance.Class{Name: "slow", ExpectedTime: 3 * second, Deadline: 6 * second, Credit: 1},
		StoreEntry{ID: "s", Addr: primaryAddr, Member: balance.Member{Group: 3, Condition: balance.Ready, Primary: true, Size: 1}},
		StoreEntry{ID: "r", Addr: replicaAddr, Member: balance.Member{Group: 3, Condition: balance.Ready, Size: 1}})
	return s
}

// TestClientLeavesAsItsRequestIsDispatched guards against a write that is refused while it runs. In one step a store has
// room again, so that a waiting read is dispatched, the client of that read has disconnected, and a refusal lets another
// client's next command start. The read's attempt, which never starts, must not count for the command that could be given
// the read's index, nor end a write that is given the index after that.
func TestClientLeavesAsItsRequestIsDispatched(t *testing.T) {
	s := newSmallGroup(t, 24) // one attempt at a time
	busy, leaving, several := s.newClient(), s.newClient(), s.newClient()
	s.send(busy, keyed("once", 1, 3000, "a"))
	s.send(busy, keyed("any", 2, 1000, "b")) // runs at the replica
	s.welcomeAll()
	s.send(leaving, keyed("any", 3, 1000, "c"))
	if s.carrierOf(3) != nil {
		t.Fatal("the read does not wait")
	}
	replica := s.carrierOf(2)
	if replica == nil || replica.addr != replicaAddr {
		t.Fatal("the first read is not at the replica")
	}
	replica.takeOutput()
	replica.in = append(replica.in, value+ready...)
	several.in = append(several.in, keyed("once", 4, 1, "d")+keyed("slow", 5, 2000, "d")...)
	s.step(Event{replica, Readable}, Event{leaving, Closed}, Event{several, Readable})
	if s.carrierOf(3) != nil {
		t.Error("the read is sent though its client has disconnected")
	}
	s.send(s.carrierOf(1), value, ready)
	busy.takeOutput()
	s.welcomeAll()
	behind := s.carrierOf(5)
	if behind == nil {
		t.Fatal("the command behind the refused one is not sent")
	}
	behind.takeOutput()
	s.advance(700 * millisecond) // the overload is over, so that attempts may be repeated
	s.send(behind, value, ready)
	several.takeOutput()

	s.send(several, keyed("once", 6, 3000, "e"))
	s.advance(1500 * millisecond)
	if got := several.takeOutput(); got != "" {
		t.Fatalf("a write is answered %s while it runs", code(t, got))
	}
	s.send(s.carrierOf(6), value, ready)
	if got := code(t, several.takeOutput()); got != "value" {
		t.Errorf("the write is answered %s", got)
	}
	for _, client := range []*fakeLink{busy, several} {
		s.step(Event{client, Closed})
	}
	s.checkReleased(0)
}

// TestDispatchAfterItsIndexIsReused guards against a request that is sent to a store which was chosen for another one. A
// front that stood still finds in one step that a read's time is over, which gives the room to a waiting read whose client
// has disconnected, and that a write stands behind the first read. The write must not go where the waiting read was to go.
func TestDispatchAfterItsIndexIsReused(t *testing.T) {
	s := newSmallGroup(t, 12) // two attempts at a time, one more once reads were served
	several, leaving, reader, writers := s.newClient(), s.newClient(), s.newClient(), [2]*fakeLink{s.newClient(), s.newClient()}
	s.send(writers[0], keyed("once", 1, 3000, "a"))
	s.send(writers[1], keyed("once", 3, 3000, "a"))
	s.send(several, keyed("any", 4, 100, "b")+keyed("once", 5, 3000, "b"))
	s.welcomeAll()
	// Later attempts are served, so that the one of the read that times out counts as lost and not as a sign of load.
	answer := func(id int) {
		carrier := s.carrierOf(id)
		carrier.takeOutput()
		s.send(carrier, value, ready)
	}
	s.send(reader, keyed("any", 6, 1000, "c"))
	s.welcomeAll()
	answer(6)
	s.send(reader, keyed("any", 7, 1000, "c"))
	s.send(reader, keyed("any", 8, 3000, "c")) // a connection is dialled for it, and that of 7 carries it
	answer(7)
	s.send(reader, keyed("any", 10, 3000, "c"))
	s.welcomeAll() // one connection carries 10, and the other becomes idle
	s.send(leaving, keyed("any", 9, 3000, "d"))
	if s.carrierOf(4) == nil || s.carrierOf(8) == nil || s.carrierOf(10) == nil || s.carrierOf(9) != nil ||
		len(s.core.stores[s.core.storeIndex["r"]].idle) != 1 {
		t.Fatal("the replica is not full, or no connection to it is idle")
	}
	s.now += 150 * millisecond
	s.step(Event{leaving, Closed})
	s.welcomeAll()
	for _, dial := range s.dials {
		if dial.addr == replicaAddr && strings.Contains(string(dial.out), "id=5,") {
			t.Error("the write is sent to the replica")
		}
	}
	s.send(s.carrierOf(1), value, ready)
	s.send(s.carrierOf(3), value, ready)
	s.welcomeAll()
	if carrier := s.carrierOf(5); carrier == nil || carrier.addr != primaryAddr {
		t.Error("the write is not sent to the primary")
	}
	for _, client := range []*fakeLink{several, reader, writers[0], writers[1]} {
		s.step(Event{client, Closed})
	}
	s.advance(2 * second)
	s.checkReleased(0)
}
