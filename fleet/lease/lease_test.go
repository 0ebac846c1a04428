package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// ready gives a world in which voter 1 leads, and asker 0 holds the lease that asker 1 waits for.
func ready(f flaw, rates ...float64) *world {
	w := newWorld(3, 2, f, rates...)
	w.voters[0].v.node.Campaign()
	w.voters[0].v.handleReady()
	w.settle()
	w.askers[0].h.Acquire(w.askers[0].clock(), "l")
	w.advance(1)
	w.settle()
	w.askers[1].h.Acquire(w.askers[1].clock(), "l")
	w.advance(1)
	w.settle()
	return w
}

func TestGrantedAndHandedOver(t *testing.T) {
	w := ready(flaw{})
	if _, ok := w.askers[0].h.UsableToken("l", second); !ok || w.trouble != "" {
		t.Fatalf("asker 0 does not hold it: %s %v", w.trouble, w.log)
	}
	if _, ok := w.askers[0].h.UsableToken("l", 4*second); ok {
		t.Error("an act is begun that cannot end in time")
	}
	for range 200 { // renewed for long
		w.advance(terms.Span / 20)
		w.settle()
	}
	if _, ok := w.askers[0].h.UsableToken("l", 0); !ok {
		t.Error("it is not renewed")
	}
	at := w.now
	w.askers[0].h.ReleaseAll(w.askers[0].clock())
	w.settle()
	for range 40 {
		if _, ok := w.askers[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 40)
		w.settle()
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok || w.now-at > terms.Span/4 {
		t.Errorf("a planned stop hands it over after %d ms, held %v", (w.now-at)/10, ok)
	}
}

// TestHolderLost: a holder that is gone is followed within a span, the margins and two rounds.
func TestHolderLost(t *testing.T) {
	w := ready(flaw{})
	w.askers[0].down = true
	at := w.now
	for range 400 {
		if _, ok := w.askers[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok || w.now-at > terms.waits()+terms.Span/2 {
		t.Errorf("followed after %d ms, held %v", (w.now-at)/10, ok)
	}
	// The one that was stopped goes on where it was: neither its clock nor its token lets it act.
	w.askers[0].down = false
	if _, ok := w.askers[0].h.UsableToken("l", 0); ok {
		t.Error("it acts on")
	}
}

// TestDeafHolder: a holder whose questions arrive, and to whom no answer does, is followed by one that hears.
func TestDeafHolder(t *testing.T) {
	w := ready(flaw{})
	w.cut = func(from, to string) bool { return to == "a0" }
	at := w.now
	for range 400 {
		if _, ok := w.askers[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok || w.now-at > 2*terms.waits()+terms.Span/2 {
		t.Errorf("followed after %d ms, held %v", (w.now-at)/10, ok)
	}
	w.cut = nil
	for range 400 {
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok || w.trouble != "" {
		t.Errorf("the one that follows has lost it: %v %s", ok, w.trouble)
	}
}

// TestReleaseIsRepeated: what is given back while nobody leads is given back once somebody does, and not only at its end.
func TestReleaseIsRepeated(t *testing.T) {
	w := ready(flaw{})
	w.cut = func(from, to string) bool { return from == "a0" }
	w.askers[0].h.ReleaseAll(w.askers[0].clock())
	w.settle()
	w.advance(terms.Span / 20)
	w.cut = nil
	at := w.now
	for range 100 {
		if _, ok := w.askers[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok || w.now-at > terms.Span/4 {
		t.Errorf("handed over after %d ms, held %v", (w.now-at)/10, ok)
	}
	for range 20 {
		w.advance(terms.Span / 100)
		w.settle()
	}
	if !w.askers[0].h.Empty() {
		t.Error("the one before has not heard that it is done")
	}
}

// TestManyEndTogether: 10,000 leases that end at the same moment, and 300 askers for one.
func TestManyEndTogether(t *testing.T) {
	w := newWorld(3, 1, flaw{})
	w.voters[0].v.node.Campaign()
	w.voters[0].v.handleReady()
	w.settle()
	v := w.voters[0]
	ask := func(name, from string, seq uint64) {
		v.v.HandleRequest(v.clock(), Request{Op: Acquire, Name: name, From: Instance{from, 1}, Seq: seq, Addr: "nowhere"})
	}
	began := time.Now()
	for n := range MaxLeases {
		ask(fmt.Sprint("l", n), "x", 1)
		if n%500 == 0 {
			w.settle()
		}
	}
	w.settle()
	if n := len(v.v.book.byName); n != MaxLeases {
		t.Fatalf("%d are granted", n)
	}
	ask("one too many", "x", 2)
	w.settle()
	if v.v.book.find("one too many") != nil {
		t.Error("there is no bound")
	}
	for n := range 300 {
		ask("l7", fmt.Sprint("y", n), 1)
	}
	w.mail = nil
	for range 200 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	l := w.leader()
	if n := len(l.v.book.byName); n != 0 {
		t.Errorf("%d are left", n)
	}
	t.Logf("%v for 10,000 grants and their ends", time.Since(began))
	if s, err := readBook(l.v.book.snapshot()); err != nil || s.Applied != l.v.book.Applied {
		t.Errorf("the snapshot: %v", err)
	}
}

// TestDisk: a voter whose disk is full steps aside and says so; the others go on. One that comes back from its disk knows
// all that it promised.
func TestDisk(t *testing.T) {
	w := ready(flaw{})
	w.voters[0].full = true
	w.askers[0].down = true
	for range 400 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	if w.voters[0].v.Err() == nil {
		t.Error("it does not step aside")
	}
	if _, ok := w.askers[1].h.UsableToken("l", 0); !ok {
		t.Errorf("the others do not go on: %v", w.log)
	}
	for _, v := range w.voters[1:] {
		w.crash(v)
	}
	for _, v := range w.voters {
		v.full = false
		w.revive(v)
	}
	held, _ := w.askers[1].h.UsableToken("l", 0)
	for range 100 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	if token, ok := w.askers[1].h.UsableToken("l", 0); !ok || token != held {
		t.Errorf("after all were killed and started again token %d is %d, held %v", held, token, ok)
	}
}

// TestChangeOfVoters: one by one, while a lease is held.
func TestChangeOfVoters(t *testing.T) {
	w := ready(flaw{})
	for _, id := range []uint64{3} {
		if err := w.leader().v.ChangeVoters(w.leader().clock(), VoterInfo{ID: id}, false); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			w.advance(terms.Span / 50)
			w.settle()
		}
		if n := len(w.leader().v.Voters()); n != 2 {
			t.Errorf("%d voters", n)
		}
	}
	if err := w.leader().v.ChangeVoters(w.leader().clock(), VoterInfo{ID: 3, Name: "c", Addr: "there"}, true); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	if n := len(w.leader().v.Voters()); n != 3 {
		t.Errorf("%d voters", n)
	}
	if _, ok := w.askers[0].h.UsableToken("l", 0); !ok || w.trouble != "" {
		t.Errorf("the lease is lost: %s %v", w.trouble, w.log)
	}
	if err := w.voters[1].v.ChangeVoters(0, VoterInfo{ID: 9}, true); err == nil {
		t.Error("one that does not lead changes voters")
	}
}

// TestSeeds: 5 voters, 20 askers, clocks at both ends of the drift, faults that overlap.
func TestSeeds(t *testing.T) {
	began, grants, ops := time.Now(), 0, 0
	seeds := 1000
	if raced {
		seeds = 20
	}
	for seed := range seeds {
		w := newWorld(5, 20, flaw{}, 1-terms.Drift, 1+terms.Drift, 1)
		w.history = &history{held: map[[2]string]Time{}, ids: map[string]int{}, last: w.now}
		w.play(uint64(seed), 30*second)
		if ops += len(w.history.ops); !porcupine.CheckOperations(lock, w.history.ops) {
			t.Fatalf("seed %d: no order of these is a lock's: %v", seed, w.history.ops)
		}
		if w.trouble != "" {
			t.Fatalf("seed %d: %s\n%v", seed, w.trouble, w.log)
		}
		grants += w.reached["held"]
	}
	t.Logf("%d seeds, %d grants, %d operations judged by porcupine, %.0f seeds a minute", seeds, grants, ops, float64(seeds)/time.Since(began).Minutes())
	if grants < 3*seeds {
		t.Errorf("%d grants: nothing was tried", grants)
	}
}

// TestPorcupineFindsTwoHolders: the judge of TestSeeds says no where holders overlap.
func TestPorcupineFindsTwoHolders(t *testing.T) {
	for seed := range 200 {
		w := newWorld(5, 20, flaw{leads: func(v *Voter) {
			for _, t := range v.timed {
				t.until = min(t.until, v.now+v.terms.Span/4)
			}
		}}, 1-terms.Drift, 1+terms.Drift, 1)
		w.history = &history{held: map[[2]string]Time{}, ids: map[string]int{}, last: w.now}
		w.play(uint64(seed), 30*second)
		if !porcupine.CheckOperations(lock, w.history.ops) {
			return
		}
	}
	t.Error("leaders that keep leases for a quarter of their span pass")
}
