package positions

import (
	"fmt"
	"testing"

	"micatrack/internal/random"
)

// bench is a front's host that notes what its watch asks for.
type bench struct {
	queries  []Query
	answers  []Answer
	surveys  []string
	vouched  map[string]Time
	proxied  map[string]bool
	wants    map[string]bool
	withheld bool // its leases
}

func (b *bench) SendQuery(_ string, q Query)                { b.queries = append(b.queries, q) }
func (b *bench) SendAnswer(_ string, a Answer)              { b.answers = append(b.answers, a) }
func (b *bench) QueryPosition(store string)                 { b.surveys = append(b.surveys, store) }
func (b *bench) ReportPosition(store string, position Time) { b.vouched[store] = position }
func (b *bench) PositionResolved(store string, ok bool)     { b.proxied[store] = ok }
func (b *bench) AcquireLease(lease string)                  { b.wants[lease] = true }
func (b *bench) ReleaseLease(lease string)                  { delete(b.wants, lease) }
func (b *bench) HoldsLease(lease string) bool               { return b.wants[lease] && !b.withheld }

// front gives one of so many, with groups of a primary and two replicas.
func front(n, fronts, groups int) (*Service, *bench) {
	b := &bench{vouched: map[string]Time{}, proxied: map[string]bool{}, wants: map[string]bool{}}
	w := New(1000, Config{Name: fmt.Sprint("f", n), Addr: fmt.Sprint("f", n), AnswerTimeout: 150, Period: 5000, StoreTimeout: 2500, Seed: uint64(n)}, b)
	var all []Peer
	for k := range fronts {
		all = append(all, Peer{fmt.Sprint("f", k), fmt.Sprint("f", k)})
	}
	w.UpdateMembers(all)
	for g := range groups {
		for k := range 3 {
			w.UpdateStore(fmt.Sprintf("g%d-%d", g, k), uint64(g), k == 0, true)
		}
	}
	w.Tick(1000)
	return w, b
}

// TestOneWatcherForEachGroup: all fronts agree on it, none has more than its share, and those of one that is gone go to others.
func TestOneWatcherForEachGroup(t *testing.T) {
	count := func(fronts int, gone string) map[string]int {
		by := map[string]int{}
		for n := range fronts {
			w, b := front(n, fronts, 40)
			if w.self.Name == gone {
				continue
			}
			if gone != "" {
				w.UpdateMembers(w.members[:0:0])
				var rest []Peer
				for k := range fronts {
					if name := fmt.Sprint("f", k); name != gone {
						rest = append(rest, Peer{name, name})
					}
				}
				w.UpdateMembers(rest)
				w.Tick(2000)
			}
			if len(b.wants) > shareMost*40/fronts+1 {
				t.Errorf("f%d watches %d of 40 groups", n, len(b.wants))
			}
			for l := range b.wants {
				by[l]++
			}
		}
		return by
	}
	for _, gone := range []string{"", "f3"} {
		by := count(10, gone)
		for l, n := range by {
			if n != 1 {
				t.Errorf("%s has %d watchers", l, n)
			}
		}
		if len(by) < 38 { // one with far more than its share leaves some to the fronts themselves
			t.Errorf("%d groups are watched", len(by))
		}
	}
}

// TestAnswersAreOfWhatWasAsked: an answer to nothing, of another group or about its stores, and one too late count for nothing;
// a watcher that does not answer is left alone for longer each time.
func TestAnswersAreOfWhatWasAsked(t *testing.T) {
	w, b := front(0, 2, 8)
	g := -1
	for k := range w.groups {
		if w.groups[k].watcher >= 0 {
			g = k
		}
	}
	if g < 0 {
		t.Fatal("the other front watches nothing")
	}
	store := w.groups[g].stores[1].name
	if !w.RequestPosition(2000, store, 1990, true) || len(b.queries) != 1 {
		t.Fatal("the watcher is not asked")
	}
	q := b.queries[0]
	w.HandleAnswer(2001, Answer{Seq: q.Seq + 1, Group: q.Group, Positions: []StorePosition{{store, 2000}}})
	if len(b.vouched) > 0 || len(b.proxied) > 0 {
		t.Error("an answer to nothing counts")
	}
	w.HandleAnswer(2002, Answer{Seq: q.Seq, Group: q.Group, Positions: []StorePosition{{store, 1980}, {"g99-1", 2000}}})
	if b.vouched[store] != 1980 || len(b.vouched) != 1 || b.proxied[store] {
		t.Errorf("vouched %v, settled %v by a position before the need", b.vouched, b.proxied)
	}
	paused := Time(0)
	for range 3 {
		now := w.now + paused + w.self.Period
		if !w.RequestPosition(now, store, now, true) {
			t.Fatal("it is left alone for ever")
		}
		delete(b.proxied, store)
		w.Tick(now + w.self.AnswerTimeout)
		if ok, told := b.proxied[store]; !told || ok {
			t.Fatal("a question that nobody answers is not ended")
		}
		if w.RequestPosition(w.now+1, store, w.now, true) {
			t.Error("a silent watcher is asked on")
		}
		paused = w.groups[g].shutTo - w.now
	}
	if paused < 3*w.self.Period {
		t.Errorf("after three silences it is left alone for %d", paused)
	}
}

