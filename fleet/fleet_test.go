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

// A fleet on a virtual clock: real Fleets, stores that are a few numbers each, and fronts that choose among them as the
// decision module does as far as this needs: a store that failed is left alone until a probe came back.

const (
	millisecond       = Time(10)
	second            = 1000 * millisecond
	tick              = 5 * millisecond
	period            = 500 * millisecond
	timeout           = 250 * millisecond // until silence is told
	maxDelayTicks     = 128
	coldCapacity      = 0.15 // part of its capacity that a cold store has
	warmupTime        = 8 * second
	overloadTolerance = 1500 * millisecond
	overloadMultiple  = 3.0
)

// storeHealth of a store.
type storeHealth struct {
	silent       bool
	failPermille int // of 1,000 answers, which are broken off instead
	addedLatency Time
	coldSince    Time // when it came up cold; 0: long ago
}

type world struct {
	now            Time
	random         random.Source
	zoneNames      []string      // of zones
	storesPerZone  int           // stores of a zone
	stores         []storeHealth // zone by zone
	fronts         []*testFront
	byAddr         map[string]*testFront
	deliveries     [maxDelayTicks][]func()
	tickNo         int
	loss           int
	delay          Time
	cut            func(from, to int) bool // between zones, front to store and front to front, one way
	peerCut        func(from, to *testFront) bool
	fleetEnabled   bool
	bytes          int
	failedRequests int // jobs that failed
	requests       int
	recentRequests [][]Time // of each store, when jobs ran there of late
	peakLoad       []float64
	rate           float64 // jobs a second of each front
	logLines       []string
	drainedAt      map[*testFront]map[string]Time // when each left a zone
	drainCounts    map[string]int                 // of a zone's state, over all fronts
}

