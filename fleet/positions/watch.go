// Package watch spares the stores most of the questions that a large fleet would ask them. A front with a few jobs a second
// knows positions that are too old for nearly every read that has to be recent, so it would ask a likely replica each time; with
// hundreds of fronts the stores answer more questions than reads. For each group one front, its watcher, is asked instead:
// it answers from what it knows where that is recent enough, and asks the stores itself where it is not, once for all who
// wait. It does no I/O, reads no clock and draws from its seed.
//
// Which front watches which group follows from rendezvous hashing (Thaler and Ravishankar) over the members that are there;
// a watcher answers only while it holds the group's lease, so that of two that both think it theirs one asks the stores. No
// proof hangs on that: what a watcher says is a hint. A read that goes to a store on a peer's word alone has to show in its
// answer that it has seen enough (balance.Front.Send), so a watcher that lies costs a trip and is then not believed for a cold
// time. One that is late, gone or cut off costs a part of the time that a read may wait, and then fronts ask for themselves.
package positions

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// Bounds.
const (
	MaxPositions = 16   // stores in one answer
	mostOpen     = 256  // questions of this front that are out
	mostWait     = 1024 // askers that wait for this front's stores
	pauses       = 6    // doublings of the pause in which a watcher that was silent is not asked
	shareMost    = 4    // times the mean of groups that one front watches at most,
	mostMine     = 200  // and in any case; a front's leases are 256
)

// StorePosition is what a store has shown.
type StorePosition struct {
	Store    string
	Position Time
}

// Query asks for a group's positions. Need is the one that the asker would like to see.
type Query struct {
	Seq, Group  uint64
	MinPosition Time
	Store       string // that has to show it; empty: any of the group
	Addr        string // of the asker
}

// Answer is what its watcher says; nothing seen: it does not watch that group.
type Answer struct {
	Seq, Group uint64
	Positions  []StorePosition
}

// Host is what a front does for this package.
type Host interface {
	SendQuery(addr string, q Query)
	SendAnswer(addr string, a Answer)
	QueryPosition(store string)                   // asks a store itself; Learned or Failed follows
	ReportPosition(store string, position Time)   // a peer says that it has shown so much
	PositionResolved(store string, answered bool) // the question is settled; or not, and the store itself is to be asked
	AcquireLease(lease string)
	ReleaseLease(lease string)
	HoldsLease(lease string) bool
}

// Config is the front itself.
type Config struct {
	Name, Addr    string
	AnswerTimeout Time // for an answer, at most
	Period        Time // of the membership protocol
	StoreTimeout  Time // for a store's answer
	Seed          uint64
}

// group is what is known of one group.
type group struct {
	id      uint64
	stores  []store
	watcher int    // in members; -1: this front, or nobody
	held    string // the name of who it was
	best    string // whose weight is the largest, as far as that was worked out; empty: this front
	weight  uint64 // of it
	weighed bool
	mine    bool
	lease   string
	pause   int
	shutTo  Time // until then its watcher is not asked
	waits   []Query
	askedAt Time // the stores, 0: no question is out
}

type store struct {
	name     string
	position Time
	primary  bool
	out      bool // it is being asked
}

// open is a question of this front.
type open struct {
	seq   uint64
	group int
	store string
	need  Time
	any   bool
	until Time
}

// Service is one front's part.
type Service struct {
	host    Host
	self    Config
	now     Time
	mwc     random.Source
	members []Peer
	indexOf map[string]int // in members, by name
	came    []string       // members that no group has been weighed against yet
	groups  []group
	byID    map[uint64]int
	byStore map[string][2]int // group and place in it
	spare   []int             // places of groups that have no stores any more
	open    []open
	waiting int
	seq     uint64
	beatAt  Time
	stale   bool // members or stores have changed
	weighed uint64

	QueriesSent, AnswersReceived, StoreQueries, Rejected uint64 // for those who look
}

