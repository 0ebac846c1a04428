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
	MaxPositions        = 16   // stores in one answer
	maxPending          = 256  // questions of this front that are out
	maxWaiting          = 1024 // askers that wait for this front's stores
	maxBackoffDoublings = 6    // doublings of the pause in which a watcher that was silent is not asked
	maxShareFactor      = 4    // times the mean of groups that one front watches at most,
	maxWatched          = 200  // and in any case; a front's leases are 256
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
	id           uint64
	stores       []store
	watcherIndex int    // in members; -1: this front, or nobody
	watcherName  string // the name of who it was
	bestName     string // whose weight is the largest, as far as that was worked out; empty: this front
	bestWeight   uint64 // of it
	elected      bool
	watchedHere  bool
	leaseName    string
	backoff      int
	backoffUntil Time // until then its watcher is not asked
	waiting      []Query
	queriedAt    Time // the stores, 0: no question is out
}

type store struct {
	name     string
	position Time
	primary  bool
	pending  bool // it is being asked
}

// pendingQuery is a question of this front.
type pendingQuery struct {
	seq         uint64
	group       int
	store       string
	minPosition Time
	anyStore    bool
	deadline    Time
}

// Service is one front's part.
type Service struct {
	host           Host
	config         Config
	now            Time
	rng            random.Source
	members        []Peer
	indexOf        map[string]int // in members, by name
	joined         []string       // members that no group has been weighed against yet
	groups         []group
	groupByID      map[uint64]int
	storeLocations map[string][2]int // group and place in it
	freeGroups     []int             // places of groups that have no stores any more
	pending        []pendingQuery
	waitingTotal   int
	seq            uint64
	tickAt         Time
	stale          bool // members or stores have changed
	weightCount    uint64

	QueriesSent, AnswersReceived, StoreQueries, Rejected uint64 // for those who look
}

// New starts without members and stores.
func New(now Time, config Config, host Host) *Service {
	s := &Service{host: host, config: config, now: now, rng: random.New(config.Seed), groupByID: map[uint64]int{}, storeLocations: map[string][2]int{}, indexOf: map[string]int{}, tickAt: now}
	s.seq = uint64(s.rng.Uint32())<<32 | uint64(s.rng.Uint32()) // an answer that nobody asked for has to guess it
	return s
}

// Configure takes over how long a watcher's answer and a store's are waited for. Questions that are out keep their time.
func (s *Service) Configure(answerTimeout, storeTimeout Time) {
	s.config.AnswerTimeout, s.config.StoreTimeout = answerTimeout, storeTimeout
	s.tickAt = min(s.tickAt, s.now) // it may be due sooner
}

// Peer is another front that is there.
type Peer struct{ Name, Addr string }

// UpdateMembers takes in who is there, this front or not.
func (s *Service) UpdateMembers(all []Peer) {
	s.members = s.members[:0]
	previous := s.indexOf
	s.indexOf = make(map[string]int, len(all))
	for _, p := range all {
		if p.Name == s.config.Name {
			continue
		}
		s.indexOf[p.Name] = len(s.members)
		s.members = append(s.members, p)
		if _, known := previous[p.Name]; !known {
			s.joined = append(s.joined, p.Name)
		}
	}
	for gi := range s.groups {
		s.groups[gi].watcherIndex = -1
	}
	s.stale = true
}

// UpdateStore takes in a store of a group, or that it is none any more.
func (s *Service) UpdateStore(name string, id uint64, primary, present bool) {
	location, known := s.storeLocations[name]
	if known && (!present || s.groups[location[0]].id != id) {
		g := &s.groups[location[0]]
		g.stores = slices.Delete(g.stores, location[1], location[1]+1)
		delete(s.storeLocations, name)
		for k := location[1]; k < len(g.stores); k++ {
			s.storeLocations[g.stores[k].name] = [2]int{location[0], k}
		}
		known = false
		if len(g.stores) == 0 {
			s.removeGroup(location[0])
		}
	}
	if !present {
		return
	}
	if known {
		s.groups[location[0]].stores[location[1]].primary = primary
		return
	}
	gi, exists := s.groupByID[id]
	if !exists {
		if len(s.freeGroups) == 0 {
			s.groups = append(s.groups, group{})
			s.freeGroups = append(s.freeGroups, len(s.groups)-1)
		}
		gi = s.freeGroups[len(s.freeGroups)-1]
		s.freeGroups = s.freeGroups[:len(s.freeGroups)-1]
		s.groups[gi] = group{id: id, watcherIndex: -1, leaseName: fmt.Sprint("watch/", id)}
		s.groupByID[id] = gi
		s.stale = true
	}
	g := &s.groups[gi]
	s.storeLocations[name] = [2]int{gi, len(g.stores)}
	g.stores = append(g.stores, store{name: name, primary: primary})
}