type testFront struct {
	world        *world
	fleet        *Fleet
	name         string
	zone         int
	shares       []float64
	failures     []int  // failures of each store in a row; 0: well
	probeAt      []Time // when it is asked next
	stalled      bool
	dead         bool
	outsideFleet bool // it has no part in the fleet
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

// startFront starts a front, or starts it again.
func (w *world) startFront(k int, life uint64) *testFront {
	o := &testFront{world: w, name: fmt.Sprintf("f%d", k), zone: k % len(w.zoneNames), shares: slices.Repeat([]float64{1}, len(w.zoneNames)),
		failures: make([]int, len(w.stores)), probeAt: make([]Time, len(w.stores))}
	o.fleet = New(w.now, membership.Config{Name: o.name, Zone: w.zoneNames[o.zone], Addr: o.name, Incarnation: life, RandomSeed: uint64(k)<<8 + life, Period: period,
		Seeds: []string{"f0", "f1", "f2"}, MaxMembers: 4096, NoteTTL: 20 * period},
		zones.Config{ColdCapacity: coldCapacity, WarmupTime: warmupTime, OverloadTolerance: overloadTolerance}, o)
	var list []zones.Store
	for s := range w.stores {
		list = append(list, zones.Store{ID: fmt.Sprint("s", s), Zone: w.zoneNames[s/w.storesPerZone], Size: 1, Open: true})
	}
	o.fleet.Zones.UpdateStores(w.now, true, list)
	w.byAddr[o.name] = o
	if k < len(w.fronts) {
		w.fronts[k].dead = true
		w.fronts[k] = o
	} else {
		w.fronts = append(w.fronts, o)
	}
	return o
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

func (o *testFront) Send(addr string, m *membership.Message) {
	w := o.world
	w.bytes += 60
	for k := range m.Facts {
		w.bytes += 16 + len(m.Facts[k].Name) + len(m.Facts[k].Addr)
	}
	for k := range m.Notes {
		w.bytes += 12 + len(m.Notes[k].Key) + len(m.Notes[k].Body)
	}
	to := w.byAddr[addr]
	if to == nil || w.disconnected(o, to) || w.random.Below(1000) < int64(w.loss) {
		return
	}
	c := copyMessage(m)
	w.schedule(w.delay/2+w.random.Below(w.delay), func() { to.receive(c, nil) })
}

// receive waits for a stopped process to go on.
func (o *testFront) receive(c *membership.Message, answer func(*membership.Message)) {
	switch {
	case o.dead:
	case o.stalled:
		o.world.schedule(tick, func() { o.receive(c, answer) })
	case o.fleet.Receive(o.world.now, c) && answer != nil:
		answer(copyMessage(o.fleet.Members.SyncMessage(membership.SyncResponse)))
	}
}

func (o *testFront) StartSync(addr string) {
	w := o.world
	to := w.byAddr[addr]
	if to == nil || w.disconnected(o, to) || w.disconnected(to, o) {
		return
	}
	c := copyMessage(o.fleet.Members.SyncMessage(membership.SyncRequest))
	w.schedule(2*w.delay, func() {
		to.receive(c, func(back *membership.Message) { w.schedule(w.delay, func() { o.receive(back, nil) }) })
	})
}

func (o *testFront) SetShare(zone string, part float64) {
	w := o.world
	for z, name := range w.zoneNames {
		if name == zone {
			if part < 1 && o.shares[z] == 1 {
				if w.drainedAt[o] == nil {
					w.drainedAt[o] = map[string]Time{}
				}
				if _, ok := w.drainedAt[o][zone]; !ok {
					w.drainedAt[o][zone] = w.now
				}
			}
			o.shares[z] = part
		}
	}
}

func (o *testFront) Log(text string) {
	if strings.Contains(text, " to away") || strings.Contains(text, " to leaving") {
		o.world.drainCounts[strings.Fields(text)[1]]++
	}
	if len(o.world.logLines) < 4000 {
		o.world.logLines = append(o.world.logLines, fmt.Sprintf("%8.3f %s %s", float64(o.world.now-1_000_000)/float64(second), o.name, text))
	}
}

// requestOutcome tells how a store answers a front now.
func (w *world) requestOutcome(o *testFront, s int) (end zones.Outcome, took Time) {
	h, z := &w.stores[s], s/w.storesPerZone
	if h.silent || w.cut != nil && (w.cut(o.zone, z) || w.cut(z, o.zone)) {
		return zones.TimedOut, timeout
	}
	if w.random.Below(1000) < int64(h.failPermille) {
		return zones.ConnectionLost, 5 * millisecond
	}
	return zones.Answered, 5*millisecond + h.addedLatency
}

// recordRequest notes that a job ran at a store, and how near that is to pushing it over.
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
	capacity := w.rate * float64(len(w.fronts)) / float64(len(w.stores)) * 1.3 // warm it has a little more than its fair share
	warm := coldCapacity + (1-coldCapacity)*min(float64(max(q[0]-h.coldSince, 0))/float64(warmupTime), 1)
	w.peakLoad[s] = max(w.peakLoad[s], float64(len(q))/(capacity*warm*overloadMultiple*float64(overloadTolerance)/float64(second)))
}

func (o *testFront) sendRequest(s int, probe bool) {
	w := o.world
	end, took := w.requestOutcome(o, s)
	if end == zones.Answered && !probe {
		w.recordRequest(s)
	}
	if !probe {
		if w.requests++; end != zones.Answered {
			w.failedRequests++
		}
	}
	w.schedule(took, func() {
		if o.dead || o.stalled {
			return
		}
		if end == zones.Answered {
			o.failures[s] = 0
		} else {
			o.failures[s]++
			o.probeAt[s] = w.now + min(period<<min(o.failures[s], 5), warmupTime)
		}
		if !o.outsideFleet && w.fleetEnabled {
			o.fleet.Zones.RecordOutcome(w.now, fmt.Sprint("s", s), end, took, 300*millisecond)
		}
	})
}

// step is one tick of a front: jobs, probes, the fleet.
func (o *testFront) step() {
	w := o.world
	if o.dead || o.stalled {
		return
	}
	if w.random.Below(1_000_000) < int64(w.rate*float64(tick)/float64(second)*1_000_000) {
		for range 8 { // the least busy is by chance here
			s := int(w.random.Below(int64(len(w.stores))))
			if z := s / w.storesPerZone; o.failures[s] > 0 || o.shares[z] < 1 && float64(w.random.Below(1<<20)) >= o.shares[z]*(1<<20) {
				continue
			}
			o.sendRequest(s, false)
			break
		}
	}
	for s := range o.failures {
		if o.failures[s] > 0 && w.now >= o.probeAt[s] && o.shares[s/w.storesPerZone] > 0 {
			o.probeAt[s] = w.now + period
			o.sendRequest(s, true)
		}
	}
	if w.fleetEnabled && !o.outsideFleet && o.fleet.Next() <= w.now {
		o.fleet.Tick(w.now)
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
		for _, o := range w.fronts {
			o.step()
		}
	}
}

// failZone has a zone's stores fall silent; gain brings them back cold.
func (w *world) failZone(z int) { w.forEachStore(z, func(h *storeHealth) { h.silent = true }) }
func (w *world) recoverZone(z int) {
	w.forEachStore(z, func(h *storeHealth) { *h = storeHealth{coldSince: w.now} })
}
func (w *world) forEachStore(z int, do func(h *storeHealth)) {
	for s := z * w.storesPerZone; s < (z+1)*w.storesPerZone; s++ {
		do(&w.stores[s])
	}
}

// worstLoad gives the largest part of its budget that any store was sent.
func (w *world) worstLoad() float64 { return slices.Max(w.peakLoad) }

// drainTimes tells after which spans since then the first, half and 99 of 100 of the fronts had left a zone.
func (w *world) drainTimes(zone string, since Time) (first, half, most Time, n int) {
	var at []Time
	for _, o := range w.fronts {
		if m, ok := w.drainedAt[o][zone]; ok {
			at = append(at, m-since)
		}
	}
	if slices.Sort(at); len(at) == 0 {
		return 0, 0, 0, 0
	}
	return at[0], at[len(at)/2], at[max(len(at)*99/100-1, 0)], len(at)
}

func (w *world) wantShare(t *testing.T, zone int, want float64, who func(o *testFront) bool) {
	t.Helper()
	wrong := 0
	for _, o := range w.fronts {
		if (who == nil || who(o)) && !o.dead && o.shares[zone] != want {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d fronts do not have part %v of zone %s", wrong, want, w.zoneNames[zone])
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

// TestManyLeaveTogether: 300 fronts, 5 % loss and 30 ms of delay: 99 % are away within 500 ms of the first, jobs that pay for
// finding out are a fifth or less of those without the fleet, and no returning store is pushed over.
func TestZoneLossDrainsAllFronts(t *testing.T) {
	if raceDetector {
		t.Skip("played without the race detector")
	}
	play := func(on bool) *world {
		w := newWorld(1, 300, 3, 40, 10)
		w.fleetEnabled, w.loss, w.delay = on, 50, 30*millisecond
		w.run(20 * second)
		w.failedRequests, w.bytes = 0, 0
		at := w.now
		w.failZone(2)
		w.run(5 * second)
		first, half, most, n := w.drainTimes("c", at)
		t.Logf("on %v: first %d ms, half %d ms, 99%% %d ms after the loss, %d fronts; %d jobs paid; %.0f bytes a second", on, first/10,
			half/10, most/10, n, w.failedRequests, float64(w.bytes)/300/5)
		if on && (n < 300 || most-first > 500*millisecond) {
			t.Errorf("%d fronts left, 99%% %d ms after the first", n, (most-first)/10)
		}
		if sent := w.bytes / 300 / 5; sent > 8000 { // 31,800 where each told what others had told, and went on after all had left
			t.Errorf("%d bytes a second for each front while the zone was lost", sent)
		}
		w.recoverZone(2)
		back := w.now
		for w.now < back+4*warmupTime && !func() bool {
			for _, o := range w.fronts {
				if o.shares[2] < 1 {
					return false
				}
			}
			return true
		}() {
			w.run(100 * millisecond)
		}
		t.Logf("on %v: all back %d ms after the return, %d jobs paid in all, peak %.2f of the budget", on, (w.now-back)/10, w.failedRequests, w.worstLoad())
		if on && w.worstLoad() > 1 {
			t.Errorf("a store was pushed over: %.2f", w.worstLoad())
		}
		return w
	}
	off, on := play(false), play(true)
	if on.failedRequests*5 > off.failedRequests {
		t.Errorf("%d jobs paid, %d without the fleet", on.failedRequests, off.failedRequests)
		on.showLog(t)
	}
}

// TestSoundZonesAreKept: histories of sound zones with single bad stores, drawn from seeds: no zone is ever left.
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
			t.Errorf("seed %d: left: %v", seed, w.drainCounts)
			w.showLog(t)
			return
		}
	}
}

// TestCutOffZone: a zone cut off from the others but sound inside: both sides go on with what they reach, and find
// together after.
func TestPartitionedZone(t *testing.T) {
	w := newWorld(3, 30, 3, 10, 20)
	w.run(15 * second)
	w.cut = func(from, to int) bool { return (from == 0) != (to == 0) }
	w.run(15 * second)
	inside := func(o *testFront) bool { return o.zone == 0 }
	outside := func(o *testFront) bool { return o.zone != 0 }
	w.wantShare(t, 0, 1, inside)
	for _, o := range w.fronts {
		if !inside(o) && o.shares[0] > coldCapacity || inside(o) && (o.shares[1] > coldCapacity || o.shares[2] > coldCapacity) {
			t.Errorf("%s still goes where it cannot: %v", o.name, o.shares)
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

// TestOneLink: a one-way cut, and one between two zones that the third does not see: no zone is left.
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
			t.Errorf("%s: left: %v", name, w.drainCounts)
			w.showLog(t)
		}
	}
}

// TestFlappingZone: a zone that comes and goes each second is left and tried a bounded number of times a minute.
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
	t.Logf("zone b was left %d times by 30 fronts in a minute", worst)
	if worst > 30*6 || worst < 30 {
		t.Errorf("%d times", worst)
		w.showLog(t)
	}
	w.run(60 * second)
	w.wantShare(t, 1, 1, nil)
}

