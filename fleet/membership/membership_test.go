package membership

import (
	"container/heap"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"micatrack/internal/random"
)

const period = Time(5000)

// testNetwork connects views on one virtual clock.
type testNetwork struct {
	now        Time
	random     random.Source
	nodes      map[string]*testNode
	order      []*testNode
	deliveries deliveryQueue
	sequence   int
	loss       int                        // datagrams lost in 1,000
	delay      Time                       // mean delay of a datagram; the actual one is between a half and one and a half of it
	cut        func(from, to string) bool // reports whether datagrams between addresses are lost; syncs need both directions
	bytes      int
	logLines   []string
	trace      io.Writer // receives every action, for a hash; may be nil
}

// traceAction writes one action of a node to the trace.
func (node *testNode) traceAction(format string, values ...any) {
	if node.network.trace != nil {
		fmt.Fprintf(node.network.trace, "%d %s ", node.network.now, node.addr)
		fmt.Fprintf(node.network.trace, format+"\n", values...)
	}
}

type testNode struct {
	network      *testNetwork
	view         *Members
	addr         string
	stopped      bool
	noteVersions map[string]uint64
	deathCounts  map[string]int // number of times that each member was declared dead here
}

type delivery struct {
	at       Time
	sequence int
	to       string
	deliver  func(n *testNode)
}

type deliveryQueue []delivery

func (l deliveryQueue) Len() int { return len(l) }
func (l deliveryQueue) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].sequence < l[j].sequence
}
func (l deliveryQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *deliveryQueue) Push(x any)   { *l = append(*l, x.(delivery)) }
func (l *deliveryQueue) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

func newTestNetwork(seed uint64) *testNetwork {
	return &testNetwork{now: 1_000_000, random: random.New(seed), nodes: map[string]*testNode{}, delay: 50}
}

// copyMessage returns a deep copy, which may be kept beyond the call.
func copyMessage(in *Message) *Message {
	dup := func(b []byte) []byte { return append([]byte(nil), b...) }
	fact := func(f Fact) Fact {
		return Fact{dup(f.Name), dup(f.Zone), dup(f.Addr), dup(f.By), f.Incarnation, f.State}
	}
	out := &Message{Kind: in.Kind, Seq: in.Seq, Sender: fact(in.Sender), To: dup(in.To), Target: dup(in.Target), TargetAddr: dup(in.TargetAddr), Digest: dup(in.Digest)}
	for _, f := range in.Facts {
		out.Facts = append(out.Facts, fact(f))
	}
	for _, n := range in.Notes {
		out.Notes = append(out.Notes, Note{dup(n.Key), n.Version, n.Age, dup(n.Body)})
	}
	return out
}

func (network *testNetwork) schedule(to string, after Time, do func(n *testNode)) {
	network.sequence++
	heap.Push(&network.deliveries, delivery{network.now + after, network.sequence, to, do})
}

func (node *testNode) Send(addr string, m *Message) {
	network := node.network
	node.traceAction("send %s %+v", addr, *m)
	for k := range m.Facts {
		network.bytes += m.Facts[k].size()
	}
	for k := range m.Notes {
		network.bytes += m.Notes[k].size()
	}
	network.bytes += 40 + len(m.Sender.Name) + len(m.Sender.Addr)
	if network.cut != nil && network.cut(node.addr, addr) || network.random.Below(1000) < int64(network.loss) {
		return
	}
	c := copyMessage(m)
	network.schedule(addr, network.delay/2+network.random.Below(network.delay), func(to *testNode) { to.view.Receive(network.now, c) })
}

func (node *testNode) StartSync(addr string) {
	network := node.network
	node.traceAction("exchange %s", addr)
	if network.cut != nil && (network.cut(node.addr, addr) || network.cut(addr, node.addr)) {
		return
	}
	c := copyMessage(node.view.SyncMessage(SyncRequest))
	network.schedule(addr, network.delay, func(to *testNode) {
		if to.view.Receive(network.now, c) {
			back := copyMessage(to.view.SyncMessage(SyncResponse))
			network.schedule(node.addr, network.delay, func(from *testNode) { from.view.Receive(network.now, back) })
		}
	})
}

func (node *testNode) MemberChanged(name, zone string, state State) {
	node.traceAction("member %s %s %v", name, zone, state)
	if state == Dead {
		node.deathCounts[name]++
	}
}
func (node *testNode) NoteReceived(key []byte, n Note, sinceMade Time) Spread {
	node.traceAction("heard %s %+v %d", key, n, sinceMade)
	node.noteVersions[string(key)] = n.Version
	if key[0] == 'e' {
		return SpreadQuietly
	}
	return SpreadUrgently
}
func (node *testNode) Log(text string) {
	node.traceAction("log %s", text)
	node.network.logLines = append(node.network.logLines, node.view.config.Name+": "+text)
}

