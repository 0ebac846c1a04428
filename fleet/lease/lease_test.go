package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// newReadyWorld returns a world in which voter 1 leads and front 0 holds the lease that front 1 waits for.
func newReadyWorld(f defect, rates ...float64) *world {
	w := newWorld(3, 2, f, rates...)
	w.voters[0].v.node.Campaign()
	w.voters[0].v.handleReady()
	w.settle()
	w.fronts[0].h.Acquire(w.fronts[0].clock(), "l")
	w.advance(1)
	w.settle()
	w.fronts[1].h.Acquire(w.fronts[1].clock(), "l")
	w.advance(1)
	w.settle()
	return w
}

// TestGrantedAndHandedOver checks that a lease is granted and renewed, and that its holder hands it over quickly on a planned
// shutdown.
func TestGrantedAndHandedOver(t *testing.T) {
	w := newReadyWorld(defect{})
	if _, ok := w.fronts[0].h.UsableToken("l", second); !ok || w.violation != "" {
		t.Fatalf("front 0 does not hold the lease: %s %v", w.violation, w.log)
	}
	if _, ok := w.fronts[0].h.UsableToken("l", 4*second); ok {
		t.Error("an operation may start that cannot end within the validity")
	}
	for range 200 { // renewed many times
		w.advance(terms.Span / 20)
		w.settle()
	}
	if _, ok := w.fronts[0].h.UsableToken("l", 0); !ok {
		t.Error("the lease is not renewed")
	}
	at := w.now
	w.fronts[0].h.ReleaseAll(w.fronts[0].clock())
	w.settle()
	for range 40 {
		if _, ok := w.fronts[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 40)
		w.settle()
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok || w.now-at > terms.Span/4 {
		t.Errorf("a planned shutdown hands the lease over after %d ms, held %v", (w.now-at)/10, ok)
	}
}

// TestHolderLost checks that the lease of a holder that has stopped goes to the next front within a span, the margins and
// two rounds of requests.
func TestHolderLost(t *testing.T) {
	w := newReadyWorld(defect{})
	w.fronts[0].down = true
	at := w.now
	for range 400 {
		if _, ok := w.fronts[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok || w.now-at > terms.leaderHold()+terms.Span/2 {
		t.Errorf("lease granted to the next front after %d ms, held %v", (w.now-at)/10, ok)
	}
	// The stopped holder resumes where it was: its clock must not let it use its token.
	w.fronts[0].down = false
	if _, ok := w.fronts[0].h.UsableToken("l", 0); ok {
		t.Error("the former holder still has a usable token")
	}
}

// TestHolderWithoutReplies checks that a holder whose requests arrive but that receives no replies loses the lease to a
// front that does receive them.
func TestHolderWithoutReplies(t *testing.T) {
	w := newReadyWorld(defect{})
	w.cut = func(from, to string) bool { return to == "a0" }
	at := w.now
	for range 400 {
		if _, ok := w.fronts[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok || w.now-at > 2*terms.leaderHold()+terms.Span/2 {
		t.Errorf("lease granted to the next front after %d ms, held %v", (w.now-at)/10, ok)
	}
	w.cut = nil
	for range 400 {
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok || w.violation != "" {
		t.Errorf("the new holder has lost the lease: %v %s", ok, w.violation)
	}
}

// TestReleaseIsRepeated checks that a release that reached no leader is repeated, so that the lease is handed over soon
// and not only when it expires.
func TestReleaseIsRepeated(t *testing.T) {
	w := newReadyWorld(defect{})
	w.cut = func(from, to string) bool { return from == "a0" }
	w.fronts[0].h.ReleaseAll(w.fronts[0].clock())
	w.settle()
	w.advance(terms.Span / 20)
	w.cut = nil
	at := w.now
	for range 100 {
		if _, ok := w.fronts[1].h.UsableToken("l", 0); ok {
			break
		}
		w.advance(terms.Span / 100)
		w.settle()
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok || w.now-at > terms.Span/4 {
		t.Errorf("lease handed over after %d ms, held %v", (w.now-at)/10, ok)
	}
	for range 20 {
		w.advance(terms.Span / 100)
		w.settle()
	}
	if !w.fronts[0].h.Empty() {
		t.Error("the former holder still waits for its release to be confirmed")
	}
}

// TestManyLeasesExpireTogether checks that 10,000 leases that expire at the same moment are all ended, with 300 fronts
// waiting for one of them, and that no more than MaxLeases are granted.
func TestManyLeasesExpireTogether(t *testing.T) {
	w := newWorld(3, 1, defect{})
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
	if n := len(v.v.grants.byName); n != MaxLeases {
		t.Fatalf("%d leases are granted", n)
	}
	ask("one too many", "x", 2)
	w.settle()
	if v.v.grants.find("one too many") != nil {
		t.Error("a lease beyond MaxLeases is granted")
	}
	for n := range 300 {
		ask("l7", fmt.Sprint("y", n), 1)
	}
	w.inFlight = nil
	for range 200 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	l := w.leader()
	if n := len(l.v.grants.byName); n != 0 {
		t.Errorf("%d leases are left", n)
	}
	t.Logf("%v for 10,000 grants and their ends", time.Since(began))
	if s, err := decodeGrantTable(l.v.grants.snapshot()); err != nil || s.Applied != l.v.grants.Applied {
		t.Errorf("the snapshot: %v", err)
	}
}

// TestFullDiskAndRestart checks that a voter whose disk is full steps aside while the others go on, and that voters that
// restart from their disks know all grants.
func TestFullDiskAndRestart(t *testing.T) {
	w := newReadyWorld(defect{})
	w.voters[0].diskFull = true
	w.fronts[0].down = true
	for range 400 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	if w.voters[0].v.Err() == nil {
		t.Error("the voter with the full disk does not step aside")
	}
	if _, ok := w.fronts[1].h.UsableToken("l", 0); !ok {
		t.Errorf("the other voters do not go on granting: %v", w.log)
	}
	for _, v := range w.voters[1:] {
		w.crash(v)
	}
	for _, v := range w.voters {
		v.diskFull = false
		w.restart(v)
	}
	held, _ := w.fronts[1].h.UsableToken("l", 0)
	for range 100 {
		w.advance(terms.Span / 50)
		w.settle()
	}
	if token, ok := w.fronts[1].h.UsableToken("l", 0); !ok || token != held {
		t.Errorf("after a restart of all voters, token %d is %d, held %v", held, token, ok)
	}
}

// TestChangeOfVoters checks that voters can be removed and added, one by one, while a lease is held.
func TestChangeOfVoters(t *testing.T) {
	w := newReadyWorld(defect{})
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
	if _, ok := w.fronts[0].h.UsableToken("l", 0); !ok || w.violation != "" {
		t.Errorf("the lease is lost: %s %v", w.violation, w.log)
	}
	if err := w.voters[1].v.ChangeVoters(0, VoterInfo{ID: 9}, true); err == nil {
		t.Error("a voter that does not lead changes the voters")
	}
}

// TestSeeds checks by seeded random histories with overlapping faults that two fronts never hold one lease at the same
// time, with 5 voters, 20 fronts and clocks at both ends of the allowed drift.
func TestSeeds(t *testing.T) {
	began, grants, ops := time.Now(), 0, 0
	seeds := 1000
	if raceEnabled {
		seeds = 20
	}
	for seed := range seeds {
		w := newWorld(5, 20, defect{}, 1-terms.Drift, 1+terms.Drift, 1)
		w.history = &history{lastHeld: map[[2]string]Time{}, clientIDs: map[string]int{}, lastObservation: w.now}
		w.play(uint64(seed), 30*second)
		if ops += len(w.history.ops); !porcupine.CheckOperations(lock, w.history.ops) {
			t.Fatalf("seed %d: the history is not linearizable as a lock: %v", seed, w.history.ops)
		}
		if w.violation != "" {
			t.Fatalf("seed %d: %s\n%v", seed, w.violation, w.log)
		}
		grants += w.counts["held"]
	}
	t.Logf("%d seeds, %d grants, %d operations checked by porcupine, %.0f seeds a minute", seeds, grants, ops, float64(seeds)/time.Since(began).Minutes())
	if grants < 3*seeds {
		t.Errorf("only %d grants: the test exercised too little", grants)
	}
}

// TestPorcupineFindsTwoHolders checks that the check of TestSeeds fails on a history in which two fronts hold one lease.
func TestPorcupineFindsTwoHolders(t *testing.T) {
	for seed := range 200 {
		w := newWorld(5, 20, defect{afterVoterStep: func(v *Voter) {
			for _, t := range v.timers {
				t.expiresAt = min(t.expiresAt, v.now+v.terms.Span/4)
			}
		}}, 1-terms.Drift, 1+terms.Drift, 1)
		w.history = &history{lastHeld: map[[2]string]Time{}, clientIDs: map[string]int{}, lastObservation: w.now}
		w.play(uint64(seed), 30*second)
		if !porcupine.CheckOperations(lock, w.history.ops) {
			return
		}
	}
	t.Error("leaders that keep leases for only a quarter of their span are not detected")
}
