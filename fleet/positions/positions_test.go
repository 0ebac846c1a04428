package positions

import (
	"fmt"
	"testing"

	"micatrack/internal/random"
)

// fakeHost is a Host that records the calls of its Service.
type fakeHost struct {
	queries      []Query
	answers      []Answer
	storeQueries []string
	reported     map[string]Time
	resolved     map[string]bool
	leases       map[string]bool
	leasesDenied bool // no lease is held
}

func (host *fakeHost) SendQuery(_ string, q Query)   { host.queries = append(host.queries, q) }
func (host *fakeHost) SendAnswer(_ string, a Answer) { host.answers = append(host.answers, a) }
func (host *fakeHost) QueryPosition(store string) {
	host.storeQueries = append(host.storeQueries, store)
}
func (host *fakeHost) ReportPosition(store string, position Time) { host.reported[store] = position }
func (host *fakeHost) PositionResolved(store string, ok bool)     { host.resolved[store] = ok }
func (host *fakeHost) AcquireLease(lease string)                  { host.leases[lease] = true }
func (host *fakeHost) ReleaseLease(lease string)                  { delete(host.leases, lease) }
func (host *fakeHost) HoldsLease(lease string) bool               { return host.leases[lease] && !host.leasesDenied }

// newTestService returns front n of so many fronts, with groups of a primary and two replicas each.
func newTestService(n, fronts, groups int) (*Service, *fakeHost) {
	host := &fakeHost{reported: map[string]Time{}, resolved: map[string]bool{}, leases: map[string]bool{}}
	s := New(1000, Config{Name: fmt.Sprint("f", n), Addr: fmt.Sprint("f", n), AnswerTimeout: 150, Period: 5000, StoreTimeout: 2500, Seed: uint64(n)}, host)
	var all []Peer
	for k := range fronts {
		all = append(all, Peer{fmt.Sprint("f", k), fmt.Sprint("f", k)})
	}
	s.UpdateMembers(all)
	for g := range groups {
		for k := range 3 {
			s.UpdateStore(fmt.Sprintf("g%d-%d", g, k), uint64(g), k == 0, true)
		}
	}
	s.Tick(1000)
	return s, host
}

// TestEachGroupHasOneWatcher checks that all fronts choose the same watcher for a group, that no front watches more than its
// share, and that other fronts take over the groups of one that has left.
func TestEachGroupHasOneWatcher(t *testing.T) {
	countWatchers := func(fronts int, departed string) map[string]int {
		watchers := map[string]int{}
		for n := range fronts {
			s, host := newTestService(n, fronts, 40)
			if s.config.Name == departed {
				continue
			}
			if departed != "" {
				s.UpdateMembers(s.members[:0:0])
				var rest []Peer
				for k := range fronts {
					if name := fmt.Sprint("f", k); name != departed {
						rest = append(rest, Peer{name, name})
					}
				}
				s.UpdateMembers(rest)
				s.Tick(2000)
			}
			if len(host.leases) > maxShareFactor*40/fronts+1 {
				t.Errorf("f%d watches %d of 40 groups", n, len(host.leases))
			}
			for l := range host.leases {
				watchers[l]++
			}
		}
		return watchers
	}
	for _, departed := range []string{"", "f3"} {
		watchers := countWatchers(10, departed)
		for l, n := range watchers {
			if n != 1 {
				t.Errorf("%s has %d watchers", l, n)
			}
		}
		if len(watchers) < 38 { // a front leaves groups beyond its share without a watcher
			t.Errorf("%d groups are watched", len(watchers))
		}
	}
}

// TestAnswerMustMatchPendingQuery checks that answers to no pending query, and positions of stores of other groups, are
// ignored, and that a watcher that does not answer is not queried for a time that grows with each failure.
func TestAnswerMustMatchPendingQuery(t *testing.T) {
	s, host := newTestService(0, 2, 8)
	g := -1
	for k := range s.groups {
		if s.groups[k].watcherIndex >= 0 {
			g = k
		}
	}
	if g < 0 {
		t.Fatal("the other front watches no group")
	}
	store := s.groups[g].stores[1].name
	if !s.RequestPosition(2000, store, 1990, true) || len(host.queries) != 1 {
		t.Fatal("the watcher is not queried")
	}
	q := host.queries[0]
	s.HandleAnswer(2001, Answer{Seq: q.Seq + 1, Group: q.Group, Positions: []StorePosition{{store, 2000}}})
	if len(host.reported) > 0 || len(host.resolved) > 0 {
		t.Error("an answer to no query is used")
	}
	s.HandleAnswer(2002, Answer{Seq: q.Seq, Group: q.Group, Positions: []StorePosition{{store, 1980}, {"g99-1", 2000}}})
	if host.reported[store] != 1980 || len(host.reported) != 1 || host.resolved[store] {
		t.Errorf("reported %v; resolved %v by a position below the required one", host.reported, host.resolved)
	}
	backoff := Time(0)
	for range 3 {
		now := s.now + backoff + s.config.Period
		if !s.RequestPosition(now, store, now, true) {
			t.Fatal("the watcher is not queried again after the back-off")
		}
		delete(host.resolved, store)
		s.Tick(now + s.config.AnswerTimeout)
		if ok, ended := host.resolved[store]; !ended || ok {
			t.Fatal("a query without an answer does not end")
		}
		if s.RequestPosition(s.now+1, store, s.now, true) {
			t.Error("a silent watcher is queried during the back-off")
		}
		backoff = s.groups[g].backoffUntil - s.now
	}
	if backoff < 3*s.config.Period {
		t.Errorf("back-off of %d after three failures", backoff)
	}
}