func (network *testNetwork) start(name, zone, addr string, incarnation uint64) *testNode {
	node := &testNode{network: network, addr: addr, noteVersions: map[string]uint64{}, deathCounts: map[string]int{}}
	network.nodes[addr], network.order = node, append(network.order, node)
	node.view = New(network.now, Config{Name: name, Zone: zone, Addr: addr, Incarnation: incarnation, RandomSeed: uint64(len(network.order)) * 977,
		Period: period, Seeds: []string{"a0", "b0"}, MaxMembers: 4096, NoteTTL: 20 * period}, node)
	return node
}

// startFleet starts the given number of fronts in each of three zones.
func startFleet(seed uint64, each int) *testNetwork {
	network := newTestNetwork(seed)
	for k := range each {
		for _, z := range []string{"a", "b", "c"} {
			network.start(fmt.Sprintf("%s%d", z, k), z, fmt.Sprintf("%s%d", z, k), 1)
		}
	}
	return network
}

func (network *testNetwork) run(span Time) {
	for end := network.now + span; ; {
		next := end
		if len(network.deliveries) > 0 {
			next = min(next, network.deliveries[0].at)
		}
		for _, node := range network.order {
			if !node.stopped {
				next = min(next, max(node.view.Next(), network.now))
			}
		}
		if network.now = next; network.now >= end {
			return
		}
		for len(network.deliveries) > 0 && network.deliveries[0].at <= network.now {
			l := heap.Pop(&network.deliveries).(delivery)
			if node := network.nodes[l.to]; node != nil && node.stopped {
				network.schedule(l.to, 100, l.deliver) // datagrams to a stopped process wait for it
			} else if node != nil {
				l.deliver(node)
			}
		}
		for _, node := range network.order {
			if !node.stopped && node.view.Next() <= network.now {
				node.view.Tick(network.now)
			}
		}
	}
}

func (node *testNode) stateOf(name string) string {
	for _, e := range node.view.List() {
		if e.Name == name {
			return e.State.String()
		}
	}
	return "unknown"
}

func (network *testNetwork) kill(addr string) {
	node := network.nodes[addr]
	delete(network.nodes, addr)
	for k, o := range network.order {
		if o == node {
			network.order = append(network.order[:k:k], network.order[k+1:]...)
		}
	}
}

// wantState checks that all nodes hold a member in the same state.
func (network *testNetwork) wantState(t *testing.T, name, want string) {
	t.Helper()
	for _, node := range network.order {
		if got := node.stateOf(name); got != want && node.view.config.Name != name {
			t.Errorf("for %s, %s is %s, want %s", node.view.config.Name, name, got, want)
		}
	}
}

func (network *testNetwork) wantNoDeaths(t *testing.T) {
	t.Helper()
	for _, node := range network.order {
		for name, times := range node.deathCounts {
			t.Errorf("%s declared %s dead %d times", node.view.config.Name, name, times)
		}
	}
}

// TestAllMembersJoin checks that all fronts find each other through the seeds despite message loss, and that
// none is declared dead.
func TestAllMembersJoin(t *testing.T) {
	network := startFleet(1, 20)
	network.loss, network.delay = 50, 300
	network.run(60 * period)
	for _, node := range network.order {
		if got := len(node.view.List()); got != 60 || !node.view.Joined() {
			t.Errorf("%s holds %d members, joined %v", node.view.config.Name, got, node.view.Joined())
		}
	}
	network.wantNoDeaths(t)
}

// TestRestartAfterDeath checks that a killed front is declared dead by all, and that a new process of its
// name is alive for all soon after its start.
func TestRestartAfterDeath(t *testing.T) {
	network := startFleet(2, 6)
	network.run(20 * period)
	network.kill("c3")
	network.run(60 * period)
	network.wantState(t, "c3", "dead")
	network.start("c3", "c", "c3", 2)
	network.run(6 * period)
	network.wantState(t, "c3", "alive")
	network.kill("c3")
	network.start("c3", "b", "elsewhere", 1) // its clock was set back, and its address and zone have changed
	network.run(90 * period)
	network.wantState(t, "c3", "alive")
	for _, node := range network.order {
		for _, e := range node.view.List() {
			if e.Name == "c3" && (e.Addr != "elsewhere" || e.Zone != "b") {
				t.Errorf("for %s, c3 has address %s and zone %s", node.view.config.Name, e.Addr, e.Zone)
			}
		}
	}
}

// TestLeave checks that all members know of a front's announced leaving within two periods and do not declare
// it dead.
func TestLeave(t *testing.T) {
	network := startFleet(3, 10)
	network.run(20 * period)
	network.nodes["b4"].view.Leave(network.now)
	network.run(2 * period)
	network.kill("b4")
	network.wantState(t, "b4", "left")
	network.run(40 * period)
	network.wantNoDeaths(t)
}