// removeGroup gives a group's place back, and its lease.
// Danger: where groups come and go for good, their leases would be held for ever.
func (s *Service) removeGroup(gi int) {
	g := &s.groups[gi]
	if s.finishSurvey(g); g.watchedHere {
		s.host.ReleaseLease(g.leaseName)
	}
	delete(s.groupByID, g.id)
	*g = group{watcherIndex: -1}
	s.freeGroups = append(s.freeGroups, gi)
	s.stale = true
}

// weight returns the weight of a member for a group.
func (s *Service) weight(g *group, name string) uint64 {
	s.weightCount++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), g.id))
}

// elect finds the member with the largest weight for a group: among all if the one before has gone, else among it and those
// that have come since.
//
// Danger: at 800 members and 266 groups a whole assignment weighs 212,800 pairs, and members change by the hundred where a
// zone is lost.
func (s *Service) elect(g *group) {
	_, present := s.indexOf[g.bestName]
	if g.elected && (present || g.bestName == "") {
		for _, name := range s.joined {
			if _, stayed := s.indexOf[name]; stayed {
				s.considerMember(g, name)
			}
		}
		return
	}
	g.elected, g.bestName, g.bestWeight = true, "", s.weight(g, s.config.Name)
	for k := range s.members {
		s.considerMember(g, s.members[k].Name)
	}
}

// considerMember has a member take a group from the one before it, if it weighs more.
func (s *Service) considerMember(g *group, name string) {
	if weight := s.weight(g, name); weight > g.bestWeight {
		g.bestName, g.bestWeight = name, weight
	}
}

// assignWatchers finds each group's watcher.
func (s *Service) assignWatchers() {
	s.stale = false
	watched, share := 0, min(maxShareFactor*len(s.groupByID)/(len(s.members)+1)+1, maxWatched)
	for gi := range s.groups {
		g := &s.groups[gi]
		if len(g.stores) == 0 {
			continue
		}
		s.elect(g)
		best := -1
		if g.bestName != "" {
			best = s.indexOf[g.bestName]
		}
		if g.watcherIndex = best; best >= 0 && s.members[best].Name != g.watcherName {
			g.backoff, g.backoffUntil, g.watcherName = 0, 0, s.members[best].Name
		}
		if best < 0 && watched < share {
			if watched++; !g.watchedHere {
				g.watchedHere = true
				s.host.AcquireLease(g.leaseName)
			}
		} else if g.watchedHere {
			g.watchedHere = false
			s.host.ReleaseLease(g.leaseName)
			s.finishSurvey(g)
		}
	}
	s.joined = s.joined[:0]
}

// RequestPosition is told that this front would ask a store for its position, since a read of its group has to see need (any), or to
// hear that it is there and has come so far. It tells whether the group's watcher is asked instead; Proxied follows then.
func (s *Service) RequestPosition(now Time, name string, minPosition Time, anyStore bool) bool {
	s.now = now
	location, ok := s.storeLocations[name]
	if !ok || s.stale {
		return false
	}
	g := &s.groups[location[0]]
	if g.watcherIndex < 0 || now < g.backoffUntil || len(s.pending) >= maxPending {
		return false
	}
	s.seq++
	s.QueriesSent++
	s.pending = append(s.pending, pendingQuery{s.seq, location[0], name, minPosition, anyStore, now + s.config.AnswerTimeout})
	s.tickAt = min(s.tickAt, now+s.config.AnswerTimeout)
	q := Query{Seq: s.seq, Group: g.id, MinPosition: minPosition, Addr: s.config.Addr}
	if !anyStore {
		q.Store = name
	}
	s.host.SendQuery(s.members[g.watcherIndex].Addr, q)
	return true
}

// HandleAnswer takes a watcher's answer in.
func (s *Service) HandleAnswer(now Time, a Answer) {
	s.now = now
	k := slices.IndexFunc(s.pending, func(query pendingQuery) bool { return query.seq == a.Seq })
	if k < 0 {
		s.Rejected++
		return
	}
	query := s.pending[k]
	s.pending = slices.Delete(s.pending, k, k+1)
	g := &s.groups[query.group]
	if g.id != a.Group || len(a.Positions) == 0 {
		s.backOff(g)
		s.host.PositionResolved(query.store, false)
		return
	}
	g.backoff, g.backoffUntil = 0, 0
	s.AnswersReceived++
	resolved := false
	for _, sp := range a.Positions {
		if location, ok := s.storeLocations[sp.Store]; ok && location[0] == query.group {
			s.host.ReportPosition(sp.Store, sp.Position)
			resolved = resolved || sp.Position >= query.minPosition && (query.anyStore || sp.Store == query.store)
		}
	}
	s.host.PositionResolved(query.store, resolved)
}

// backOff has a watcher that did not answer left alone, longer each time.
func (s *Service) backOff(g *group) {
	g.backoffUntil = s.now + s.config.Period<<g.backoff
	g.backoff = min(g.backoff+1, maxBackoffDoublings)
}