// New starts without members and stores.
func New(now Time, s Config, h Host) *Service {
	w := &Service{host: h, self: s, now: now, mwc: random.New(s.Seed), byID: map[uint64]int{}, byStore: map[string][2]int{}, indexOf: map[string]int{}, beatAt: now}
	w.seq = uint64(w.mwc.Uint32())<<32 | uint64(w.mwc.Uint32()) // an answer that nobody asked for has to guess it
	return w
}

// Configure takes over how long a watcher's answer and a store's are waited for. Questions that are out keep their time.
func (w *Service) Configure(wait, storeWait Time) {
	w.self.AnswerTimeout, w.self.StoreTimeout = wait, storeWait
	w.beatAt = min(w.beatAt, w.now) // it may be due sooner
}

// Peer is another front that is there.
type Peer struct{ Name, Addr string }

// UpdateMembers takes in who is there, this front or not.
func (w *Service) UpdateMembers(all []Peer) {
	w.members = w.members[:0]
	before := w.indexOf
	w.indexOf = make(map[string]int, len(all))
	for _, p := range all {
		if p.Name == w.self.Name {
			continue
		}
		w.indexOf[p.Name] = len(w.members)
		w.members = append(w.members, p)
		if _, known := before[p.Name]; !known {
			w.came = append(w.came, p.Name)
		}
	}
	for gi := range w.groups {
		w.groups[gi].watcher = -1
	}
	w.stale = true
}

// UpdateStore takes in a store of a group, or that it is none any more.
func (w *Service) UpdateStore(name string, id uint64, primary, there bool) {
	at, known := w.byStore[name]
	if known && (!there || w.groups[at[0]].id != id) {
		g := &w.groups[at[0]]
		g.stores = slices.Delete(g.stores, at[1], at[1]+1)
		delete(w.byStore, name)
		for k := at[1]; k < len(g.stores); k++ {
			w.byStore[g.stores[k].name] = [2]int{at[0], k}
		}
		known = false
		if len(g.stores) == 0 {
			w.forget(at[0])
		}
	}
	if !there {
		return
	}
	if known {
		w.groups[at[0]].stores[at[1]].primary = primary
		return
	}
	gi, ok := w.byID[id]
	if !ok {
		if len(w.spare) == 0 {
			w.groups = append(w.groups, group{})
			w.spare = append(w.spare, len(w.groups)-1)
		}
		gi = w.spare[len(w.spare)-1]
		w.spare = w.spare[:len(w.spare)-1]
		w.groups[gi] = group{id: id, watcher: -1, lease: fmt.Sprint("watch/", id)}
		w.byID[id] = gi
		w.stale = true
	}
	g := &w.groups[gi]
	w.byStore[name] = [2]int{gi, len(g.stores)}
	g.stores = append(g.stores, store{name: name, primary: primary})
}

// forget gives a group's place back, and its lease.
// Danger: where groups come and go for good, their leases would be held for ever.
func (w *Service) forget(gi int) {
	g := &w.groups[gi]
	if w.settle(g); g.mine {
		w.host.ReleaseLease(g.lease)
	}
	delete(w.byID, g.id)
	*g = group{watcher: -1}
	w.spare = append(w.spare, gi)
	w.stale = true
}

// weigh returns the weight of a member for a group.
func (w *Service) weigh(g *group, name string) uint64 {
	w.weighed++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), g.id))
}

// elect finds the member with the largest weight for a group: among all if the one before has gone, else among it and those
// that have come since.
//
// Danger: at 800 members and 266 groups a whole assignment weighs 212,800 pairs, and members change by the hundred where a
// zone is lost.
func (w *Service) elect(g *group) {
	_, there := w.indexOf[g.best]
	if g.weighed && (there || g.best == "") {
		for _, name := range w.came {
			if _, stayed := w.indexOf[name]; stayed {
				w.challenge(g, name)
			}
		}
		return
	}
	g.weighed, g.best, g.weight = true, "", w.weigh(g, w.self.Name)
	for k := range w.members {
		w.challenge(g, w.members[k].Name)
	}
}