// TestNotAllAreLeft: two zones that fail within a second of each other, and then the last: one always stays whole.
func TestLastZoneStaysInService(t *testing.T) {
	w := newWorld(6, 30, 3, 10, 20)
	w.run(15 * second)
	w.failZone(1)
	w.run(700 * millisecond)
	w.failZone(2)
	w.run(5 * second)
	for _, o := range w.fronts {
		if o.shares[0] != 1 || o.shares[1] > coldCapacity || o.shares[2] > coldCapacity {
			t.Errorf("%s: %v", o.name, o.shares)
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

// TestLossDuringTheReturn: the zone fails again in the middle of its return, when what told of its first loss has used up what
// may be told at once. Three seconds later hardly any front goes on with the return, after six none does.
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
			for _, o := range w.fronts {
				if o.shares[2] > coldCapacity {
					going++
				}
			}
			if going > most {
				t.Errorf("seed %d: %d of %d fronts go on with the return, %d at most expected", seed, going, fronts, most)
			}
		}
	}
}

// TestReturnUnderTrouble: the zone returns cold, a tenth of the fronts start again during the ramp, it fails again at a
// third of the way, and the fleet is cut in two during the second return: no store is pushed over.
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
	for _, o := range w.fronts {
		if o.shares[2] > coldCapacity {
			t.Errorf("%s goes on with the return: %v", o.name, o.shares)
		}
	}
	w.recoverZone(2)
	w.run(4 * second)
	w.peerCut = func(from, to *testFront) bool { return (from.name[1]%2 == 0) != (to.name[1]%2 == 0) }
	w.run(10 * second)
	w.peerCut = nil
	w.run(30 * second)
	w.wantShare(t, 2, 1, nil)
	if t.Logf("peak %.2f of the budget", w.worstLoad()); w.worstLoad() > 1 {
		t.Errorf("a store was pushed over: %.2f of its budget", w.worstLoad())
		w.showLog(t)
	}
}

