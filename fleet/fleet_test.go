package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"micatrack/fleet/membership"
	"micatrack/fleet/zones"
	"micatrack/internal/random"
)

// These tests simulate a whole fleet on a virtual clock. The Fleets are real, stores are reduced to a few
// numbers, and fronts choose among the stores as the decision module does, as far as it matters here: a store
// that has failed is not used until a probe to it succeeds.

const (
	millisecond       = Time(10)
	second            = 1000 * millisecond
	tick              = 5 * millisecond
	period            = 500 * millisecond
	timeout           = 250 * millisecond // time after which an unanswered request has failed
	maxDelayTicks     = 128
	coldCapacity      = 0.15 // fraction of its capacity that a cold store has
	warmupTime        = 8 * second
	overloadTolerance = 1500 * millisecond
	overloadMultiple  = 3.0
)

// storeHealth is the state of a simulated store.
type storeHealth struct {
	silent       bool
	failPermille int // answers in 1,000 that are replaced by a lost connection
	addedLatency Time
	coldSince    Time // when the store was started cold; 0 if it is warm
}

type world struct {
	now            Time
	random         random.Source
	zoneNames      []string      // zones by index
	storesPerZone  int           // stores of a zone
	stores         []storeHealth // ordered by zone
	fronts         []*testFront
	byAddr         map[string]*testFront
	deliveries     [maxDelayTicks][]func()
	tickNo         int
	loss           int                            // messages lost in 1,000
	delay          Time                           // mean delay of a message
	cut            func(from, to int) bool        // reports whether messages between zones are lost, to stores and to fronts
	peerCut        func(from, to *testFront) bool // reports whether messages between fronts are lost
	fleetEnabled   bool
	bytes          int
	failedRequests int // number of requests that failed
	requests       int
	recentRequests [][]Time  // for each store, the times of its recent requests
	peakLoad       []float64 // highest load of each store, as a fraction of the load that overloads it
	rate           float64   // requests a second of each front
	logLines       []string
	drainedAt      map[*testFront]map[string]Time // when each front first drained a zone
	drainCounts    map[string]int                 // number of drains of a zone, over all fronts
}

type testFront struct {
	world        *world
	fleet        *Fleet
	name         string
	zone         int
	shares       []float64
	failures     []int  // consecutive failures of each store
	nextProbeAt  []Time // time of the next probe of each store
	stalled      bool
	dead         bool
	outsideFleet bool // the front does not take part in the fleet
}

func newWorld(seed uint64, fronts, zoneCount, each int, rate float64) *world {
	w := &world{now: 1_000_000, random: random.New(seed), storesPerZone: each, byAddr: map[string]*testFront{}, fleetEnabled: true, rate: rate, delay: 10 * millisecond,
		drainedAt: map[*testFront]map[string]Time{}, drainCounts: map[string]int{}}
	for z := range zoneCount {
		w.zoneNames = append(w.zoneNames, string(rune('a'+z)))
		for range each {
			w.stores = append(w.stores, storeHealth{})
		}
	}
	w.recentRequests, w.peakLoad = make([][]Time, len(w.stores)), make([]float64, len(w.stores))
	for k := range fronts {
		w.startFront(k, 1)
	}
	return w
}

// startFront starts a front, or restarts it with a new incarnation.
func (w *world) startFront(k int, life uint64) *testFront {
	front := &testFront{world: w, name: fmt.Sprintf("f%d", k), zone: k % len(w.zoneNames), shares: slices.Repeat([]float64{1}, len(w.zoneNames)),
		failures: make([]int, len(w.stores)), nextProbeAt: make([]Time, len(w.stores))}
	front.fleet = New(w.now, membership.Config{Name: front.name, Zone: w.zoneNames[front.zone], Addr: front.name, Incarnation: life, RandomSeed: uint64(k)<<8 + life, Period: period,
		Seeds: []string{"f0", "f1", "f2"}, MaxMembers: 4096, NoteTTL: 20 * period},
		zones.Config{ColdCapacity: coldCapacity, WarmupTime: warmupTime, OverloadTolerance: overloadTolerance}, front)
	var list []zones.Store
	for s := range w.stores {
		list = append(list, zones.Store{ID: fmt.Sprint("s", s), Zone: w.zoneNames[s/w.storesPerZone], Size: 1, Open: true})
	}
	front.fleet.Zones.UpdateStores(w.now, true, list)
	w.byAddr[front.name] = front
	if k < len(w.fronts) {
		w.fronts[k].dead = true
		w.fronts[k] = front
	} else {
		w.fronts = append(w.fronts, front)
	}
	return front
}