// challenge has a member take a group from the one before it, if it weighs more.
func (w *Service) challenge(g *group, name string) {
	if weight := w.weigh(g, name); weight > g.weight {
		g.best, g.weight = name, weight
	}
}

// assign finds each group's watcher.
func (w *Service) assign() {
	w.stale = false
	mine, share := 0, min(shareMost*len(w.byID)/(len(w.members)+1)+1, mostMine)
	for gi := range w.groups {
		g := &w.groups[gi]
		if len(g.stores) == 0 {
			continue
		}
		w.elect(g)
		best := -1
		if g.best != "" {
			best = w.indexOf[g.best]
		}
		if g.watcher = best; best >= 0 && w.members[best].Name != g.held {
			g.pause, g.shutTo, g.held = 0, 0, w.members[best].Name
		}
		if best < 0 && mine < share {
			if mine++; !g.mine {
				g.mine = true
				w.host.AcquireLease(g.lease)
			}
		} else if g.mine {
			g.mine = false
			w.host.ReleaseLease(g.lease)
			w.settle(g)
		}
	}
	w.came = w.came[:0]
}

// RequestPosition is told that this front would ask a store for its position, since a read of its group has to see need (any), or to
// hear that it is there and has come so far. It tells whether the group's watcher is asked instead; Proxied follows then.
func (w *Service) RequestPosition(now Time, name string, need Time, any bool) bool {
	w.now = now
	at, ok := w.byStore[name]
	if !ok || w.stale {
		return false
	}
	g := &w.groups[at[0]]
	if g.watcher < 0 || now < g.shutTo || len(w.open) >= mostOpen {
		return false
	}
	w.seq++
	w.QueriesSent++
	w.open = append(w.open, open{w.seq, at[0], name, need, any, now + w.self.AnswerTimeout})
	w.beatAt = min(w.beatAt, now+w.self.AnswerTimeout)
	q := Query{Seq: w.seq, Group: g.id, MinPosition: need, Addr: w.self.Addr}
	if !any {
		q.Store = name
	}
	w.host.SendQuery(w.members[g.watcher].Addr, q)
	return true
}

// HandleAnswer takes a watcher's answer in.
func (w *Service) HandleAnswer(now Time, a Answer) {
	w.now = now
	k := slices.IndexFunc(w.open, func(o open) bool { return o.seq == a.Seq })
	if k < 0 {
		w.Rejected++
		return
	}
	o := w.open[k]
	w.open = slices.Delete(w.open, k, k+1)
	g := &w.groups[o.group]
	if g.id != a.Group || len(a.Positions) == 0 {
		w.silent(g)
		w.host.PositionResolved(o.store, false)
		return
	}
	g.pause, g.shutTo = 0, 0
	w.AnswersReceived++
	settled := false
	for _, s := range a.Positions {
		if at, ok := w.byStore[s.Store]; ok && at[0] == o.group {
			w.host.ReportPosition(s.Store, s.Position)
			settled = settled || s.Position >= o.need && (o.any || s.Store == o.store)
		}
	}
	w.host.PositionResolved(o.store, settled)
}

// silent has a watcher that did not answer left alone, longer each time.
func (w *Service) silent(g *group) {
	g.shutTo = w.now + w.self.Period<<g.pause
	g.pause = min(g.pause+1, pauses)
}

// HandleQuery takes another front's question in.
func (w *Service) HandleQuery(now Time, q Query) {
	w.now = now
	gi, ok := w.byID[q.Group]
	if !ok || !w.groups[gi].mine || !w.host.HoldsLease(w.groups[gi].lease) || w.waiting >= mostWait {
		w.Rejected++
		w.host.SendAnswer(q.Addr, Answer{Seq: q.Seq, Group: q.Group})
		return
	}
	g := &w.groups[gi]
	if g.knows(&q) {
		w.answer(g, q)
		return
	}
	g.waits = append(g.waits, q)
	w.waiting++
	if q.Store != "" || !slices.ContainsFunc(g.stores, func(s store) bool { return s.out }) {
		w.survey(g, &q)
	}
}

