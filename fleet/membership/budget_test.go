package membership

import (
	"fmt"
	"testing"
)

// TestTrafficStaysWithinBudget partitions a zone of up to a hundred fronts for a minute. What a front sends
// in the worst ten seconds must stay within its budgets whatever the fleet's size, and all members must be
// alive for all others soon after the partition ends.
func TestTrafficStaysWithinBudget(t *testing.T) {
	const (
		window = 10 * 10_000 // in units of Time
		// The fact budget, full at the start of the window and spent in it, plus pings, their answers and
		// refutations. No notes are published.
		allowed = factBurst/10 + factRate + 700
	)
	for _, each := range []int{20, 100} {
		network := startFleet(12, each)
		network.run(150 * period)
		worst := 0.0
		run := func(spans int) {
			for range spans {
				before := network.bytes
				network.run(window)
				worst = max(worst, float64(network.bytes-before)/float64(len(network.order))/10)
			}
		}
		network.cut = func(from, to string) bool { return (from[0] == 'a') != (to[0] == 'a') }
		run(6)
		network.cut = nil
		run(9)
		t.Logf("%d members: %.0f bytes a second in the worst ten seconds", 3*each, worst)
		if worst > allowed {
			t.Errorf("%d members: %.0f bytes a second in the worst ten seconds, want at most %d", 3*each, worst, allowed)
		}
		for _, o := range network.order {
			for _, e := range o.view.List() {
				if e.State != Alive {
					t.Fatalf("%d members: for %s, %s is %v 90 s after the partition ended", 3*each, o.view.config.Name, e.Name, e.State)
				}
			}
		}
	}
}

// TestTokenBucket checks that a bucket holds at most its burst and fills at its rate, and that an overdrawn
// one has to be refilled first.
func TestTokenBucket(t *testing.T) {
	b := newTokenBucket(0, 100, 1000)
	for _, step := range []struct {
		now  Time
		take int
		left int64
	}{{0, 0, 1000}, {10_000, 300, 1000}, {10_000, 0, 700}, {20_000, 900, 800}, {30_000, 0, 0}, {40_000, 0, 100}, {1 << 50, 0, 1000}} {
		if left := b.available(step.now); left != step.left {
			t.Errorf("at %d: %d bytes left, want %d", step.now, left, step.left)
		}
		b.spend(step.take)
	}
	b.spend(1 << 30)
	if left := b.available(1<<50 + 10_000); left != -900 {
		t.Errorf("%d bytes left a second after the bucket was overdrawn, want the negative burst plus the rate of a second", left)
	}
}

// viewWithMembers returns a view with the given number of members in one zone, each of which has sent a
// message.
func viewWithMembers(members int) *Members {
	node := &testNode{network: newTestNetwork(1), deathCounts: map[string]int{}, noteVersions: map[string]uint64{}}
	node.view = New(1, Config{Name: "self", Zone: "a", Addr: "self", Period: period, MaxMembers: 1024, NoteTTL: 1 << 40}, node)
	for k := range members {
		name := fmt.Sprintf("m%d", k)
		node.view.Receive(1, &Message{Kind: Gossip, Sender: Fact{Name: []byte(name), Zone: []byte("a"), Addr: []byte(name), Incarnation: 1}})
	}
	return node.view
}