// TestAllStartAgain: all fronts are killed and started again while a zone is away: they leave it again at once, and when
// it comes back cold no store is pushed over.
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
	if t.Logf("%d fronts left again, 99%% after %d ms", n, most/10); n < 30 || most > 3*second {
		t.Errorf("%d fronts, %d ms", n, most/10)
		w.showLog(t)
	}
	w.recoverZone(2)
	w.run(40 * second)
	w.wantShare(t, 2, 1, nil)
	if w.worstLoad() > 1 {
		t.Errorf("a store was pushed over: %.2f", w.worstLoad())
	}
}

// TestSickObserver: a front stopped for 3 s, or without its own network, has no zone left and acts on no plan of before.
func TestStalledAndIsolatedFront(t *testing.T) {
	w := newWorld(9, 30, 3, 10, 20)
	w.run(15 * second)
	sick := w.fronts[4]
	for range 3 {
		sick.stalled = true
		w.run(3 * second)
		sick.stalled = false
		w.run(3 * second)
	}
	w.cut = nil
	for s := range sick.failures { // it reaches no store and no front
		sick.failures[s] = 0
	}
	w.peerCut = func(from, to *testFront) bool { return from == sick || to == sick }
	w.cut = func(from, to int) bool { return false }
	blind := sick
	old := blind.zone
	w.zoneNames = append(w.zoneNames, "nowhere") // a zone of its own for the reach of stores
	blind.zone = 3
	w.cut = func(from, to int) bool { return from == 3 || to == 3 }
	w.run(10 * second)
	blind.zone = old
	w.cut, w.peerCut, w.zoneNames = nil, nil, w.zoneNames[:3]
	w.run(10 * second)
	if len(w.drainCounts) > 0 {
		t.Errorf("left: %v", w.drainCounts)
		w.showLog(t)
	}
}