// HandleQuery takes another front's question in.
func (s *Service) HandleQuery(now Time, q Query) {
	s.now = now
	gi, ok := s.groupByID[q.Group]
	if !ok || !s.groups[gi].watchedHere || !s.host.HoldsLease(s.groups[gi].leaseName) || s.waitingTotal >= maxWaiting {
		s.Rejected++
		s.host.SendAnswer(q.Addr, Answer{Seq: q.Seq, Group: q.Group})
		return
	}
	g := &s.groups[gi]
	if g.satisfies(&q) {
		s.sendAnswer(g, q)
		return
	}
	g.waiting = append(g.waiting, q)
	s.waitingTotal++
	if q.Store != "" || !slices.ContainsFunc(g.stores, func(st store) bool { return st.pending }) {
		s.queryStores(g, &q)
	}
}

// satisfies tells whether what a question needs is known.
func (g *group) satisfies(q *Query) bool {
	for k := range g.stores {
		if st := &g.stores[k]; st.position >= q.MinPosition && (st.name == q.Store || q.Store == "" && !st.primary) {
			return true
		}
	}
	return false
}

func (s *Service) sendAnswer(g *group, q Query) {
	a := Answer{Seq: q.Seq, Group: q.Group}
	for k := range g.stores {
		if st := &g.stores[k]; st.position > 0 && len(a.Positions) < MaxPositions {
			a.Positions = append(a.Positions, StorePosition{st.name, st.position})
		}
	}
	s.host.SendAnswer(q.Addr, a)
}

// queryStores asks a group's replicas themselves, or the one store that a question is about.
func (s *Service) queryStores(g *group, q *Query) {
	if g.queriedAt == 0 {
		g.queriedAt = s.now
	}
	s.tickAt = min(s.tickAt, s.now+s.config.StoreTimeout)
	queried := false
	for k := range g.stores {
		if st := &g.stores[k]; !st.pending && (st.name == q.Store || q.Store == "" && !st.primary) {
			st.pending, queried = true, true
			s.StoreQueries++
			s.host.QueryPosition(st.name)
		}
	}
	if !queried && !slices.ContainsFunc(g.stores, func(st store) bool { return st.pending }) {
		s.finishSurvey(g)
	}
}

// PositionObserved takes in a position that a store has shown to this front, in whatever way.
func (s *Service) PositionObserved(now Time, name string, position Time) {
	s.now = now
	if location, ok := s.storeLocations[name]; ok {
		g := &s.groups[location[0]]
		st := &g.stores[location[1]]
		st.position, st.pending = max(st.position, position), false
		s.answerSatisfied(g)
	}
}

// QueryFailed takes in that a survey came to nothing.
func (s *Service) QueryFailed(now Time, name string) {
	s.now = now
	if location, ok := s.storeLocations[name]; ok {
		g := &s.groups[location[0]]
		g.stores[location[1]].pending = false
		s.answerSatisfied(g)
	}
}

// answerSatisfied answers those whose need is known now, and the others once no store is left to answer.
func (s *Service) answerSatisfied(g *group) {
	if len(g.waiting) == 0 && g.queriedAt == 0 {
		return
	}
	remaining := g.waiting[:0]
	for _, q := range g.waiting {
		if g.satisfies(&q) {
			s.sendAnswer(g, q)
			s.waitingTotal--
		} else {
			remaining = append(remaining, q)
		}
	}
	g.waiting = remaining
	if !slices.ContainsFunc(g.stores, func(st store) bool { return st.pending }) {
		s.finishSurvey(g)
	}
}

// finishSurvey ends a survey: who still waits is told what there is.
func (s *Service) finishSurvey(g *group) {
	g.queriedAt = 0
	for _, q := range g.waiting {
		s.sendAnswer(g, q)
		s.waitingTotal--
	}
	g.waiting = g.waiting[:0]
}

// NextTick is when Beat must be called again.
func (s *Service) NextTick() Time { return s.tickAt }

// Tick ends what took too long.
func (s *Service) Tick(now Time) {
	s.now = now
	if s.stale {
		s.assignWatchers()
	}
	if now < s.tickAt {
		return
	}
	s.tickAt = now + s.config.Period
	for k := 0; k < len(s.pending); k++ {
		query := s.pending[k]
		if now < query.deadline {
			s.tickAt = min(s.tickAt, query.deadline)
			continue
		}
		// Danger: a watcher that is gone would cost every read a part of its time.
		s.pending = slices.Delete(s.pending, k, k+1)
		k--
		s.backOff(&s.groups[query.group])
		s.host.PositionResolved(query.store, false)
	}
	for gi := range s.groups {
		g := &s.groups[gi]
		if g.queriedAt == 0 {
			continue
		}
		if deadline := g.queriedAt + s.config.StoreTimeout; now < deadline {
			s.tickAt = min(s.tickAt, deadline)
			continue
		}
		for k := range g.stores {
			g.stores[k].pending = false
		}
		s.finishSurvey(g)
	}
}