// TestSyncCarriesOnlyDifferences checks the contents of a SyncResponse. Between views that hold the same it
// is empty. If they differ in one member it carries that member and few others. A requester that sends no
// digest, as older versions do, gets everything.
func TestSyncCarriesOnlyDifferences(t *testing.T) {
	a, b := viewWithMembers(300), viewWithMembers(300)
	ask := func(digest []byte) *Message {
		b.rememberDigest(&Message{Kind: SyncRequest, Digest: digest})
		return b.SyncMessage(SyncResponse)
	}
	digest := append([]byte(nil), a.SyncMessage(SyncRequest).Digest...)
	if got := ask(digest); len(got.Facts) != 0 || len(got.Notes) != 0 {
		t.Errorf("%d facts and %d notes that both views hold", len(got.Facts), len(got.Notes))
	}
	b.applyFact(&Fact{Name: []byte("m7"), Zone: []byte("a"), Addr: []byte("m7"), Incarnation: 2})
	b.Publish(1, "note", 1, []byte("body"), SpreadQuietly)
	got := ask(digest)
	sent := false
	for _, fact := range got.Facts {
		sent = sent || string(fact.Name) == "m7" && fact.Incarnation == 2
	}
	if !sent || len(got.Facts) > 20 || len(got.Notes) != 1 {
		t.Errorf("%d facts, %d notes; the fact that differs is included: %v", len(got.Facts), len(got.Notes), sent)
	}
	if got := ask(nil); len(got.Facts) != 300 {
		t.Errorf("%d facts in response to a request without a digest, want 300", len(got.Facts))
	}
	starting := append([]byte(nil), viewWithMembers(1).SyncMessage(SyncRequest).Digest...)
	if got := ask(starting); len(got.Facts) != 300 {
		t.Errorf("%d facts in response to a front that has just started, want 300", len(got.Facts))
	}
	bytes := 0
	for range 200 { // as when a whole fleet starts
		answer := ask(starting)
		for i := range answer.Facts {
			bytes += answer.Facts[i].size()
		}
	}
	if most := startupBurst + 200*(minStartupBytes+100); bytes > most {
		t.Errorf("%d bytes for 200 fronts that start at once, want at most %d", bytes, most)
	}
}

// TestSyncResponsesStayWithinBudget lets many fronts with different contents request syncs at once. The
// responses stay within the budget, each has at least some facts, and over many requests all members are
// sent.
func TestSyncResponsesStayWithinBudget(t *testing.T) {
	a, b := viewWithMembers(300), viewWithMembers(300)
	for k := range 300 {
		name := fmt.Appendf(nil, "m%d", k)
		b.applyFact(&Fact{Name: name, Zone: []byte("a"), Addr: name, Incarnation: 2})
	}
	digest := append([]byte(nil), a.SyncMessage(SyncRequest).Digest...)
	sent, bytes := map[string]bool{}, 0
	const asks = 60
	for k := range asks {
		b.rememberDigest(&Message{Kind: SyncRequest, Digest: digest})
		answer := b.SyncMessage(SyncResponse)
		for i := range answer.Facts {
			sent[string(answer.Facts[i].Name)] = true
			bytes += answer.Facts[i].size()
		}
		if len(answer.Facts) < 20 {
			t.Fatalf("request %d got %d facts, want at least 20", k, len(answer.Facts))
		}
	}
	if most := responseBurst + asks*(minResponseBytes+100); bytes > most {
		t.Errorf("%d bytes, want at most %d", bytes, most)
	}
	if len(sent) < 290 {
		t.Errorf("facts about %d of 300 members were sent, want at least 290", len(sent))
	}
}

// TestContestedDeathIsSent guards against fronts that never agree on a member's death: one holds a member for
// dead that another holds for alive. After a response of the second, the first sends it the death with the
// next sync, where it counts as a suspicion that the member can refute.
func TestContestedDeathIsSent(t *testing.T) {
	m := viewWithMembers(5)
	dead := Fact{Name: []byte("m3"), Zone: []byte("a"), Addr: []byte("m3"), Incarnation: 1, State: Dead}
	m.applyFact(&dead)
	alive := dead
	alive.State = Alive
	m.nextContestedSyncAt = 3 // prevents an immediate sync for the contested member alone
	m.Receive(2, &Message{Kind: SyncResponse, Sender: Fact{Name: []byte("m1"), Zone: []byte("a"), Addr: []byte("m1"), Incarnation: 1}, Facts: []Fact{alive}})
	if got := m.SyncMessage(SyncRequest); len(got.Facts) != 1 || string(got.Facts[0].Name) != "m3" || got.Facts[0].State != Dead {
		t.Errorf("the next SyncRequest carries %+v", got.Facts)
	}
	if got := m.SyncMessage(SyncRequest); len(got.Facts) != 0 {
		t.Errorf("the contested fact is sent again: %+v", got.Facts)
	}
	for k, now := range []Time{4, 5} { // the first response triggers a sync, which takes the fact along; the second one has to wait
		m.Receive(now, &Message{Kind: SyncResponse, Sender: Fact{Name: []byte("m1"), Zone: []byte("a"), Addr: []byte("m1"), Incarnation: 1}, Facts: []Fact{alive}})
		if waiting := len(m.contested); waiting != k {
			t.Errorf("%d contested facts wait after response %d", waiting, k+1)
		}
	}
}
