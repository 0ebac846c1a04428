// Package world plays a fleet on a virtual clock: hundreds of fronts, each the real core (internal/front) with its parsers,
// its decision module and its part of the fleet, among stand-in stores, clients and discovery. What goes between them is
// the bytes of the real protocols, on links in memory that can be cut, delayed and lost by pair, zone and direction. One
// goroutine, one queue of events, one seed: the same plan leads to the same ledgers.
//
// It decides nothing that a front decides, and judges by what the stores did: probes, connections, attempts, what was turned
// away, how near a cold store came to falling over, and the rules over all fronts together.
package world

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"time"

	"micatrack/balance"
	"micatrack/fleet"
	"micatrack/fleet/lease"
	"micatrack/fleet/membership"
	"micatrack/fleet/positions"
	"micatrack/fleet/summary"
	"micatrack/fleet/zones"
	"micatrack/internal/fleetadapter"
	"micatrack/internal/front"
	"micatrack/internal/peers"
	"micatrack/internal/random"
	"micatrack/internal/settings"
	"micatrack/internal/standin"
)

// Time is a moment or a span in whole tenths of a millisecond, of the world's one clock.
type Time = front.Time

const (
	Millisecond = Time(10)
	Second      = 1000 * Millisecond
	// exchangeWait is how long internal/peers waits for one side of a whole exchange.
	exchangeWait = 2 * Second
	start        = Time(17_672_256_000_000) // Unix time at which every world begins
)

// Plan is what a world is made of.
type Plan struct {
	Settings  balance.Settings // zone, number of fronts and seed are filled in
	Host      settings.Process
	Fronts    int // spread over the zones in turn
	Zones     []string
	Groups    int // each with a member in every zone; the primary is in each zone in turn
	Members   int // of a group in each zone; 0: one
	Cores     int // of a store
	Takes     Time
	Queue     int  // requests that wait at a store before it turns others away; 0: any
	Lag       Time // of every replica
	Delay     Time // one way, between any two
	ListDelay Time // beside that, until a change of the list is told
	Spread    Time // most that it takes longer to a front than to another
	Rate      float64
	Kinds     []Kind
	Patience  Time           // of clients
	Watch     bool           // positions are asked of watchers
	Fleet     bool           // fronts know each other
	WatchWait Time           // for a watcher\'s answer
	Period    Time           // of the fleet's talk
	PeerDelay Time           // one way, from half of it to one and a half
	PeerLoss  int            // of 1,000 datagrams
	Without   func(int) bool // fronts that have the fleet off; nil: none
	Regions   []string       // of each zone; nil: all are in one
	Distance  Time           // one way between regions, beside Delay and PeerDelay
	Replicas  int            // stores of a group, spread over the zones in turn; 0: Members in every zone
	Changes   bool           // discovery tells what has changed, not the whole list
	Links     int            // connections that a front may hold; 0: 1,000
	Voters    int            // control machines that grant leases; 0: there are none, and who wants a lease holds it
	Terms     lease.Terms    // of leases
	Meter     *Meter         // nil: no time is measured
	Seed      uint64
	Log       func(at Time, front, text string) // nil: dropped
}

// Node is one end of a link.
type Node struct {
	Name, Zone string
	Front      bool
	Region     string // empty: that of everybody
}