func (w *world) schedule(span Time, do func()) {
	n := min(max(int(span/tick), 1), maxDelayTicks-1)
	at := (w.tickNo + n) % maxDelayTicks
	w.deliveries[at] = append(w.deliveries[at], do)
}

func copyMessage(m *membership.Message) *membership.Message {
	b := func(b []byte) []byte { return append([]byte(nil), b...) }
	f := func(f membership.Fact) membership.Fact {
		return membership.Fact{Name: b(f.Name), Zone: b(f.Zone), Addr: b(f.Addr), By: b(f.By), Incarnation: f.Incarnation, State: f.State}
	}
	c := *m
	c.Sender, c.To, c.Target, c.TargetAddr, c.Facts, c.Notes = f(m.Sender), b(m.To), b(m.Target), b(m.TargetAddr), nil, nil
	for _, x := range m.Facts {
		c.Facts = append(c.Facts, f(x))
	}
	for _, x := range m.Notes {
		c.Notes = append(c.Notes, membership.Note{Key: b(x.Key), Version: x.Version, Age: x.Age, Body: b(x.Body)})
	}
	return &c
}

func (w *world) disconnected(from, to *testFront) bool {
	return w.cut != nil && w.cut(from.zone, to.zone) || w.peerCut != nil && w.peerCut(from, to)
}

func (front *testFront) Send(addr string, m *membership.Message) {
	w := front.world
	w.bytes += 60
	for k := range m.Facts {
		w.bytes += 16 + len(m.Facts[k].Name) + len(m.Facts[k].Addr)
	}
	for k := range m.Notes {
		w.bytes += 12 + len(m.Notes[k].Key) + len(m.Notes[k].Body)
	}
	to := w.byAddr[addr]
	if to == nil || w.disconnected(front, to) || w.random.Below(1000) < int64(w.loss) {
		return
	}
	c := copyMessage(m)
	w.schedule(w.delay/2+w.random.Below(w.delay), func() { to.receive(c, nil) })
}

// receive handles a message. A stalled front receives it once it runs again.
func (front *testFront) receive(c *membership.Message, answer func(*membership.Message)) {
	switch {
	case front.dead:
	case front.stalled:
		front.world.schedule(tick, func() { front.receive(c, answer) })
	case front.fleet.Receive(front.world.now, c) && answer != nil:
		answer(copyMessage(front.fleet.Members.SyncMessage(membership.SyncResponse)))
	}
}

func (front *testFront) StartSync(addr string) {
	w := front.world
	to := w.byAddr[addr]
	if to == nil || w.disconnected(front, to) || w.disconnected(to, front) {
		return
	}
	c := copyMessage(front.fleet.Members.SyncMessage(membership.SyncRequest))
	w.schedule(2*w.delay, func() {
		to.receive(c, func(back *membership.Message) { w.schedule(w.delay, func() { front.receive(back, nil) }) })
	})
}

func (front *testFront) SetShare(zone string, part float64) {
	w := front.world
	for z, name := range w.zoneNames {
		if name == zone {
			if part < 1 && front.shares[z] == 1 {
				if w.drainedAt[front] == nil {
					w.drainedAt[front] = map[string]Time{}
				}
				if _, ok := w.drainedAt[front][zone]; !ok {
					w.drainedAt[front][zone] = w.now
				}
			}
			front.shares[z] = part
		}
	}
}

func (front *testFront) Log(text string) {
	if strings.Contains(text, " to away") || strings.Contains(text, " to leaving") {
		front.world.drainCounts[strings.Fields(text)[1]]++
	}
	if len(front.world.logLines) < 4000 {
		front.world.logLines = append(front.world.logLines, fmt.Sprintf("%8.3f %s %s", float64(front.world.now-1_000_000)/float64(second), front.name, text))
	}
}