// TestPartitionHeals checks that the halves of a partitioned fleet declare each other dead, and find each
// other soon after the partition ends.
func TestPartitionHeals(t *testing.T) {
	network := startFleet(4, 8)
	network.run(20 * period)
	network.cut = func(from, to string) bool { return (from[0] == 'a') != (to[0] == 'a') }
	network.run(120 * period)
	if got := network.nodes["a1"].stateOf("b1"); got != "dead" {
		t.Errorf("for a1, b1 is %s during the partition, want dead", got)
	}
	network.cut = nil
	network.run(40 * period)
	for _, node := range network.order {
		for _, e := range node.view.List() {
			if e.State != Alive {
				t.Errorf("for %s, %s is %v", node.view.config.Name, e.Name, e.State)
			}
		}
	}
}

// TestOneWayCut checks that a front whose messages do not reach one zone is kept alive by the other members,
// which still hear it.
func TestOneWayCut(t *testing.T) {
	network := startFleet(5, 6)
	network.run(20 * period)
	network.cut = func(from, to string) bool { return from == "a2" && to[0] == 'b' }
	network.run(100 * period)
	network.wantNoDeaths(t)
}

// TestStalledFrontDeclaresNobodyDead checks that a front that was stopped for 3 s, or has lost its own
// network, declares no other member dead.
func TestStalledFrontDeclaresNobodyDead(t *testing.T) {
	network := startFleet(6, 6)
	network.run(20 * period)
	node := network.nodes["a1"]
	for range 5 {
		node.stopped = true
		network.run(3 * 10_000)
		node.stopped = false
		network.run(3 * period)
	}
	if node.view.Health() == 0 {
		t.Error("local health is not raised after stalls")
	}
	network.cut = func(from, to string) bool { return from == "a1" || to == "a1" }
	network.run(200 * period)
	network.cut = nil
	network.run(60 * period)
	for _, o := range network.order {
		for name := range o.deathCounts {
			if name != "a1" {
				t.Errorf("%s declared %s dead", o.view.config.Name, name)
			}
		}
	}
	network.wantState(t, "a1", "alive")
}

// TestNameConflict checks that of two processes with one name the newer one stays and the older one leaves
// the protocol, instead of both refuting each other forever.
func TestNameConflict(t *testing.T) {
	network := startFleet(7, 4)
	network.run(20 * period)
	twin := network.start("a1", "a", "twin", 5)
	network.run(20 * period)
	if !network.nodes["a1"].view.Replaced() || twin.view.Replaced() {
		t.Error("the older process was not replaced, or the newer one was")
	}
	if !strings.Contains(strings.Join(network.logLines, "\n"), "another front goes by this name") {
		t.Error("the name conflict was not logged")
	}
}

// TestMadeUpMembers checks that 200 made-up members a second do not grow the table beyond its limit, do not
// replace live members and are not held for alive in the end.
func TestMadeUpMembers(t *testing.T) {
	network := startFleet(8, 4)
	for _, node := range network.order {
		node.view.config.MaxMembers = 100
	}
	network.run(20 * period)
	node := network.nodes["a1"]
	for k := range 2000 {
		node.view.Receive(network.now, &Message{Kind: Gossip, Sender: Fact{Name: fmt.Appendf(nil, "x%d", k), Zone: fmt.Appendf(nil, "z%d", k), Addr: []byte("nowhere"), Incarnation: 1}})
		network.run(50)
	}
	if got := len(node.view.members); got > 100 {
		t.Errorf("the table holds %d members, want at most 100", got)
	}
	if len(node.view.zones) > maxZones {
		t.Errorf("the view holds %d zones", len(node.view.zones))
	}
	network.run(400 * period)
	for k := range 4 {
		network.wantState(t, fmt.Sprintf("b%d", k), "alive")
	}
	ghosts := 0
	for _, e := range node.view.List() {
		if e.Name[0] == 'x' && e.State != Dead {
			ghosts++
		}
	}
	if ghosts > 0 {
		t.Errorf("%d made-up members are not dead, health %d", ghosts, node.view.Health())
	}
}