// event is something that happens at a moment; of two at one moment the one that was planned first.
type event struct {
	at  Time
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// World is one play.
type World struct {
	Plan
	Now    Time
	Fronts []*Front
	Stores []*Store
	Groups []*standin.Group
	Done   []Done
	Peers  struct{ Datagrams, Bytes int } // sent between fronts
	Voters []*Control

	queue    queue
	seq      uint64
	chance   random.Source
	rules    []*rule
	held     []parcel // what waits for a cut to end
	lists    []front.StoreEntry
	listing  bool // a change of it is on its way
	changed  []int
	byAddr   map[string]*Store
	byPeer   map[string]*Front
	after    [][]int64 // of each group and session, the newest write's position
	requests int
	load     bool
	sent     map[string]Time // when a read's newest attempt set out
}

// rule is a cut of the links that it names, one way.
type rule struct{ on func(from, to Node) bool }

// parcel is something that waits for a cut to end.
type parcel struct {
	from, to Node
	do       func()
}

// New builds a world; its fronts serve from the beginning.
func New(p Plan) *World {
	w := &World{Plan: p, Now: start, chance: random.New(p.Seed), byAddr: map[string]*Store{}, byPeer: map[string]*Front{},
		sent: map[string]Time{}}
	clock := func() time.Time { return time.Unix(0, w.Now*100_000) }
	for g := range p.Groups {
		var names, where []string
		for k := range p.Zones {
			zone := p.Zones[(g+k)%len(p.Zones)]
			for m := range max(p.Members, 1) {
				names, where = append(names, fmt.Sprintf("g%d-%s-%d", g, zone, m)), append(where, zone)
			}
		}
		if p.Replicas > 0 {
			names, where = p.spread(g)
		}
		group := standin.NewGroup(uint64(g+1), 3*time.Second, names...)
		group.SetClock(clock)
		w.Groups = append(w.Groups, group)
		w.after = append(w.after, make([]int64, sessions))
		for k, name := range names {
			s := &Store{Node: Node{Name: name, Zone: where[k], Region: p.region(where[k])}, Group: group, w: w, addr: fmt.Sprintf("127.0.0.1:%d", len(w.Stores)+1),
				conns: map[*link]bool{}}
			if k > 0 {
				group.SetLag(name, time.Duration(p.Lag)*100*time.Microsecond)
			}
			w.Stores = append(w.Stores, s)
			w.byAddr[s.addr] = s
			w.lists = append(w.lists, front.StoreEntry{ID: name, Addr: s.addr, Member: balance.Member{Group: group.ID, Zone: s.Zone,
				Condition: balance.Ready, Primary: k == 0, Size: 1}})
		}
	}
	for n := range p.Fronts {
		zone := p.Zones[n%len(p.Zones)]
		f := &Front{Node: Node{Name: fmt.Sprint("f", n), Zone: zone, Front: true, Region: p.region(zone)}, w: w, n: n,
			addr: fmt.Sprintf("127.1.%d.%d:1", n/250, n%250+1), chance: random.New(p.Seed*31 + uint64(n))}
		w.Fronts = append(w.Fronts, f)
		w.byPeer[f.addr] = f
	}
	for n := range p.Voters {
		w.Voters = append(w.Voters, newControl(w, n))
	}
	for _, f := range w.Fronts {
		f.Start()
	}
	return w
}

// At has something happen after a span.
func (w *World) At(after Time, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + max(after, 0), w.seq, do})
}

// Run lets a span of time pass.
func (w *World) Run(span Time) {
	for end := w.Now + span; ; {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.Now = end
			return
		}
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
}

// Cut keeps back whatever goes one way on the links that it names, as a network that is down does: connections stay as
// they are, and what was kept back arrives once heal is called. Datagrams are lost.
func (w *World) Cut(on func(from, to Node) bool) (heal func()) {
	r := &rule{on}
	w.rules = append(w.rules, r)
	return func() {
		for k := range w.rules {
			if w.rules[k] == r {
				w.rules = append(w.rules[:k:k], w.rules[k+1:]...)
				break
			}
		}
		late := w.held
		w.held = nil
		for _, p := range late {
			w.carry(p.from, p.to, p.do)
		}
	}
}

func (w *World) cut(from, to Node) bool {
	for _, r := range w.rules {
		if r.on(from, to) {
			return true
		}
	}
	return false
}

// carry has something arrive at the other end of a link. All of one link take the same time, so their order holds.
func (w *World) carry(from, to Node, do func()) {
	if w.cut(from, to) {
		w.held = append(w.held, parcel{from, to, do})
		return
	}
	w.At(w.Delay+w.distance(from, to), do)
}