// TestStoresAreAskedOnce: many who wait for a group cost its stores one question each, and one without the lease says that
// it does not watch.
func TestStoresAreAskedOnce(t *testing.T) {
	w, b := front(0, 1, 1)
	for n := range 50 {
		w.HandleQuery(2000, Query{Seq: uint64(n + 1), MinPosition: 1990, Addr: "x"})
	}
	if len(b.surveys) != 2 || len(b.answers) != 0 {
		t.Fatalf("%d questions to stores, %d answers", len(b.surveys), len(b.answers))
	}
	w.PositionObserved(2010, "g0-1", 1985)
	if len(b.answers) != 0 {
		t.Error("they are told what does not show their need")
	}
	if w.PositionObserved(2011, "g0-2", 1995); len(b.answers) != 50 || len(b.answers[0].Positions) != 2 {
		t.Errorf("%d are answered", len(b.answers))
	}
	w.HandleQuery(2100, Query{Seq: 99, MinPosition: 2090, Addr: "x"})
	w.QueryFailed(2110, "g0-1")
	w.Tick(2100 + w.self.StoreTimeout)
	if len(b.answers) != 51 || w.waiting != 0 {
		t.Errorf("after stores that do not answer %d are, %d wait", len(b.answers), w.waiting)
	}
	for k := range 3 {
		w.UpdateStore(fmt.Sprintf("g0-%d", k), 0, false, false)
	}
	if len(b.wants) != 0 || len(w.byID) != 0 {
		t.Errorf("a group without stores is watched: %v", b.wants)
	}
	for g := range 20 { // one after the other, for good
		w.UpdateStore("s", uint64(100+g), false, true)
		w.Tick(w.now + w.self.Period)
	}
	if len(w.groups) > 2 || len(b.wants) != 1 {
		t.Errorf("%d places, %v wanted", len(w.groups), b.wants)
	}
	w.UpdateStore("s", 0, false, true)
	w.Tick(w.now + w.self.Period)
	b.withheld = true
	if w.HandleQuery(9000, Query{Seq: 100, Addr: "x"}); len(b.answers) != 52 || len(b.answers[51].Positions) != 0 {
		t.Error("one without the lease answers")
	}
}

// TestElectionKeepsUp: through random comings and goings each group's watcher is the one that a whole assignment finds, and a
// change of a few members weighs few pairs.
func TestElectionKeepsUp(t *testing.T) {
	const fronts, groups = 200, 60
	random := random.New(9)
	there := make([]bool, fronts)
	for k := range there {
		there[k] = true
	}
	listed := func() (all []Peer) {
		for k := range there {
			if there[k] {
				all = append(all, Peer{fmt.Sprint("f", k), fmt.Sprint("f", k)})
			}
		}
		return all
	}
	w, _ := front(0, fronts, groups)
	now := Time(1000)
	for round := range 300 {
		changes := 1 + random.Below(3)
		if round%50 == 0 {
			changes = 60
		}
		for range changes {
			k := 1 + random.Below(fronts-1)
			there[k] = !there[k]
		}
		w.UpdateMembers(listed())
		if round%3 == 0 { // twice before the next beat, and the last comings are taken back
			k := 1 + random.Below(fronts-1)
			there[k] = !there[k]
			w.UpdateMembers(listed())
			there[k] = !there[k]
			w.UpdateMembers(listed())
		}
		before := w.weighed
		now += 5000
		w.Tick(now)
		if pairs := w.weighed - before; changes < 4 && pairs > 6*groups+8*fronts {
			t.Errorf("round %d: %d pairs were weighed for %d changes", round, pairs, changes)
		}
		whole, _ := front(0, 0, groups)
		whole.UpdateMembers(listed())
		whole.Tick(now)
		for gi := range w.groups {
			if w.groups[gi].best != whole.groups[gi].best {
				t.Fatalf("round %d, group %d: watched by %q, a whole assignment says %q", round, gi, w.groups[gi].best, whole.groups[gi].best)
			}
		}
	}
}