// requestOutcome returns how a store answers a front's request now, and after which time.
func (w *world) requestOutcome(front *testFront, s int) (end zones.Outcome, took Time) {
	h, z := &w.stores[s], s/w.storesPerZone
	if h.silent || w.cut != nil && (w.cut(front.zone, z) || w.cut(z, front.zone)) {
		return zones.TimedOut, timeout
	}
	if w.random.Below(1000) < int64(h.failPermille) {
		return zones.ConnectionLost, 5 * millisecond
	}
	return zones.Answered, 5*millisecond + h.addedLatency
}

// recordRequest records a request at a store, and how close the recent requests bring the store to overload.
func (w *world) recordRequest(s int) {
	h := &w.stores[s]
	if h.coldSince == 0 {
		return
	}
	q := append(w.recentRequests[s], w.now)
	for w.now-q[0] >= overloadTolerance {
		q = q[1:]
	}
	w.recentRequests[s] = q
	capacity := w.rate * float64(len(w.fronts)) / float64(len(w.stores)) * 1.3 // a warm store has somewhat more capacity than its fair share
	warm := coldCapacity + (1-coldCapacity)*min(float64(max(q[0]-h.coldSince, 0))/float64(warmupTime), 1)
	w.peakLoad[s] = max(w.peakLoad[s], float64(len(q))/(capacity*warm*overloadMultiple*float64(overloadTolerance)/float64(second)))
}

func (front *testFront) sendRequest(s int, probe bool) {
	w := front.world
	end, took := w.requestOutcome(front, s)
	if end == zones.Answered && !probe {
		w.recordRequest(s)
	}
	if !probe {
		if w.requests++; end != zones.Answered {
			w.failedRequests++
		}
	}
	w.schedule(took, func() {
		if front.dead || front.stalled {
			return
		}
		if end == zones.Answered {
			front.failures[s] = 0
		} else {
			front.failures[s]++
			front.nextProbeAt[s] = w.now + min(period<<min(front.failures[s], 5), warmupTime)
		}
		if !front.outsideFleet && w.fleetEnabled {
			front.fleet.Zones.RecordOutcome(w.now, fmt.Sprint("s", s), end, took, 300*millisecond)
		}
	})
}

// step performs one tick of a front: requests, probes and the fleet's timer.
func (front *testFront) step() {
	w := front.world
	if front.dead || front.stalled {
		return
	}
	if w.random.Below(1_000_000) < int64(w.rate*float64(tick)/float64(second)*1_000_000) {
		for range 8 { // the test chooses a random store instead of the least busy one
			s := int(w.random.Below(int64(len(w.stores))))
			if z := s / w.storesPerZone; front.failures[s] > 0 || front.shares[z] < 1 && float64(w.random.Below(1<<20)) >= front.shares[z]*(1<<20) {
				continue
			}
			front.sendRequest(s, false)
			break
		}
	}
	for s := range front.failures {
		if front.failures[s] > 0 && w.now >= front.nextProbeAt[s] && front.shares[s/w.storesPerZone] > 0 {
			front.nextProbeAt[s] = w.now + period
			front.sendRequest(s, true)
		}
	}
	if w.fleetEnabled && !front.outsideFleet && front.fleet.Next() <= w.now {
		front.fleet.Tick(w.now)
	}
}

func (w *world) run(span Time) {
	for end := w.now + span; w.now < end; w.now += tick {
		w.tickNo++
		at := w.tickNo % maxDelayTicks
		due := w.deliveries[at]
		w.deliveries[at] = nil
		for _, do := range due {
			do()
		}
		for _, front := range w.fronts {
			front.step()
		}
	}
}

// failZone makes a zone's stores stop answering; recoverZone restarts them cold.
func (w *world) failZone(z int) { w.forEachStore(z, func(h *storeHealth) { h.silent = true }) }
func (w *world) recoverZone(z int) {
	w.forEachStore(z, func(h *storeHealth) { *h = storeHealth{coldSince: w.now} })
}
func (w *world) forEachStore(z int, do func(h *storeHealth)) {
	for s := z * w.storesPerZone; s < (z+1)*w.storesPerZone; s++ {
		do(&w.stores[s])
	}
}