// carryWithin is carry for what its sender gives up after a span.
func (w *World) carryWithin(span Time, from, to Node, do func()) {
	sent := w.Now
	w.carry(from, to, func() {
		if w.Now-sent <= span {
			do()
		}
	})
}

// Change edits the list of stores and tells it to all fronts, with all else that changes at the same moment.
func (w *World) Change(edit func(l *front.StoreEntry)) {
	for k := range w.lists {
		before := w.lists[k]
		edit(&w.lists[k])
		if w.lists[k] != before && !slices.Contains(w.changed, k) {
			w.changed = append(w.changed, k)
		}
	}
	if w.listing {
		return
	}
	w.listing = true
	w.At(w.Delay+w.ListDelay, func() {
		w.listing = false
		l := w.news()
		for _, f := range w.Fronts {
			late := Time(0)
			if w.Spread > 0 {
				late = w.chance.Below(w.Spread)
			}
			life := f.life
			tell := func() {
				if f.core != nil && f.life == life {
					f.told(l)
					f.wake()
				}
			}
			if late == 0 {
				tell()
			} else {
				w.At(late, tell)
			}
		}
	})
}

func (w *World) whole(news balance.ListKind) front.StoreList {
	return front.StoreList{Kind: news, Entries: append([]front.StoreEntry(nil), w.lists...)}
}

// Front is one front of the world.
type Front struct {
	Node
	w       *World
	n       int
	addr    string
	life    int
	core    *front.Core
	fleet   *fleet.Fleet
	bridge  fleetadapter.Adapter
	watch   *positions.Service
	Lies    func(a *positions.Answer) // what it says as a watcher is changed by that
	Mute    bool                      // as a watcher it says nothing
	msg     membership.Message
	events  []front.Event
	links   map[*link]bool
	lists   []front.StoreList
	knows   map[string]Time // the start of each store as it was told
	idle    []*link         // of its clients
	Sent    int             // attempts that have reached a store
	chance  random.Source
	stepAt  Time // 0: no step is planned
	frozen  bool
	left    bool
	slept   []func() // what came while it was frozen
	loading bool
	Traffic Traffic
	holder  *lease.Holder // nil: no voters
}

// Start begins a front's life, or another one.
func (f *Front) Start() {
	w := f.w
	f.life++
	f.events, f.links, f.lists, f.idle, f.stepAt, f.frozen, f.left, f.slept = nil, map[*link]bool{}, nil, nil, 0, false, false, nil
	c := w.Settings
	c.Fronts, c.Zone, c.Seed = w.Plan.Fronts, f.Zone, w.Seed<<20+uint64(f.n+1)<<8+uint64(f.life)
	limits := front.Limits{MaxConnections: cmp.Or(w.Plan.Links, 1000), MaxClients: cmp.Or(w.Plan.Links, 1000) / 2, MaxStoreMessage: 1 << 16, ClientIdle: 2 * Second, ShutdownGrace: 600 * Millisecond, MaxDeadline: 3 * Second}
	together := w.Plan.Fleet && (w.Without == nil || !w.Without(f.n))
	f.fleet, f.watch = nil, nil
	if together {
		var seeds []string
		for k := range min(3, len(w.Fronts)) {
			seeds = append(seeds, w.Fronts[k].addr)
		}
		f.bridge = fleetadapter.Adapter{}
		limits.OnAttemptEnd = func(store string, how balance.Ending, expected, took Time) {
			before := w.Meter.enter(Fleet)
			f.bridge.RecordOutcome(w.Now, store, how, expected, took)
			w.Meter.enter(before)
		}
		f.fleet = fleet.New(w.Now, membership.Config{Name: f.Name, Zone: f.Zone, Addr: f.addr, Incarnation: uint64(f.life), RandomSeed: c.Seed,
			Period: w.Period, Seeds: seeds, MaxMembers: 1024, NoteTTL: 20 * w.Period},
			zones.Config{ColdCapacity: c.StartCapacity, WarmupTime: c.WarmupTime, OverloadTolerance: c.ColdOverloadSpan}, host{f})
		f.bridge.Zones = f.fleet.Zones
		if w.Plan.Watch {
			f.watch = positions.New(w.Now, positions.Config{Name: f.Name, Addr: f.addr, AnswerTimeout: w.WatchWait, Period: w.Period, StoreTimeout: w.Host.DialTimeout, Seed: c.Seed}, looks{f})
			f.bridge.Positions, limits.PositionWatch = f.watch, seen{f}
		}
	}
	var err error
	f.core, err = front.New(w.Now, c, w.Host, limits, f, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		panic(err) // a plan that no front can start from
	}
	f.holder = nil
	if f.watch != nil && len(w.Voters) > 0 {
		f.holder = lease.NewHolder(w.Now, lease.Instance{Name: f.Name, Life: uint64(f.life)}, f.addr, len(w.Voters), w.Terms, c.Seed, asks{f})
		f.holder.Acquire(w.Now, summary.LeaseName)
	}
	known := w.whole(balance.ListCached)
	f.Traffic.Received[Lists].count(listBytes(known))
	f.knows = map[string]Time{}
	f.learn(known)
	f.core.UpdateStores(known)
	if together {
		f.bridge.UpdateStores(w.Now, known)
	}
	f.wake()
}