// TestNotesSpread checks that a note reaches all fronts within a period, and that older versions and expired
// notes are rejected.
func TestNotesSpread(t *testing.T) {
	network := startFleet(9, 30)
	network.loss, network.delay = 50, 300
	network.run(30 * period)
	network.nodes["a3"].view.Publish(network.now, "pz", 3, []byte("body"), SpreadUrgently)
	network.run(period)
	missing := 0
	for _, node := range network.order {
		if node.noteVersions["pz"] != 3 && node.addr != "a3" {
			missing++
		}
	}
	if missing > 1 {
		t.Errorf("%d of %d have not received the note after a period", missing, len(network.order))
	}
	network.nodes["b3"].view.Receive(network.now, &Message{Kind: Gossip, Sender: Fact{Name: []byte("a1"), Addr: []byte("a1"), Zone: []byte("a"), Incarnation: 1},
		Notes: []Note{{Key: []byte("pz"), Version: 2}, {Key: []byte("old"), Version: 1, Age: 21 * period}}})
	if node := network.nodes["b3"]; node.noteVersions["pz"] != 3 || node.noteVersions["old"] != 0 {
		t.Error("an older version or an expired note was accepted")
	}
	network.run(30 * period)
	if node := network.nodes["c3"]; len(node.view.noteByKey) != 0 {
		t.Errorf("%d expired notes are kept", len(node.view.noteByKey))
	}
}

// TestDeterminism checks that two runs with one seed send the same number of bytes and messages.
func TestDeterminism(t *testing.T) {
	run := func() (int, int) {
		network := startFleet(10, 10)
		network.loss, network.delay = 100, 500
		network.run(40 * period)
		network.kill("b2")
		network.run(40 * period)
		return network.bytes, network.sequence
	}
	b1, s1 := run()
	if b2, s2 := run(); b1 != b2 || s1 != s2 {
		t.Errorf("the first run sent %d bytes and %d messages, the second %d and %d", b1, s1, b2, s2)
	}
}

// TestTraffic checks that the traffic of a front in steady operation does not grow with the fleet.
func TestTraffic(t *testing.T) {
	for _, each := range []int{33, 100} {
		network := startFleet(11, each)
		network.run(150 * period)
		before := network.bytes
		network.run(40 * period)
		perSecond := float64(network.bytes-before) / float64(len(network.order)) / (40 * float64(period) / 10_000)
		t.Logf("%d members: %.0f bytes a second for each", 3*each, perSecond)
		if perSecond > 600 {
			t.Errorf("%d members: %.0f bytes a second for each", 3*each, perSecond)
		}
	}
}

// TestHostileMessages checks that arbitrary messages neither exceed the limits of a view nor change the state
// of the front itself.
func TestHostileMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := startFleet(12, 2)
		network.run(5 * period)
		node := network.nodes["a1"]
		name := rapid.SampledFrom([]string{"a0", "a1", "b0", "", "x", strings.Repeat("y", 65)})
		fact := func() Fact {
			return Fact{Name: []byte(name.Draw(t, "name")), Zone: []byte(name.Draw(t, "zone")), Addr: []byte(name.Draw(t, "addr")),
				By: []byte(name.Draw(t, "by")), Incarnation: rapid.Uint64().Draw(t, "incarnation") % 4, State: State(rapid.IntRange(0, 5).Draw(t, "state"))}
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			in := &Message{Kind: Kind(rapid.IntRange(0, 9).Draw(t, "kind")), Seq: rapid.Uint64Range(0, 20).Draw(t, "seq"), Sender: fact(),
				To: []byte(name.Draw(t, "to")), Target: []byte(name.Draw(t, "target")), TargetAddr: []byte(name.Draw(t, "at"))}
			for range rapid.IntRange(0, 3).Draw(t, "facts") {
				in.Facts = append(in.Facts, fact())
				in.Notes = append(in.Notes, Note{Key: []byte(name.Draw(t, "key")), Version: rapid.Uint64().Draw(t, "version"), Age: rapid.Int64().Draw(t, "age")})
			}
			node.view.Receive(network.now, in)
			network.run(period / 2)
		}
		if e := node.view.List()[0]; e.Name != "a1" || e.State != Alive {
			t.Errorf("the front's own entry is %+v", e)
		}
		if len(node.view.members) > 16 || len(node.view.zones) > 16 {
			t.Errorf("%d members and %d zones, want at most 16 of each", len(node.view.members), len(node.view.zones))
		}
	})
}

// BenchmarkReceive measures a ping with three facts that contain nothing new, in a fleet of 1,000 members.
func BenchmarkReceive(b *testing.B) {
	network := newTestNetwork(13)
	node := network.start("a1", "a", "a1", 1)
	for k := range 1000 {
		node.view.Receive(network.now, &Message{Kind: Gossip, Sender: Fact{Name: fmt.Appendf(nil, "m%d", k), Zone: fmt.Appendf(nil, "z%d", k%3), Addr: []byte("x"), Incarnation: 1}})
	}
	fact := func(k int) Fact {
		return Fact{Name: fmt.Appendf(nil, "m%d", k), Zone: fmt.Appendf(nil, "z%d", k%3), Addr: []byte("x"), Incarnation: 1}
	}
	in := &Message{Kind: Gossip, Sender: fact(1), Facts: []Fact{fact(2), fact(3), fact(4)}}
	b.ReportAllocs()
	for b.Loop() {
		node.view.Receive(network.now, in)
	}
}