// TestHalfWithoutFleet: during a rollout half of the fronts have no part in the fleet; the others leave and return.
func TestPartialRollout(t *testing.T) {
	w := newWorld(10, 30, 3, 10, 20)
	for k, o := range w.fronts {
		o.outsideFleet = k >= 15
	}
	w.run(15 * second)
	at := w.now
	w.failZone(2)
	w.run(5 * second)
	if _, _, _, n := w.drainTimes("c", at); n != 15 {
		t.Errorf("%d fronts left", n)
		w.showLog(t)
	}
	w.recoverZone(2)
	w.run(30 * second)
	w.wantShare(t, 2, 1, nil)
}

// TestByHand: an order moves a zone away on all fronts, ends by itself, can be ended, and keeps to what the rest bears
// unless told outright.
func TestOperatorOrders(t *testing.T) {
	w := newWorld(11, 30, 3, 10, 20)
	w.run(15 * second)
	if err := w.fronts[7].fleet.Zones.IssueOrder(w.now, "nowhere", true, false, second, 1); err == nil {
		t.Error("a zone that nobody knows is left")
	}
	if err := w.fronts[7].fleet.Zones.IssueOrder(w.now, "b", true, false, 20*second, uint64(w.now)); err != nil {
		t.Fatal(err)
	}
	w.run(second)
	w.wantShare(t, 1, 0, nil)
	lateBy := w.startFront(9, 2) // it has to hear of an order from before its life
	w.run(12 * second)
	w.wantShare(t, 1, 0, func(o *testFront) bool { return o == lateBy })
	w.run(8*second + 2*warmupTime)
	w.wantShare(t, 1, 1, nil)
	w.fronts[3].fleet.Zones.IssueOrder(w.now, "b", true, false, 600*second, uint64(w.now))
	w.run(2 * second)
	w.wantShare(t, 1, 0, nil)
	w.fronts[8].fleet.Zones.IssueOrder(w.now, "b", false, false, 0, uint64(w.now))
	w.run(2 * second)
	for _, o := range w.fronts {
		if o.shares[1] == 0 {
			t.Errorf("%s has not begun to return", o.name)
		}
	}
	w.run(2 * warmupTime)
	w.wantShare(t, 1, 1, nil)
	w.fronts[0].fleet.Zones.IssueOrder(w.now, "a", true, true, 60*second, uint64(w.now))
	w.fronts[0].fleet.Zones.IssueOrder(w.now, "b", true, true, 60*second, uint64(w.now))
	w.run(2 * second)
	if err := w.fronts[1].fleet.Zones.IssueOrder(w.now, "c", true, false, 60*second, uint64(w.now)); err == nil {
		t.Error("the last zone is left without being told outright")
	}
}

// TestSameCallsSameActions: two plays of one seed are the same.
func TestDeterminism(t *testing.T) {
	play := func() string {
		w := newWorld(12, 20, 3, 5, 20)
		w.loss = 50
		w.run(10 * second)
		w.failZone(1)
		w.run(5 * second)
		w.recoverZone(1)
		w.run(20 * second)
		return strings.Join(w.logLines, "\n")
	}
	if a, b := play(), play(); a != b {
		t.Error("two plays of one seed differ")
	}
}