// told hands a list to the front, for its next step.
func (f *Front) told(l front.StoreList) {
	f.lists = append(f.lists, l)
	f.Traffic.Received[Lists].count(listBytes(l))
	f.learn(l)
}

func (f *Front) learn(l front.StoreList) {
	for k := range l.Entries {
		f.knows[l.Entries[k].ID] = l.Entries[k].Started
	}
}

// Kill ends a front at once: its connections break.
func (f *Front) Kill() {
	f.core, f.fleet, f.watch, f.holder, f.frozen = nil, nil, nil, nil, false
	for _, l := range f.open() {
		l.Close()
	}
	f.idle = nil
}

// open gives the front's links in an order that a seed decides and no map.
func (f *Front) open() (open []*link) {
	for l := range f.links {
		open = append(open, l)
	}
	sortLinks(open)
	return open
}

// Stop asks a front to end, as SIGTERM does.
func (f *Front) Stop() {
	if f.core != nil {
		f.core.Stop(f.w.Now)
		if f.fleet != nil && !f.left {
			f.left = true
			f.fleet.Members.Leave(f.w.Now)
		}
		f.wake()
	}
}

// Freeze stops the process until Thaw; what comes meanwhile waits.
func (f *Front) Freeze() { f.frozen = true }

// Thaw has it go on.
func (f *Front) Thaw() {
	f.frozen, f.stepAt = false, 0 // a step that came due meanwhile was passed over
	late := f.slept
	f.slept = nil
	for _, do := range late {
		do()
	}
	f.wake()
}

// Alive tells whether the front runs.
func (f *Front) Alive() bool { return f.core != nil }

// Part gives the part of ordinary traffic that the front's plan has for a zone, 1 without a fleet.
func (f *Front) Part(zone string) float64 {
	if f.fleet != nil {
		for _, r := range f.fleet.Zones.Status(f.w.Now) {
			if r.Zone == zone {
				return r.Part
			}
		}
	}
	return 1
}

// wake plans a step for now.
func (f *Front) wake() { f.planned(f.w.Now) }

func (f *Front) planned(at Time) {
	if f.core == nil || f.frozen || f.stepAt != 0 && f.stepAt <= at {
		return
	}
	f.stepAt = at
	life := f.life
	f.w.At(at-f.w.Now, func() {
		if f.life == life && f.stepAt == at && f.core != nil && !f.frozen {
			f.step()
		}
	})
}