// TestStoresAreQueriedOnce checks that each replica is queried once however many queries wait for its group, that leases of
// removed groups are released and their places reused, and that a watcher without the lease answers without positions.
func TestStoresAreQueriedOnce(t *testing.T) {
	s, host := newTestService(0, 1, 1)
	for n := range 50 {
		s.HandleQuery(2000, Query{Seq: uint64(n + 1), MinPosition: 1990, Addr: "x"})
	}
	if len(host.storeQueries) != 2 || len(host.answers) != 0 {
		t.Fatalf("%d queries to stores, %d answers", len(host.storeQueries), len(host.answers))
	}
	s.PositionObserved(2010, "g0-1", 1985)
	if len(host.answers) != 0 {
		t.Error("queries are answered before the required position is known")
	}
	if s.PositionObserved(2011, "g0-2", 1995); len(host.answers) != 50 || len(host.answers[0].Positions) != 2 {
		t.Errorf("%d queries are answered", len(host.answers))
	}
	s.HandleQuery(2100, Query{Seq: 99, MinPosition: 2090, Addr: "x"})
	s.QueryFailed(2110, "g0-1")
	s.Tick(2100 + s.config.StoreTimeout)
	if len(host.answers) != 51 || s.waitingTotal != 0 {
		t.Errorf("after stores failed to answer, %d queries are answered and %d wait", len(host.answers), s.waitingTotal)
	}
	for k := range 3 {
		s.UpdateStore(fmt.Sprintf("g0-%d", k), 0, false, false)
	}
	if len(host.leases) != 0 || len(s.groupByID) != 0 {
		t.Errorf("a group without stores is still watched: %v", host.leases)
	}
	for g := range 20 { // the store moves to a new group each time
		s.UpdateStore("s", uint64(100+g), false, true)
		s.Tick(s.now + s.config.Period)
	}
	if len(s.groups) > 2 || len(host.leases) != 1 {
		t.Errorf("%d places for groups, leases %v", len(s.groups), host.leases)
	}
	s.UpdateStore("s", 0, false, true)
	s.Tick(s.now + s.config.Period)
	host.leasesDenied = true
	if s.HandleQuery(9000, Query{Seq: 100, Addr: "x"}); len(host.answers) != 52 || len(host.answers[51].Positions) != 0 {
		t.Error("a watcher without the lease answers with positions")
	}
}

// TestIncrementalElectionMatchesFull checks that, through random changes of the members, each group has the watcher that a full
// assignment finds, and that a change of a few members computes few weights.
func TestIncrementalElectionMatchesFull(t *testing.T) {
	const fronts, groups = 200, 60
	rng := random.New(9)
	present := make([]bool, fronts)
	for k := range present {
		present[k] = true
	}
	memberList := func() (all []Peer) {
		for k := range present {
			if present[k] {
				all = append(all, Peer{fmt.Sprint("f", k), fmt.Sprint("f", k)})
			}
		}
		return all
	}
	s, _ := newTestService(0, fronts, groups)
	now := Time(1000)
	for round := range 300 {
		changes := 1 + rng.Below(3)
		if round%50 == 0 {
			changes = 60
		}
		for range changes {
			k := 1 + rng.Below(fronts-1)
			present[k] = !present[k]
		}
		s.UpdateMembers(memberList())
		if round%3 == 0 { // two more updates before the next tick, of which the second reverts the first
			k := 1 + rng.Below(fronts-1)
			present[k] = !present[k]
			s.UpdateMembers(memberList())
			present[k] = !present[k]
			s.UpdateMembers(memberList())
		}
		before := s.weightCount
		now += 5000
		s.Tick(now)
		if pairs := s.weightCount - before; changes < 4 && pairs > 6*groups+8*fronts {
			t.Errorf("round %d: %d weights computed for %d changes", round, pairs, changes)
		}
		full, _ := newTestService(0, 0, groups)
		full.UpdateMembers(memberList())
		full.Tick(now)
		for gi := range s.groups {
			if s.groups[gi].bestName != full.groups[gi].bestName {
				t.Fatalf("round %d, group %d: watched by %q, but by %q in a full assignment", round, gi, s.groups[gi].bestName, full.groups[gi].bestName)
			}
		}
	}
}
