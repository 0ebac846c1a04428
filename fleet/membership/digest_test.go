package membership

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
)

// playDigest is the FNV-1a hash of every action of the play below: datagrams with all that is in them,
// exchanges, changes of members, notes handed on, log lines and final tables. It was recorded before the
// package was split into files by job, and anew when gossip got its budgets and exchanges their digests. A change that
// is meant to change actions records it anew and says so.
const playDigest = "9948ac9b4bc33b7d"

// TestPlayDigest plays one seeded fleet through loss, a kill, a leave, a cut, a stopped process, a second
// process of one name, unknown members and notes, and compares the hash of all actions.
func TestPlayDigest(t *testing.T) {
	hash := fnv.New64a()
	n := newNet(20)
	n.trace = hash
	for k := range 6 {
		for _, zone := range []string{"a", "b", "c"} {
			name := fmt.Sprintf("%s%d", zone, k)
			n.start(name, zone, name, 1)
		}
	}
	n.loss, n.delay = 60, 400
	n.run(30 * period)

	n.kill("c3")
	for round := range 10 {
		for _, from := range []string{"a1", "b2", "c4"} {
			n.nodes[from].m.Publish(n.now, fmt.Sprintf("p%s", from), uint64(round+1), []byte{byte(round)}, SpreadUrgently)
			n.nodes[from].m.Publish(n.now, fmt.Sprintf("e%s", from), uint64(round+1), []byte{1, byte(round)}, SpreadQuietly)
		}
		n.nodes["b1"].m.StopSpreading("pa1")
		n.run(5 * period)
	}
	n.start("c3", "c", "c3", 2)
	n.run(10 * period)
	n.kill("c3")
	n.start("c3", "b", "elsewhere", 1)
	n.run(40 * period)

	n.nodes["b4"].m.Leave(n.now)
	n.run(2 * period)
	n.kill("b4")

	n.cut = func(from, to string) bool { return (from[0] == 'a') != (to[0] == 'a') }
	n.run(100 * period)
	n.cut = func(from, to string) bool { return from == "a2" && to[0] == 'b' }
	n.run(30 * period)
	n.cut = nil

	n.nodes["a5"].stopped = true
	n.run(6 * period)
	n.nodes["a5"].stopped = false
	n.run(20 * period)

	n.start("a4", "a", "twin", 5)
	n.run(20 * period)
	n.nodes["a1"].m.self.MaxMembers = 60 // so that the dead make room
	for k := range 300 {
		sender := Fact{Name: fmt.Appendf(nil, "x%d", k), Zone: fmt.Appendf(nil, "z%d", k), Addr: []byte("nowhere"),
			Incarnation: 1}
		n.nodes["a1"].m.Receive(n.now, &Message{Kind: Gossip, Sender: sender})
		n.run(100)
	}
	n.run(20 * period)
	for _, node := range n.order {
		if strings.HasSuffix(node.addr, "2") || strings.HasSuffix(node.addr, "3") {
			n.kill(node.addr)
		}
	}
	n.run(100 * period)
	for _, zone := range []string{"a", "b", "c"} {
		n.kill(zone + "4")
		n.kill(zone + "5")
	}
	n.run(1300 * period) // past the time for which the dead are kept

	for _, node := range n.order {
		view := node.m
		fmt.Fprintln(hash, view.List(), view.Health(), view.Joined(), view.Replaced(), view.Isolated(), view.Zones(),
			view.ZoneLastHeard("b"), view.Next(), view.Dropped)
	}
	if got := fmt.Sprintf("%016x", hash.Sum64()); got != playDigest {
		t.Errorf("the actions hash to %s, recorded is %s", got, playDigest)
	}
}