// worstLoad returns the highest load of any store as a fraction of the load that overloads it.
func (w *world) worstLoad() float64 { return slices.Max(w.peakLoad) }

// drainTimes returns the times from since until the first, half and 99 % of the fronts had drained a zone,
// and the number of fronts that drained it.
func (w *world) drainTimes(zone string, since Time) (first, half, most Time, n int) {
	var at []Time
	for _, front := range w.fronts {
		if m, ok := w.drainedAt[front][zone]; ok {
			at = append(at, m-since)
		}
	}
	if slices.Sort(at); len(at) == 0 {
		return 0, 0, 0, 0
	}
	return at[0], at[len(at)/2], at[max(len(at)*99/100-1, 0)], len(at)
}

func (w *world) wantShare(t *testing.T, zone int, want float64, who func(front *testFront) bool) {
	t.Helper()
	wrong := 0
	for _, front := range w.fronts {
		if (who == nil || who(front)) && !front.dead && front.shares[zone] != want {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d fronts do not have share %v of zone %s", wrong, want, w.zoneNames[zone])
		w.showLog(t)
	}
}

func (w *world) showLog(t *testing.T) {
	t.Helper()
	for k, l := range w.logLines {
		if k < 60 || testing.Verbose() && k < 300 {
			t.Log(l)
		}
	}
}

// TestZoneLossDrainsAllFronts guards the speed and the cost of draining a failed zone with 300 fronts, 5 %
// message loss and 30 ms of delay: 99 % of the fronts have drained it within 500 ms of the first, at most a
// fifth as many requests fail as without the fleet, and no store is overloaded while the zone recovers.
func TestZoneLossDrainsAllFronts(t *testing.T) {
	if raceDetector {
		t.Skip("runs without the race detector only")
	}
	simulate := func(on bool) *world {
		w := newWorld(1, 300, 3, 40, 10)
		w.fleetEnabled, w.loss, w.delay = on, 50, 30*millisecond
		w.run(20 * second)
		w.failedRequests, w.bytes = 0, 0
		at := w.now
		w.failZone(2)
		w.run(5 * second)
		first, half, most, n := w.drainTimes("c", at)
		t.Logf("fleet %v: drained by the first front %d ms, by half %d ms, by 99%% %d ms after the loss, by %d fronts; %d requests failed; %.0f bytes a second", on, first/10,
			half/10, most/10, n, w.failedRequests, float64(w.bytes)/300/5)
		if on && (n < 300 || most-first > 500*millisecond) {
			t.Errorf("%d fronts drained the zone, 99%% of them %d ms after the first", n, (most-first)/10)
		}
		if sent := w.bytes / 300 / 5; sent > 8000 { // 31,800 when each front repeated what others had published, and went on after all had drained the zone
			t.Errorf("%d bytes a second for each front after the loss of the zone", sent)
		}
		w.recoverZone(2)
		back := w.now
		for w.now < back+4*warmupTime && !func() bool {
			for _, front := range w.fronts {
				if front.shares[2] < 1 {
					return false
				}
			}
			return true
		}() {
			w.run(100 * millisecond)
		}
		t.Logf("fleet %v: in service everywhere %d ms after the stores came back, %d requests failed in all, peak load %.2f of the limit", on, (w.now-back)/10, w.failedRequests, w.worstLoad())
		if on && w.worstLoad() > 1 {
			t.Errorf("a store was overloaded: peak load %.2f of its limit", w.worstLoad())
		}
		return w
	}
	off, on := simulate(false), simulate(true)
	if on.failedRequests*5 > off.failedRequests {
		t.Errorf("%d requests failed, %d without the fleet", on.failedRequests, off.failedRequests)
		on.showLog(t)
	}
}

// TestHealthyZonesStayInService checks that single bad stores in healthy zones, chosen at random from many
// seeds, never lead to a zone being drained.
func TestHealthyZonesStayInService(t *testing.T) {
	seeds := 1000
	if raceDetector {
		seeds = 20
	}
	for seed := range seeds {
		w := newWorld(uint64(seed)+100, 9, 3, 4, 25)
		w.loss = int(w.random.Below(100))
		w.run(5 * second)
		for range 3 {
			s := w.random.Below(int64(len(w.stores)))
			switch w.random.Below(3) {
			case 0:
				w.stores[s].silent = true
			case 1:
				w.stores[s].failPermille = 300 + int(w.random.Below(700))
			default:
				w.stores[s].addedLatency = timeout / 2
			}
			w.run(3 * second)
			w.stores[s] = storeHealth{}
			w.run(second)
		}
		if len(w.drainCounts) > 0 {
			t.Errorf("seed %d: zones drained: %v", seed, w.drainCounts)
			w.showLog(t)
			return
		}
	}
}

// TestPartitionedZone checks a zone that is partitioned from the others but healthy inside: the fronts on
// both sides keep using the zones that they reach, and the fleet recovers after the partition ends.
func TestPartitionedZone(t *testing.T) {
	w := newWorld(3, 30, 3, 10, 20)
	w.run(15 * second)
	w.cut = func(from, to int) bool { return (from == 0) != (to == 0) }
	w.run(15 * second)
	inside := func(front *testFront) bool { return front.zone == 0 }
	outside := func(front *testFront) bool { return front.zone != 0 }
	w.wantShare(t, 0, 1, inside)
	for _, front := range w.fronts {
		if !inside(front) && front.shares[0] > coldCapacity || inside(front) && (front.shares[1] > coldCapacity || front.shares[2] > coldCapacity) {
			t.Errorf("%s still sends requests to zones that it cannot reach: shares %v", front.name, front.shares)
		}
	}
	w.wantShare(t, 1, 1, outside)
	w.wantShare(t, 2, 1, outside)
	w.cut = nil
	w.run(40 * second)
	for z := range 3 {
		w.wantShare(t, z, 1, nil)
	}
	for _, e := range w.fronts[0].fleet.Members.List() {
		if e.State != membership.Alive {
			t.Errorf("%s is %v", e.Name, e.State)
		}
	}
}

// TestSingleLinkFailure checks that no zone is drained when a link fails in one direction only, or when the
// link between two zones fails and the third zone does not see it.
func TestSingleLinkFailure(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"one way":  func(from, to int) bool { return from == 0 && to == 1 },
		"two ways": func(from, to int) bool { return from+to == 1 },
	} {
		w := newWorld(4, 30, 3, 10, 20)
		w.run(15 * second)
		w.cut = cut
		w.run(20 * second)
		if len(w.drainCounts) > 0 {
			t.Errorf("%s: zones drained: %v", name, w.drainCounts)
			w.showLog(t)
		}
	}
}

