// Package positions reduces the load that position queries of a large fleet put on the stores. A front that serves a few
// requests a second knows log positions that are too old for nearly every read that needs recent data, so it would query a
// likely replica each time; with hundreds of fronts, the stores would answer more position queries than reads. Instead, one
// front per group, the watcher of the group, is queried. It answers from what it knows where that is recent enough, and
// otherwise queries the stores once for all fronts that wait. The package does no I/O, reads no clock and draws all random
// numbers from its seed.
//
// The watcher of a group is chosen by rendezvous hashing (Thaler and Ravishankar) over the current members. A watcher answers
// only while it holds the lease of the group, so if two fronts both consider themselves the watcher, only one queries the
// stores. Correctness does not depend on this: what a watcher reports is a hint. A read that is sent to a store because of a
// peer's report has to prove in its answer that it has seen enough (balance.Front.Send), so a watcher that reports too high a
// position costs an attempt, after which positions from peers are ignored for the warm-up time of a store. A watcher that is
// slow, gone or cut off costs a part of the time that a read may wait; after that, fronts query the stores themselves.
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

const (
	// MaxPositions is the maximum number of stores in one answer.
	MaxPositions = 16
	// maxPending is the maximum number of unanswered queries of this front to watchers.
	maxPending = 256
	// maxWaiting is the maximum number of queries from other fronts that wait for stores to answer this one.
	maxWaiting = 1024
	// maxBackoffDoublings bounds how often the time doubles for which a silent watcher is not queried.
	maxBackoffDoublings = 6
	// maxShareFactor bounds the groups that one front watches, as a multiple of the mean over all fronts.
	maxShareFactor = 4
	// maxWatched bounds the groups that one front watches in any case, because a front can hold at most 256 leases.
	maxWatched = 200
)

// StorePosition is the log position that a store has reached.
type StorePosition struct {
	Store    string
	Position Time
}

// Query asks the watcher of a group for the positions of its stores.
type Query struct {
	Seq         uint64 // identifies the query; the answer repeats it
	Group       uint64
	MinPosition Time   // position that the sender needs
	Store       string // the store that has to have reached it; empty: any replica of the group
	Addr        string // address of the sender, for the answer
}

// Answer is the answer of a watcher to a Query. Without positions, its sender does not watch the group, took no more queries
// or knows no position.
type Answer struct {
	Seq       uint64 // that of the query
	Group     uint64
	Positions []StorePosition // at most MaxPositions
}

// Host carries out the actions of this package.
type Host interface {
	// SendQuery sends a query to the front at addr.
	SendQuery(addr string, q Query)
	// SendAnswer sends an answer to the front at addr.
	SendAnswer(addr string, a Answer)
	// QueryPosition queries a store directly. The host calls PositionObserved or QueryFailed with the result.
	QueryPosition(store string)
	// ReportPosition passes on the position of a store as another front reports it.
	ReportPosition(store string, position Time)
	// PositionResolved ends a call of RequestPosition that returned true. If answered is false, the watcher did not
	// show the required position and the host has to query the store itself.
	PositionResolved(store string, answered bool)
	// AcquireLease starts to acquire a lease and to keep it.
	AcquireLease(lease string)
	// ReleaseLease gives a lease up.
	ReleaseLease(lease string)
	// HoldsLease reports whether this front holds a lease now.
	HoldsLease(lease string) bool
}

// Config is the configuration of the front itself.
type Config struct {
	Name          string
	Addr          string // where other fronts reach it
	AnswerTimeout Time   // maximum wait for the answer of a watcher
	Period        Time   // of the membership protocol
	StoreTimeout  Time   // maximum wait for the answer of a store
	Seed          uint64 // of the random numbers
}

// group is the state of one group. A group without stores is a free place in Service.groups.
type group struct {
	id           uint64
	stores       []store
	watcherIndex int     // index of the watcher in members; -1: this front, or none is known
	watcherName  string  // name of the last watcher other than this front; backoff and backoffUntil are its own
	bestName     string  // member with the largest weight so far; empty: this front
	bestWeight   uint64  // weight of that member
	elected      bool    // bestName and bestWeight are set
	watchedHere  bool    // this front is the watcher
	leaseName    string  // lease that a watcher has to hold to answer
	backoff      int     // number of times that the back-off has doubled
	backoffUntil Time    // the watcher is not queried before
	waiting      []Query // queries of other fronts that wait for stores
	queriedAt    Time    // when stores were first queried for them; 0: no query is pending
}

// store is the state of one store.
type store struct {
	name     string
	position Time // largest position that it has shown to this front; 0: unknown
	primary  bool
	pending  bool // a query to it is pending
}

// pendingQuery is a query of this front that its watcher has not answered yet.
type pendingQuery struct {
	seq         uint64
	group       int    // index in groups
	store       string // the store that RequestPosition named
	minPosition Time
	anyStore    bool // any store of the group may have reached minPosition
	deadline    Time
}

// Service is the part of one front, both as a client of watchers and as a watcher. It is not safe for concurrent use.
type Service struct {
	host           Host
	config         Config
	now            Time // of the call in hand
	rng            random.Source
	members        []Peer            // the other fronts
	indexOf        map[string]int    // index in members, by name
	joined         []string          // members whose weights no group has taken into account yet
	groups         []group           // including free places
	groupByID      map[uint64]int    // index in groups
	storeLocations map[string][2]int // index of the group in groups and of the store in it, by name
	freeGroups     []int             // indexes in groups that are free for reuse
	pending        []pendingQuery
	waitingTotal   int    // length of waiting over all groups
	seq            uint64 // of the last query sent
	tickAt         Time   // when Tick is due
	stale          bool   // members or groups have changed since watchers were assigned
	weightCount    uint64 // number of weights computed, for tests

	// QueriesSent counts the queries sent to watchers.
	QueriesSent uint64
	// AnswersReceived counts the answers of watchers that contained positions.
	AnswersReceived uint64
	// StoreQueries counts the queries to stores on behalf of other fronts.
	StoreQueries uint64
	// Rejected counts answers to no pending query, and queries that this front could not take.
	Rejected uint64
}