// step is one turn of the front's loop, as cmd/micatrack has it.
func (f *Front) step() {
	w := f.w
	f.stepAt = 0
	f.heed()
	f.control()
	events := f.events
	f.events = nil
	for k := range events {
		l := events[k].Link.(*link)
		events[k].Flags, l.what, l.told = l.what, 0, false
		if events[k].Flags&front.Closed != 0 {
			delete(f.links, l)
		}
	}
	before := w.Meter.enter(Core)
	f.core.Step(w.Now, events)
	w.Meter.enter(before)
	if f.core.Stopping() && f.core.Done() {
		f.Kill()
		return
	}
	next := f.core.NextStep()
	if f.fleet != nil {
		next = min(next, f.fleet.Next())
	}
	if f.watch != nil {
		next = min(next, f.watch.NextTick())
	}
	if f.holder != nil {
		next = min(next, f.holder.Next())
	}
	f.planned(max(next, w.Now+1))
}

// heed takes in what discovery has told.
func (f *Front) heed() {
	if len(f.lists) == 0 {
		return
	}
	before := f.w.Meter.enter(List)
	defer func() { f.w.Meter.enter(before) }()
	for _, l := range f.lists {
		f.core.UpdateStores(l)
		if f.fleet != nil {
			f.bridge.UpdateStores(f.w.Now, l)
		}
	}
	f.lists = f.lists[:0]
}

// control is the part of a step that the front does for its fleet.
func (f *Front) control() {
	now := f.w.Now
	if f.fleet != nil && now >= f.fleet.Next() {
		before := f.w.Meter.enter(Fleet)
		f.fleet.Tick(now)
		f.w.Meter.enter(before)
	}
	if f.watch != nil {
		before := f.w.Meter.enter(Watch)
		f.bridge.UpdateMembers(f.fleet)
		f.watch.Tick(now)
		f.w.Meter.enter(before)
	}
	if f.holder != nil && now >= f.holder.Next() {
		before := f.w.Meter.enter(LeaseHolder)
		f.holder.Tick(now)
		f.w.Meter.enter(before)
	}
}

// Dial is front.Sockets.
func (f *Front) Dial(addr string) (front.Link, error) {
	s := f.w.byAddr[addr]
	if s == nil {
		return nil, fmt.Errorf("%s: refused", addr)
	}
	l := &link{f: f, other: s.Node, side: s}
	f.own(l)
	sent := f.w.Now
	f.w.carry(f.Node, s.Node, func() {
		if l.closed && f.w.Now-sent > f.w.Host.DialTimeout {
			return // given up while the way was cut: nobody tries it any more
		}
		s.accept(l)
	})
	return l, nil
}

func (f *Front) own(l *link) {
	f.w.seq++
	l.number = f.w.seq
	f.links[l] = true
}

// host is what the front does for its fleet.
type host struct{ f *Front }

func (h host) SetShare(zone string, part float64) { h.f.core.SetZoneShare(zone, part) }
func (h host) Log(text string) {
	if log := h.f.w.Plan.Log; log != nil {
		log(h.f.w.Now-start, h.f.Name, text)
	}
}

func (h host) Send(addr string, m *membership.Message) {
	w, to := h.f.w, h.f.w.byPeer[addr]
	text := peers.AppendMessage(nil, "world", m)
	before := w.Meter.enter(Outside)
	h.f.datagram(to, subjectOf(m.Kind), text, func() { to.hear(text, nil) })
	w.Meter.enter(before)
}

// datagram sends text to another front, where it may be lost.
func (f *Front) datagram(to *Front, subject Subject, text []byte, arrive func()) {
	w := f.w
	w.Peers.Datagrams++
	w.Peers.Bytes += len(text)
	f.Traffic.Sent[subject].count(len(text))
	if to == nil || w.chance.Below(1000) < int64(w.PeerLoss) || w.cut(f.Node, to.Node) {
		return
	}
	delay := w.PeerDelay/2 + w.chance.Below(w.PeerDelay) + w.distance(f.Node, to.Node)
	w.At(delay, func() {
		to.Traffic.Received[subject].count(len(text))
		arrive()
	})
}

