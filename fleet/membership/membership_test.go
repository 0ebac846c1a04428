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

// net is a network of views on one virtual clock.
type net struct {
	now    Time
	chance random.Source
	nodes  map[string]*node
	order  []*node
	post   letters
	serial int
	loss   int                        // of 1,000 datagrams
	delay  Time                       // of each, from half of it to one and a half
	cut    func(from, to string) bool // by address; whole exchanges need both ways
	bytes  int
	log    []string
	trace  io.Writer // where every action is written, for a digest; nil: nowhere
}

// act writes one action of a node to the trace.
func (d *node) act(format string, values ...any) {
	if d.net.trace != nil {
		fmt.Fprintf(d.net.trace, "%d %s ", d.net.now, d.addr)
		fmt.Fprintf(d.net.trace, format+"\n", values...)
	}
}

type node struct {
	net     *net
	m       *Members
	addr    string
	stopped bool
	heard   map[string]uint64
	dead    map[string]int // times that each was declared dead here
}

type letter struct {
	at     Time
	serial int
	to     string
	do     func(n *node)
}

type letters []letter

func (l letters) Len() int { return len(l) }
func (l letters) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].serial < l[j].serial
}
func (l letters) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *letters) Push(x any)   { *l = append(*l, x.(letter)) }
func (l *letters) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

func newNet(seed uint64) *net {
	return &net{now: 1_000_000, chance: random.New(seed), nodes: map[string]*node{}, delay: 50}
}