// knows tells whether what a question needs is known.
func (g *group) knows(q *Query) bool {
	for k := range g.stores {
		if s := &g.stores[k]; s.position >= q.MinPosition && (s.name == q.Store || q.Store == "" && !s.primary) {
			return true
		}
	}
	return false
}

func (w *Service) answer(g *group, q Query) {
	a := Answer{Seq: q.Seq, Group: q.Group}
	for k := range g.stores {
		if s := &g.stores[k]; s.position > 0 && len(a.Positions) < MaxPositions {
			a.Positions = append(a.Positions, StorePosition{s.name, s.position})
		}
	}
	w.host.SendAnswer(q.Addr, a)
}

// survey asks a group's replicas themselves, or the one store that a question is about.
func (w *Service) survey(g *group, q *Query) {
	if g.askedAt == 0 {
		g.askedAt = w.now
	}
	w.beatAt = min(w.beatAt, w.now+w.self.StoreTimeout)
	asked := false
	for k := range g.stores {
		if s := &g.stores[k]; !s.out && (s.name == q.Store || q.Store == "" && !s.primary) {
			s.out, asked = true, true
			w.StoreQueries++
			w.host.QueryPosition(s.name)
		}
	}
	if !asked && !slices.ContainsFunc(g.stores, func(s store) bool { return s.out }) {
		w.settle(g)
	}
}

// PositionObserved takes in a position that a store has shown to this front, in whatever way.
func (w *Service) PositionObserved(now Time, name string, position Time) {
	w.now = now
	if at, ok := w.byStore[name]; ok {
		g := &w.groups[at[0]]
		s := &g.stores[at[1]]
		s.position, s.out = max(s.position, position), false
		w.serve(g)
	}
}

// QueryFailed takes in that a survey came to nothing.
func (w *Service) QueryFailed(now Time, name string) {
	w.now = now
	if at, ok := w.byStore[name]; ok {
		g := &w.groups[at[0]]
		g.stores[at[1]].out = false
		w.serve(g)
	}
}

// serve answers those whose need is known now, and the others once no store is left to answer.
func (w *Service) serve(g *group) {
	if len(g.waits) == 0 && g.askedAt == 0 {
		return
	}
	keep := g.waits[:0]
	for _, q := range g.waits {
		if g.knows(&q) {
			w.answer(g, q)
			w.waiting--
		} else {
			keep = append(keep, q)
		}
	}
	g.waits = keep
	if !slices.ContainsFunc(g.stores, func(s store) bool { return s.out }) {
		w.settle(g)
	}
}

// settle ends a survey: who still waits is told what there is.
func (w *Service) settle(g *group) {
	g.askedAt = 0
	for _, q := range g.waits {
		w.answer(g, q)
		w.waiting--
	}
	g.waits = g.waits[:0]
}

// NextTick is when Beat must be called again.
func (w *Service) NextTick() Time { return w.beatAt }

// Tick ends what took too long.
func (w *Service) Tick(now Time) {
	w.now = now
	if w.stale {
		w.assign()
	}
	if now < w.beatAt {
		return
	}
	w.beatAt = now + w.self.Period
	for k := 0; k < len(w.open); k++ {
		o := w.open[k]
		if now < o.until {
			w.beatAt = min(w.beatAt, o.until)
			continue
		}
		// Danger: a watcher that is gone would cost every read a part of its time.
		w.open = slices.Delete(w.open, k, k+1)
		k--
		w.silent(&w.groups[o.group])
		w.host.PositionResolved(o.store, false)
	}
	for gi := range w.groups {
		g := &w.groups[gi]
		if g.askedAt == 0 {
			continue
		}
		if until := g.askedAt + w.self.StoreTimeout; now < until {
			w.beatAt = min(w.beatAt, until)
			continue
		}
		for k := range g.stores {
			g.stores[k].out = false
		}
		w.settle(g)
	}
}