// TestFlappingZone checks that a zone that fails and recovers every second is drained a limited number of
// times a minute.
func TestFlappingZone(t *testing.T) {
	w := newWorld(5, 30, 3, 10, 20)
	w.run(15 * second)
	for range 30 {
		w.failZone(1)
		w.run(second)
		w.forEachStore(1, func(h *storeHealth) { *h = storeHealth{} })
		w.run(second)
	}
	worst := w.drainCounts["b:"]
	t.Logf("30 fronts drained zone b %d times in a minute", worst)
	if worst > 30*6 || worst < 30 {
		t.Errorf("30 fronts drained zone b %d times in a minute, want 30 to 180", worst)
		w.showLog(t)
	}
	w.run(60 * second)
	w.wantShare(t, 1, 1, nil)
}

// TestLastZoneStaysInService lets two zones fail within a second of each other, and then the last one: one
// zone always stays fully in service.
func TestLastZoneStaysInService(t *testing.T) {
	w := newWorld(6, 30, 3, 10, 20)
	w.run(15 * second)
	w.failZone(1)
	w.run(700 * millisecond)
	w.failZone(2)
	w.run(5 * second)
	for _, front := range w.fronts {
		if front.shares[0] != 1 || front.shares[1] > coldCapacity || front.shares[2] > coldCapacity {
			t.Errorf("%s has wrong shares: %v", front.name, front.shares)
		}
	}
	w.failZone(0)
	w.run(5 * second)
	w.wantShare(t, 0, 1, nil)
	for z := range 3 {
		w.recoverZone(z)
	}
	w.run(60 * second)
	for z := range 3 {
		w.wantShare(t, z, 1, nil)
	}
}