func (h host) StartSync(addr string) {
	f, to := h.f, h.f.w.byPeer[addr]
	if to == nil {
		return
	}
	w, text := f.w, peers.AppendMessage(nil, "world", f.fleet.Members.SyncMessage(membership.SyncRequest))
	w.Peers.Bytes += len(text)
	f.Traffic.Sent[Exchanges].count(len(text))
	w.carryWithin(exchangeWait, f.Node, to.Node, func() {
		to.Traffic.Received[Exchanges].count(len(text))
		to.hear(text, func(back []byte) {
			to.Traffic.Sent[Exchanges].count(len(back))
			w.carryWithin(exchangeWait, to.Node, f.Node, func() {
				f.Traffic.Received[Exchanges].count(len(back))
				f.hear(back, nil)
			})
		})
	})
}

// looks is what the front does for its watch, and seen what its core tells it. Without voters who is meant to watch may.
type looks struct{ f *Front }

func (l looks) QueryPosition(store string)                 { l.f.core.QueryPosition(store) }
func (l looks) ReportPosition(store string, position Time) { l.f.core.ReportPosition(store, position) }
func (l looks) PositionResolved(store string, answered bool) {
	l.f.core.PositionResolved(store, answered)
}
func (l looks) SendQuery(addr string, q positions.Query) {
	l.f.post(addr, peers.AppendQuery(nil, "world", &q))
}
func (l looks) SendAnswer(addr string, a positions.Answer) {
	if l.f.Mute {
		return
	}
	if l.f.Lies != nil {
		l.f.Lies(&a)
	}
	l.f.post(addr, peers.AppendAnswer(nil, "world", &a))
}

type seen struct{ f *Front }

func (s seen) RequestPosition(store string, need Time, any bool) bool {
	return s.f.watch.RequestPosition(s.f.w.Now, store, need, any)
}
func (s seen) PositionObserved(store string, position Time) {
	s.f.watch.PositionObserved(s.f.w.Now, store, position)
}
func (s seen) QueryFailed(store string) { s.f.watch.QueryFailed(s.f.w.Now, store) }

// post sends a message of the watch.
func (f *Front) post(addr string, text []byte) {
	before := f.w.Meter.enter(Outside)
	to := f.w.byPeer[addr]
	f.datagram(to, Positions, text, func() { to.look(text) })
	f.w.Meter.enter(before)
}

func (f *Front) look(text []byte) {
	if f.frozen {
		f.slept = append(f.slept, func() { f.look(text) })
		return
	}
	before := f.w.Meter.enter(Watch)
	defer func() {
		f.w.Meter.enter(before)
		f.wake()
	}()
	q, a, err := peers.ReadPositionMessage(text, "world")
	switch {
	case f.watch == nil || err != nil:
		return
	case q != nil:
		f.watch.HandleQuery(f.w.Now, *q)
	default:
		f.watch.HandleAnswer(f.w.Now, *a)
	}
}

// hear takes another front's message in, once the process runs.
func (f *Front) hear(text []byte, answer func(back []byte)) {
	if f.frozen {
		f.slept = append(f.slept, func() { f.hear(text, answer) })
		return
	}
	before := f.w.Meter.enter(Fleet)
	defer func() { f.w.Meter.enter(before) }()
	if f.fleet == nil || peers.ReadMessage(text, "world", &f.msg) != nil {
		return
	}
	if f.fleet.Receive(f.w.Now, &f.msg) && answer != nil {
		back := peers.AppendMessage(nil, "world", f.fleet.Members.SyncMessage(membership.SyncResponse))
		f.w.Peers.Bytes += len(back)
		answer(back)
	}
	f.w.Meter.enter(Outside)
	f.planned(max(f.fleet.Next(), f.w.Now))
	f.wake()
}