// New returns a Service without members and stores.
func New(now Time, config Config, host Host) *Service {
	s := &Service{host: host, config: config, now: now, rng: random.New(config.Seed), groupByID: map[uint64]int{}, storeLocations: map[string][2]int{}, indexOf: map[string]int{}, tickAt: now}
	s.seq = uint64(s.rng.Uint32())<<32 | uint64(s.rng.Uint32()) // random, so that a forged answer has to guess it
	return s
}

// Configure changes the timeouts for answers of watchers and of stores. Pending queries to watchers keep their deadline.
func (s *Service) Configure(answerTimeout, storeTimeout Time) {
	s.config.AnswerTimeout, s.config.StoreTimeout = answerTimeout, storeTimeout
	s.tickAt = min(s.tickAt, s.now) // with shorter timeouts, a deadline may pass sooner
}

// Peer is another front of the fleet.
type Peer struct{ Name, Addr string }

// UpdateMembers replaces the list of members. The list may include this front.
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

// UpdateStore adds a store to the group id, moves it there from another group or updates its role. If present is false,
// it removes the store; id and primary are then ignored.
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

// removeGroup frees the place of a group and releases its lease. Without this, the leases of groups that were removed for
// good would be held forever.
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

// weight returns the rendezvous weight of a member for a group.
func (s *Service) weight(g *group, name string) uint64 {
	s.weightCount++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), g.id))
}

// elect finds the member with the largest weight for a group: among all members if the previous one has left, otherwise
// among the previous one and those that have joined since.
//
// It is incremental because a full assignment computes 212,800 weights at 800 members and 266 groups, and members change by
// the hundred when a zone is lost.
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

// considerMember makes a member the best one of a group if its weight is larger than that of the best one so far.
func (s *Service) considerMember(g *group, name string) {
	if weight := s.weight(g, name); weight > g.bestWeight {
		g.bestName, g.bestWeight = name, weight
	}
}

// assignWatchers determines the watcher of each group, and acquires or releases the leases of this front accordingly.
// It leaves groups beyond this front's share without a watcher.
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

// RequestPosition is called when this front is about to query the named store for its position. With anyStore, a read needs
// some store of the group to have reached minPosition; otherwise the query is to find out whether this store is up and has
// reached it. RequestPosition reports whether the watcher of the group is queried instead; if so, it ends with a call of
// Host.PositionResolved.
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

// HandleAnswer processes an answer of a watcher. An answer to no pending query is rejected; positions of stores outside the
// group of the query are ignored.
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

// backOff stops queries to a watcher that did not answer, for a time that doubles with each failure.
func (s *Service) backOff(g *group) {
	g.backoffUntil = s.now + s.config.Period<<g.backoff
	g.backoff = min(g.backoff+1, maxBackoffDoublings)
}

// HandleQuery processes a query of another front. It answers at once if it can, and without positions if this front does not
// watch the group, does not hold its lease or has too many queries waiting. Otherwise the query waits for stores.
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

// satisfies reports whether the known positions show what a query needs.
func (g *group) satisfies(q *Query) bool {
	for k := range g.stores {
		if st := &g.stores[k]; st.position >= q.MinPosition && (st.name == q.Store || q.Store == "" && !st.primary) {
			return true
		}
	}
	return false
}

// sendAnswer answers a query with all known positions of the group, at most MaxPositions.
func (s *Service) sendAnswer(g *group, q Query) {
	a := Answer{Seq: q.Seq, Group: q.Group}
	for k := range g.stores {
		if st := &g.stores[k]; st.position > 0 && len(a.Positions) < MaxPositions {
			a.Positions = append(a.Positions, StorePosition{st.name, st.position})
		}
	}
	s.host.SendAnswer(q.Addr, a)
}

// queryStores queries the replicas of a group, or the one store that a query names, unless a query to it is pending.
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

// PositionObserved records a position that a store has shown to this front, whether in answer to a query or otherwise.
func (s *Service) PositionObserved(now Time, name string, position Time) {
	s.now = now
	if location, ok := s.storeLocations[name]; ok {
		g := &s.groups[location[0]]
		st := &g.stores[location[1]]
		st.position, st.pending = max(st.position, position), false
		s.answerSatisfied(g)
	}
}

// QueryFailed records that a query to a store failed.
func (s *Service) QueryFailed(now Time, name string) {
	s.now = now
	if location, ok := s.storeLocations[name]; ok {
		g := &s.groups[location[0]]
		g.stores[location[1]].pending = false
		s.answerSatisfied(g)
	}
}

// answerSatisfied answers the waiting queries whose required position is known now, and all others once no query to a store
// of the group is pending.
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

// finishSurvey answers all waiting queries of a group with what is known.
func (s *Service) finishSurvey(g *group) {
	g.queriedAt = 0
	for _, q := range g.waiting {
		s.sendAnswer(g, q)
		s.waitingTotal--
	}
	g.waiting = g.waiting[:0]
}

// NextTick returns the time at which Tick must be called next.
func (s *Service) NextTick() Time { return s.tickAt }

// Tick assigns watchers if members or groups have changed, and ends queries whose deadline has passed.
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
		// Without the back-off, a watcher that is gone would cost every read a part of the time that it may wait.
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