// TestZoneLossDuringRecovery lets a zone fail again in the middle of its recovery, when the messages about
// its first failure have used up the traffic budgets. Three seconds later at most a tenth of the fronts
// continue the recovery, and after six seconds none does.
func TestZoneLossDuringRecovery(t *testing.T) {
	const fronts = 60
	for seed := uint64(1); seed <= 6; seed++ {
		w := newWorld(seed, fronts, 3, 10, 20)
		w.run(15 * second)
		w.failZone(2)
		w.run(5 * second)
		w.recoverZone(2)
		w.run(5 * second)
		w.failZone(2)
		for _, most := range []int{fronts / 10, 0} {
			w.run(3 * second)
			going := 0
			for _, front := range w.fronts {
				if front.shares[2] > coldCapacity {
					going++
				}
			}
			if going > most {
				t.Errorf("seed %d: %d of %d fronts continue the recovery, want at most %d", seed, going, fronts, most)
			}
		}
	}
}

// TestRecoveryUnderFaults recovers a cold zone while a tenth of the fronts restart during the ramp, the zone
// fails again at a third of the ramp, and the fleet is partitioned during the second recovery. No store may
// be overloaded.
func TestRecoveryUnderFaults(t *testing.T) {
	w := newWorld(7, 60, 3, 10, 20)
	w.run(15 * second)
	w.failZone(2)
	w.run(5 * second)
	w.recoverZone(2)
	w.run(4 * second)
	for k := 0; k < 60; k += 10 {
		w.startFront(k, 2)
	}
	w.run(second)
	w.failZone(2)
	w.run(6 * second)
	for _, front := range w.fronts {
		if front.shares[2] > coldCapacity {
			t.Errorf("%s continues the recovery: shares %v", front.name, front.shares)
		}
	}
	w.recoverZone(2)
	w.run(4 * second)
	w.peerCut = func(from, to *testFront) bool { return (from.name[1]%2 == 0) != (to.name[1]%2 == 0) }
	w.run(10 * second)
	w.peerCut = nil
	w.run(30 * second)
	w.wantShare(t, 2, 1, nil)
	if t.Logf("peak load %.2f of the limit", w.worstLoad()); w.worstLoad() > 1 {
		t.Errorf("a store was overloaded: peak load %.2f of its limit", w.worstLoad())
		w.showLog(t)
	}
}

// TestWholeFleetRestart restarts all fronts while a zone is drained: they drain it again at once, and when it
// comes back cold no store is overloaded.
func TestWholeFleetRestart(t *testing.T) {
	w := newWorld(8, 30, 3, 10, 20)
	w.run(15 * second)
	w.failZone(2)
	w.run(5 * second)
	for k := range w.fronts {
		w.startFront(k, 2)
	}
	w.drainedAt = map[*testFront]map[string]Time{}
	at := w.now
	w.run(5 * second)
	_, _, most, n := w.drainTimes("c", at)
	if t.Logf("%d fronts drained the zone again, 99%% after %d ms", n, most/10); n < 30 || most > 3*second {
		t.Errorf("%d fronts drained the zone again, 99%% after %d ms", n, most/10)
		w.showLog(t)
	}
	w.recoverZone(2)
	w.run(40 * second)
	w.wantShare(t, 2, 1, nil)
	if w.worstLoad() > 1 {
		t.Errorf("a store was overloaded: peak load %.2f of its limit", w.worstLoad())
	}
}