// copied keeps a message beyond the call.
func copied(in *Message) *Message {
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

func (n *net) put(to string, after Time, do func(n *node)) {
	n.serial++
	heap.Push(&n.post, letter{n.now + after, n.serial, to, do})
}

func (d *node) Send(addr string, m *Message) {
	n := d.net
	d.act("send %s %+v", addr, *m)
	for k := range m.Facts {
		n.bytes += m.Facts[k].size()
	}
	for k := range m.Notes {
		n.bytes += m.Notes[k].size()
	}
	n.bytes += 40 + len(m.Sender.Name) + len(m.Sender.Addr)
	if n.cut != nil && n.cut(d.addr, addr) || n.chance.Below(1000) < int64(n.loss) {
		return
	}
	c := copied(m)
	n.put(addr, n.delay/2+n.chance.Below(n.delay), func(to *node) { to.m.Receive(n.now, c) })
}

func (d *node) StartSync(addr string) {
	n := d.net
	d.act("exchange %s", addr)
	if n.cut != nil && (n.cut(d.addr, addr) || n.cut(addr, d.addr)) {
		return
	}
	c := copied(d.m.SyncMessage(SyncRequest))
	n.put(addr, n.delay, func(to *node) {
		if to.m.Receive(n.now, c) {
			back := copied(to.m.SyncMessage(SyncResponse))
			n.put(d.addr, n.delay, func(from *node) { from.m.Receive(n.now, back) })
		}
	})
}

func (d *node) MemberChanged(name, zone string, state State) {
	d.act("member %s %s %v", name, zone, state)
	if state == Dead {
		d.dead[name]++
	}
}
func (d *node) NoteReceived(key []byte, n Note, sinceMade Time) Spread {
	d.act("heard %s %+v %d", key, n, sinceMade)
	d.heard[string(key)] = n.Version
	if key[0] == 'e' {
		return SpreadQuietly
	}
	return SpreadUrgently
}
func (d *node) Log(text string) {
	d.act("log %s", text)
	d.net.log = append(d.net.log, d.m.self.Name+": "+text)
}

func (n *net) start(name, zone, addr string, incarnation uint64) *node {
	d := &node{net: n, addr: addr, heard: map[string]uint64{}, dead: map[string]int{}}
	n.nodes[addr], n.order = d, append(n.order, d)
	d.m = New(n.now, Config{Name: name, Zone: zone, Addr: addr, Incarnation: incarnation, RandomSeed: uint64(len(n.order)) * 977,
		Period: period, Seeds: []string{"a0", "b0"}, MaxMembers: 4096, NoteTTL: 20 * period}, d)
	return d
}

// fleet starts so many in each of three zones.
func fleet(seed uint64, each int) *net {
	n := newNet(seed)
	for k := range each {
		for _, z := range []string{"a", "b", "c"} {
			n.start(fmt.Sprintf("%s%d", z, k), z, fmt.Sprintf("%s%d", z, k), 1)
		}
	}
	return n
}

func (n *net) run(span Time) {
	for end := n.now + span; ; {
		next := end
		if len(n.post) > 0 {
			next = min(next, n.post[0].at)
		}
		for _, d := range n.order {
			if !d.stopped {
				next = min(next, max(d.m.Next(), n.now))
			}
		}
		if n.now = next; n.now >= end {
			return
		}
		for len(n.post) > 0 && n.post[0].at <= n.now {
			l := heap.Pop(&n.post).(letter)
			if d := n.nodes[l.to]; d != nil && d.stopped {
				n.put(l.to, 100, l.do) // a stopped process has its datagrams wait for it
			} else if d != nil {
				l.do(d)
			}
		}
		for _, d := range n.order {
			if !d.stopped && d.m.Next() <= n.now {
				d.m.Tick(n.now)
			}
		}
	}
}

func (d *node) state(name string) string {
	for _, e := range d.m.List() {
		if e.Name == name {
			return e.State.String()
		}
	}
	return "unknown"
}

func (n *net) kill(addr string) {
	d := n.nodes[addr]
	delete(n.nodes, addr)
	for k, o := range n.order {
		if o == d {
			n.order = append(n.order[:k:k], n.order[k+1:]...)
		}
	}
}

// all wants the same held of a member everywhere.
func (n *net) all(t *testing.T, name, want string) {
	t.Helper()
	for _, d := range n.order {
		if got := d.state(name); got != want && d.m.self.Name != name {
			t.Errorf("%s holds %s for %s, not %s", d.m.self.Name, name, got, want)
		}
	}
}

func (n *net) quiet(t *testing.T) {
	t.Helper()
	for _, d := range n.order {
		for name, times := range d.dead {
			t.Errorf("%s declared %s dead %d times", d.m.self.Name, name, times)
		}
	}
}

// TestAllFindEachOther: through seeds, with loss, and nobody is given up.
func TestAllFindEachOther(t *testing.T) {
	n := fleet(1, 20)
	n.loss, n.delay = 50, 300
	n.run(60 * period)
	for _, d := range n.order {
		if got := len(d.m.List()); got != 60 || !d.m.Joined() {
			t.Errorf("%s holds %d, joined %v", d.m.self.Name, got, d.m.Joined())
		}
	}
	n.quiet(t)
}

// TestDeadAndBack: one that is killed is dead everywhere; a new life under its name is alive everywhere at once.
func TestDeadAndBack(t *testing.T) {
	n := fleet(2, 6)
	n.run(20 * period)
	n.kill("c3")
	n.run(60 * period)
	n.all(t, "c3", "dead")
	n.start("c3", "c", "c3", 2)
	n.run(6 * period)
	n.all(t, "c3", "alive")
	n.kill("c3")
	n.start("c3", "b", "elsewhere", 1) // its clock was set back, and it moved
	n.run(90 * period)
	n.all(t, "c3", "alive")
	for _, d := range n.order {
		for _, e := range d.m.List() {
			if e.Name == "c3" && (e.Addr != "elsewhere" || e.Zone != "b") {
				t.Errorf("%s has it at %s in %s", d.m.self.Name, e.Addr, e.Zone)
			}
		}
	}
}

// TestLeave: a planned end is known everywhere within two periods, and is no death.
func TestLeave(t *testing.T) {
	n := fleet(3, 10)
	n.run(20 * period)
	n.nodes["b4"].m.Leave(n.now)
	n.run(2 * period)
	n.kill("b4")
	n.all(t, "b4", "left")
	n.run(40 * period)
	n.quiet(t)
}

// TestHalvesFindEachOther: a fleet cut in two buries the other half, and is whole again soon after the cut ends.
func TestHalvesFindEachOther(t *testing.T) {
	n := fleet(4, 8)
	n.run(20 * period)
	n.cut = func(from, to string) bool { return (from[0] == 'a') != (to[0] == 'a') }
	n.run(120 * period)
	if got := n.nodes["a1"].state("b1"); got != "dead" {
		t.Errorf("b1 is %s for a1 during the cut", got)
	}
	n.cut = nil
	n.run(40 * period)
	for _, d := range n.order {
		for _, e := range d.m.List() {
			if e.State != Alive {
				t.Errorf("%s holds %s for %v", d.m.self.Name, e.Name, e.State)
			}
		}
	}
}

// TestOneWayCut: one that hears all and is not heard by one zone is vouched for by the others.
func TestOneWayCut(t *testing.T) {
	n := fleet(5, 6)
	n.run(20 * period)
	n.cut = func(from, to string) bool { return from == "a2" && to[0] == 'b' }
	n.run(100 * period)
	n.quiet(t)
}

// TestStoppedFrontEvictsNobody: one that stood still for 3 s, or has no network of its own, judges nobody.
func TestStoppedFrontEvictsNobody(t *testing.T) {
	n := fleet(6, 6)
	n.run(20 * period)
	d := n.nodes["a1"]
	for range 5 {
		d.stopped = true
		n.run(3 * 10_000)
		d.stopped = false
		n.run(3 * period)
	}
	if d.m.Health() == 0 {
		t.Error("it does not doubt itself")
	}
	n.cut = func(from, to string) bool { return from == "a1" || to == "a1" }
	n.run(200 * period)
	n.cut = nil
	n.run(60 * period)
	for _, o := range n.order {
		for name := range o.dead {
			if name != "a1" {
				t.Errorf("%s declared %s dead", o.m.self.Name, name)
			}
		}
	}
	n.all(t, "a1", "alive")
}

// TestNameUsedTwice: the newer life holds and the older falls out, instead of refuting each other for ever.
func TestNameUsedTwice(t *testing.T) {
	n := fleet(7, 4)
	n.run(20 * period)
	twin := n.start("a1", "a", "twin", 5)
	n.run(20 * period)
	if !n.nodes["a1"].m.Replaced() || twin.m.Replaced() {
		t.Error("the older one goes on, or the newer one does not")
	}
	if !strings.Contains(strings.Join(n.log, "\n"), "another front goes by this name") {
		t.Error("the log does not say so")
	}
}

// TestUnknownMembers: 200 made-up members a second fill no table, push no living one out and are forgotten.
func TestUnknownMembers(t *testing.T) {
	n := fleet(8, 4)
	for _, d := range n.order {
		d.m.self.MaxMembers = 100
	}
	n.run(20 * period)
	d := n.nodes["a1"]
	for k := range 2000 {
		d.m.Receive(n.now, &Message{Kind: Gossip, Sender: Fact{Name: fmt.Appendf(nil, "x%d", k), Zone: fmt.Appendf(nil, "z%d", k), Addr: []byte("nowhere"), Incarnation: 1}})
		n.run(50)
	}
	if got := len(d.m.members); got > 100 {
		t.Errorf("%d members are held", got)
	}
	if len(d.m.zones) > maxZones {
		t.Errorf("%d zones are held", len(d.m.zones))
	}
	n.run(400 * period)
	for k := range 4 {
		n.all(t, fmt.Sprintf("b%d", k), "alive")
	}
	ghosts := 0
	for _, e := range d.m.List() {
		if e.Name[0] == 'x' && e.State != Dead {
			ghosts++
		}
	}
	if ghosts > 0 {
		t.Errorf("%d made-up members are still held for alive, health %d", ghosts, d.m.Health())
	}
}

// TestNotesSpread: a note reaches all within a period, newer ones replace it, and an old one is dropped.
func TestNotesSpread(t *testing.T) {
	n := fleet(9, 30)
	n.loss, n.delay = 50, 300
	n.run(30 * period)
	n.nodes["a3"].m.Publish(n.now, "pz", 3, []byte("body"), SpreadUrgently)
	n.run(period)
	late := 0
	for _, d := range n.order {
		if d.heard["pz"] != 3 && d.addr != "a3" {
			late++
		}
	}
	if late > 1 {
		t.Errorf("%d of %d have not heard it after a period", late, len(n.order))
	}
	n.nodes["b3"].m.Receive(n.now, &Message{Kind: Gossip, Sender: Fact{Name: []byte("a1"), Addr: []byte("a1"), Zone: []byte("a"), Incarnation: 1},
		Notes: []Note{{Key: []byte("pz"), Version: 2}, {Key: []byte("old"), Version: 1, Age: 21 * period}}})
	if d := n.nodes["b3"]; d.heard["pz"] != 3 || d.heard["old"] != 0 {
		t.Error("an older version, or an old note, was taken")
	}
	n.run(30 * period)
	if d := n.nodes["c3"]; len(d.m.noteByKey) != 0 {
		t.Errorf("%d notes are kept past their life", len(d.m.noteByKey))
	}
}

// TestSameCallsSameActions: two runs of one seed lead to the same bytes.
func TestSameCallsSameActions(t *testing.T) {
	play := func() (int, int) {
		n := fleet(10, 10)
		n.loss, n.delay = 100, 500
		n.run(40 * period)
		n.kill("b2")
		n.run(40 * period)
		return n.bytes, n.serial
	}
	b1, s1 := play()
	if b2, s2 := play(); b1 != b2 || s1 != s2 {
		t.Errorf("%d bytes and %d messages, then %d and %d", b1, s1, b2, s2)
	}
}

// TestTraffic: what a front sends while all is well does not grow with the fleet.
func TestTraffic(t *testing.T) {
	for _, each := range []int{33, 100} {
		n := fleet(11, each)
		n.run(150 * period)
		before := n.bytes
		n.run(40 * period)
		perSecond := float64(n.bytes-before) / float64(len(n.order)) / (40 * float64(period) / 10_000)
		t.Logf("%d members: %.0f bytes a second for each", 3*each, perSecond)
		if perSecond > 600 {
			t.Errorf("%d members: %.0f bytes a second for each", 3*each, perSecond)
		}
	}
}

// TestHostileMessages: whatever is taken in, bounds hold and the front itself stays alive.
func TestHostileMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fleet(12, 2)
		n.run(5 * period)
		d := n.nodes["a1"]
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
			d.m.Receive(n.now, in)
			n.run(period / 2)
		}
		if e := d.m.List()[0]; e.Name != "a1" || e.State != Alive {
			t.Errorf("it holds itself for %+v", e)
		}
		if len(d.m.members) > 16 || len(d.m.zones) > 16 {
			t.Errorf("%d members, %d zones", len(d.m.members), len(d.m.zones))
		}
	})
}

// BenchmarkTake: a ping with three facts in which nothing is new, in a fleet of 1,000.
func BenchmarkTake(b *testing.B) {
	n := newNet(13)
	d := n.start("a1", "a", "a1", 1)
	for k := range 1000 {
		d.m.Receive(n.now, &Message{Kind: Gossip, Sender: Fact{Name: fmt.Appendf(nil, "m%d", k), Zone: fmt.Appendf(nil, "z%d", k%3), Addr: []byte("x"), Incarnation: 1}})
	}
	fact := func(k int) Fact {
		return Fact{Name: fmt.Appendf(nil, "m%d", k), Zone: fmt.Appendf(nil, "z%d", k%3), Addr: []byte("x"), Incarnation: 1}
	}
	in := &Message{Kind: Gossip, Sender: fact(1), Facts: []Fact{fact(2), fact(3), fact(4)}}
	b.ReportAllocs()
	for b.Loop() {
		d.m.Receive(n.now, in)
	}
}
