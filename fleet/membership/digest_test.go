package membership

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
)

// playDigest is the FNV-1a hash of every action in the simulation below: datagrams with their complete
// contents, syncs, member changes, notes passed to the host, log lines and final tables. It was recorded
// before the package was split into files by purpose, and again when gossip got traffic budgets and syncs got
// digests. A change that is meant to alter actions must record it again and say so.
const playDigest = "9948ac9b4bc33b7d"

// TestActionDigest runs a seeded fleet through message loss, a killed front, a leaving one, a partition, a
// stopped process, two processes with one name, unknown members and notes, and compares the hash of all
// actions.
func TestActionDigest(t *testing.T) {
	hash := fnv.New64a()
	network := newTestNetwork(20)
	network.trace = hash
	for k := range 6 {
		for _, zone := range []string{"a", "b", "c"} {
			name := fmt.Sprintf("%s%d", zone, k)
			network.start(name, zone, name, 1)
		}
	}
	network.loss, network.delay = 60, 400
	network.run(30 * period)

	network.kill("c3")
	for round := range 10 {
		for _, from := range []string{"a1", "b2", "c4"} {
			network.nodes[from].view.Publish(network.now, fmt.Sprintf("p%s", from), uint64(round+1), []byte{byte(round)}, SpreadUrgently)
			network.nodes[from].view.Publish(network.now, fmt.Sprintf("e%s", from), uint64(round+1), []byte{1, byte(round)}, SpreadQuietly)
		}
		network.nodes["b1"].view.StopSpreading("pa1")
		network.run(5 * period)
	}
	network.start("c3", "c", "c3", 2)
	network.run(10 * period)
	network.kill("c3")
	network.start("c3", "b", "elsewhere", 1)
	network.run(40 * period)

	network.nodes["b4"].view.Leave(network.now)
	network.run(2 * period)
	network.kill("b4")

	network.cut = func(from, to string) bool { return (from[0] == 'a') != (to[0] == 'a') }
	network.run(100 * period)
	network.cut = func(from, to string) bool { return from == "a2" && to[0] == 'b' }
	network.run(30 * period)
	network.cut = nil

	network.nodes["a5"].stopped = true
	network.run(6 * period)
	network.nodes["a5"].stopped = false
	network.run(20 * period)

	network.start("a4", "a", "twin", 5)
	network.run(20 * period)
	network.nodes["a1"].view.config.MaxMembers = 60 // so that entries of dead members are reused
	for k := range 300 {
		sender := Fact{Name: fmt.Appendf(nil, "x%d", k), Zone: fmt.Appendf(nil, "z%d", k), Addr: []byte("nowhere"),
			Incarnation: 1}
		network.nodes["a1"].view.Receive(network.now, &Message{Kind: Gossip, Sender: sender})
		network.run(100)
	}
	network.run(20 * period)
	for _, node := range network.order {
		if strings.HasSuffix(node.addr, "2") || strings.HasSuffix(node.addr, "3") {
			network.kill(node.addr)
		}
	}
	network.run(100 * period)
	for _, zone := range []string{"a", "b", "c"} {
		network.kill(zone + "4")
		network.kill(zone + "5")
	}
	network.run(1300 * period) // longer than dead members are kept

	for _, node := range network.order {
		view := node.view
		fmt.Fprintln(hash, view.List(), view.Health(), view.Joined(), view.Replaced(), view.Isolated(), view.Zones(),
			view.ZoneLastHeard("b"), view.Next(), view.Dropped)
	}
	if got := fmt.Sprintf("%016x", hash.Sum64()); got != playDigest {
		t.Errorf("the actions hash to %s, want %s", got, playDigest)
	}
}