// TestStalledAndIsolatedFront checks that a front that is stopped for 3 s, or has lost its own network,
// causes no zone to be drained and follows no plan from before.
func TestStalledAndIsolatedFront(t *testing.T) {
	w := newWorld(9, 30, 3, 10, 20)
	w.run(15 * second)
	faulty := w.fronts[4]
	for range 3 {
		faulty.stalled = true
		w.run(3 * second)
		faulty.stalled = false
		w.run(3 * second)
	}
	w.cut = nil
	for s := range faulty.failures { // it tries all stores again, and reaches no store and no front
		faulty.failures[s] = 0
	}
	w.peerCut = func(from, to *testFront) bool { return from == faulty || to == faulty }
	w.cut = func(from, to int) bool { return false }
	isolated := faulty
	ownZone := isolated.zone
	w.zoneNames = append(w.zoneNames, "nowhere") // a zone of its own, which reaches no stores
	isolated.zone = 3
	w.cut = func(from, to int) bool { return from == 3 || to == 3 }
	w.run(10 * second)
	isolated.zone = ownZone
	w.cut, w.peerCut, w.zoneNames = nil, nil, w.zoneNames[:3]
	w.run(10 * second)
	if len(w.drainCounts) > 0 {
		t.Errorf("zones drained: %v", w.drainCounts)
		w.showLog(t)
	}
}

// TestPartialRollout checks that zones are drained and recovered when only half of the fronts take part in
// the fleet, as during a rollout.
func TestPartialRollout(t *testing.T) {
	w := newWorld(10, 30, 3, 10, 20)
	for k, front := range w.fronts {
		front.outsideFleet = k >= 15
	}
	w.run(15 * second)
	at := w.now
	w.failZone(2)
	w.run(5 * second)
	if _, _, _, n := w.drainTimes("c", at); n != 15 {
		t.Errorf("%d fronts drained the zone, want 15", n)
		w.showLog(t)
	}
	w.recoverZone(2)
	w.run(30 * second)
	w.wantShare(t, 2, 1, nil)
}

// TestOperatorOrders checks that an order drains a zone at all fronts, expires by itself, can be ended early,
// and is limited by the capacity of the other zones unless it is forced.
func TestOperatorOrders(t *testing.T) {
	w := newWorld(11, 30, 3, 10, 20)
	w.run(15 * second)
	if err := w.fronts[7].fleet.Zones.IssueOrder(w.now, "nowhere", true, false, second, 1); err == nil {
		t.Error("an order for an unknown zone was accepted")
	}
	if err := w.fronts[7].fleet.Zones.IssueOrder(w.now, "b", true, false, 20*second, uint64(w.now)); err != nil {
		t.Fatal(err)
	}
	w.run(second)
	w.wantShare(t, 1, 0, nil)
	late := w.startFront(9, 2) // it has to learn of an order that is older than its process
	w.run(12 * second)
	w.wantShare(t, 1, 0, func(front *testFront) bool { return front == late })
	w.run(8*second + 2*warmupTime)
	w.wantShare(t, 1, 1, nil)
	w.fronts[3].fleet.Zones.IssueOrder(w.now, "b", true, false, 600*second, uint64(w.now))
	w.run(2 * second)
	w.wantShare(t, 1, 0, nil)
	w.fronts[8].fleet.Zones.IssueOrder(w.now, "b", false, false, 0, uint64(w.now))
	w.run(2 * second)
	for _, front := range w.fronts {
		if front.shares[1] == 0 {
			t.Errorf("%s has not started the recovery", front.name)
		}
	}
	w.run(2 * warmupTime)
	w.wantShare(t, 1, 1, nil)
	w.fronts[0].fleet.Zones.IssueOrder(w.now, "a", true, true, 60*second, uint64(w.now))
	w.fronts[0].fleet.Zones.IssueOrder(w.now, "b", true, true, 60*second, uint64(w.now))
	w.run(2 * second)
	if err := w.fronts[1].fleet.Zones.IssueOrder(w.now, "c", true, false, 60*second, uint64(w.now)); err == nil {
		t.Error("an order to drain the last zone was accepted without force")
	}
}

// TestDeterminism checks that two runs with one seed are identical.
func TestDeterminism(t *testing.T) {
	simulate := func() string {
		w := newWorld(12, 20, 3, 5, 20)
		w.loss = 50
		w.run(10 * second)
		w.failZone(1)
		w.run(5 * second)
		w.recoverZone(1)
		w.run(20 * second)
		return strings.Join(w.logLines, "\n")
	}
	if a, b := simulate(), simulate(); a != b {
		t.Error("two runs with one seed differ")
	}
}
