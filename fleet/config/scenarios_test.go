package config

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// newLossyFleet returns a fleet of 150 fronts in two regions and six zones, with 5 % message loss, in which
// a first version is in force everywhere.
func newLossyFleet(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 5, 150, 6)
	w.loss = 50
	w.run(5 * Second)
	v := w.change("settings", settings(40, 0, 1), nil)
	w.mustReach(v, 10*Second, nil)
	w.run(warmupSeconds * Second)
	return w
}

// mustReach fails the test if a version is not in force on all counted fronts within span.
func (w *world) mustReach(v Version, span Time, count func(m *machine) bool) {
	w.t.Helper()
	if w.runUntil(span, func() bool { return w.allInForce(v, count) }) < 0 {
		w.t.Errorf("version %d is not in force everywhere after %d s", v, span/Second)
	}
}

// currentSecond returns the current index in machine.traffic.
func (w *world) currentSecond() int { return int(w.now/Second) - 1000 }

// checkTraffic fails the test if a front exceeded the traffic limit.
func (w *world) checkTraffic(from int) {
	w.t.Helper()
	median, most := w.trafficRates(from)
	w.t.Logf("worst ten seconds of a front: median %d B/s, most %d B/s", median, most)
	if most > maxTrafficRate {
		w.t.Errorf("a front used %d bytes a second, at most %d allowed", most, maxTrafficRate)
	}
}

// TestZoneAndRegionPartitionAndRecovery cuts off a zone, then a region. The other fronts must receive
// changes in time, the fronts cut off must stop acting on guarded settings, and all must catch up
// afterwards within the traffic limit.
func TestZoneAndRegionPartitionAndRecovery(t *testing.T) {
	w := newLossyFleet(t, 3)
	partitions := map[string]func(m *machine) bool{
		"zone":   func(m *machine) bool { return m.zone == "zone4" },
		"region": func(m *machine) bool { return m.region == 1 },
	}
	for _, name := range []string{"zone", "region"} {
		isCutOff := partitions[name]
		isConnected := func(m *machine) bool { return !isCutOff(m) }
		d := trackPropagation(w)
		d.committed = make([]Time, w.leader().log.Newest()+1)
		d.last = make([]Time, len(d.committed)-1)
		v := w.change("settings", settings(40, 1, 7), nil) // still spreading when the partition begins
		d.committed, d.last = append(d.committed, w.now), append(d.last, 0)
		w.run(200 * Millisecond)
		w.cut = func(x, y *machine) bool { return isCutOff(x) != isCutOff(y) }
		w.updateLeader()
		w.mustReach(v, maxPropagation, isConnected)
		outage := Time(3600)
		if !longRun() {
			outage = 300
		}
		for k := range 30 {
			v = d.commit(w, "settings", settings(40, k%40, 100+k), nil)
			w.run(outage * Second / 30)
			w.mustReach(v, maxPropagation, isConnected)
		}
		w.run(ProofTTL + 2*guardMargin) // after the last change
		behind, guarded := 0, 0
		for _, m := range w.fronts {
			if isCutOff(m) && m.agent.InForce() < v {
				behind++
				if m.agent.ProofFresh(w.now) {
					guarded++
				}
			}
		}
		status := w.leader().control.Status(w.now)
		t.Logf("%s cut off for %d s: %d fronts behind, %d silent; version %d", name, outage, behind, status.Silent, v)
		if guarded > 0 || behind == 0 || status.Silent != behind || !status.Everywhere {
			t.Errorf("%d of %d fronts cut off act on guarded settings; silent %d, everywhere %v", guarded, behind, status.Silent, status.Everywhere)
		}
		from := w.currentSecond()
		w.cut = nil
		w.updateLeader()
		t.Logf("%s back: all have the newest version after %d ms", name, w.runUntil(60*Second, func() bool { return w.allInForce(v, nil) })/Millisecond)
		w.mustReach(v, 0, nil)
		if d.late > 0 {
			t.Errorf("%d fronts that were not cut off were late", d.late)
		}
		w.run(30 * Second)
		w.checkTraffic(from)
	}
	w.reportFailures()
}

// TestBurstOfChanges commits 100 changes in three seconds.
func TestBurstOfChanges(t *testing.T) {
	w := newLossyFleet(t, 4)
	from := w.currentSecond()
	d := trackPropagation(w)
	d.committed, d.last = make([]Time, 2), make([]Time, 1)
	for k := range 100 {
		d.commit(w, "settings", settings(100, k, 5000+k), nil)
		w.run(30 * Millisecond)
	}
	w.run(2 * maxPropagation)
	t.Logf("100 changes in 3 s: at the last front after %d ms, 99 of 100 after %d ms", permille(d.last, 1000), permille(d.all, 990))
	if d.late > 0 {
		t.Errorf("%d fronts had a change too late", d.late)
	}
	w.checkTraffic(from)
	w.reportFailures()
}

// TestLargestChange commits the largest allowed change, of random bytes. It cannot be compressed, so the
// traffic budget decides how long it takes.
func TestLargestChange(t *testing.T) {
	w := newLossyFleet(t, 5)
	random := rand.New(rand.NewSource(1))
	text := make([]byte, MaxTextBytes-len(settings(40, 0, 1)))
	random.Read(text)
	from := w.currentSecond()
	v := w.change("plans", string(text), nil)
	took := w.runUntil(600*Second, func() bool { return w.allInForce(v, nil) })
	t.Logf("%d bytes: in force everywhere after %d s", len(text), took/Second)
	if took < 0 || took > 300*Second {
		t.Errorf("a change of %d bytes is in force everywhere after %d s", len(text), took/Second)
	}
	w.checkTraffic(from)
	w.reportFailures()
}

// TestPropagationByChangeSize checks that changes of up to FastChangeBytes are in force everywhere in time.
func TestPropagationByChangeSize(t *testing.T) {
	w := newWorld(t, 6, 5, fullSize(), 6)
	w.loss = 50
	w.run(warmupSeconds * Second)
	random := rand.New(rand.NewSource(2))
	for _, size := range []int{100, 250, 500, FastChangeBytes} {
		text := make([]byte, size)
		random.Read(text)
		v := w.change("plans", string(text), nil)
		took := w.runUntil(100*Second, func() bool { return w.allInForce(v, nil) })
		t.Logf("%d bytes that cannot be compressed: in force everywhere after %d ms", size, took/Millisecond)
		if took < 0 || took > maxPropagation {
			t.Errorf("%d bytes: %d ms", size, took/Millisecond)
		}
		w.run(10 * Second)
	}
	w.reportFailures()
}

// TestInvalidChangeIsRejected checks that a change which its check rejects, or which exceeds a limit, is
// not prepared, and that the error names the key in one line.
func TestInvalidChangeIsRejected(t *testing.T) {
	l := NewLog()
	check := func(scope Scope, text []byte) error {
		if bytes.Contains(text, []byte("bad")) {
			return errors.New("/door/jobs: got string,\nwant integer")
		}
		return nil
	}
	c := Change{Scope: "operators", Text: []byte("bad"), Author: "ana", Reason: "a test"}
	_, err := l.Prepare(c, check)
	if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), "operators: /door/jobs:") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
	if l.Newest() != 0 {
		t.Error("an invalid change is in force")
	}
	c.Text = []byte("good")
	for name, modify := range map[string]func(c *Change){
		"text":   func(c *Change) { c.Text = make([]byte, MaxTextBytes+1) },
		"reason": func(c *Change) { c.Reason = strings.Repeat("x", MaxReason+1) },
	} {
		x := c
		modify(&x)
		if _, err := l.Prepare(x, check); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestAllControlMachinesDown restarts fronts while all control machines are down. Fronts must continue with
// the version that they have, get it from other fronts if they have no disk, and not act on guarded
// settings.
func TestAllControlMachinesDown(t *testing.T) {
	w := newLossyFleet(t, 5)
	v := w.leader().log.Newest()
	for _, m := range w.controls {
		m.down = true
	}
	outage := Time(3600)
	if !longRun() {
		outage = 300
	}
	from := w.currentSecond()
	for k := range 30 {
		m := w.fronts[w.source.Below(150)]
		m.diskless = k%3 == 0
		m.stop()
		w.cut = func(x, y *machine) bool { return x == m || y == m }
		w.run(Second)
		w.start(m)
		if s := m.agent.Status(w.now); s.ProofFresh || (s.InForce == v) == m.diskless || (s.State == StateEmpty) != m.diskless {
			t.Errorf("%s after a start in isolation, diskless %v: %+v", m.name, m.diskless, s)
		}
		w.run(Second)
		w.cut = nil
		w.run(outage*Second/30 - 2*Second)
		if w.runUntil(maxPropagation, func() bool { return m.agent.InForce() == v }) < 0 {
			t.Errorf("%s has version %d after a restart", m.name, m.agent.InForce())
		}
	}
	for _, m := range w.fronts {
		s := m.agent.Status(w.now)
		known := m.startedAt < 1000*Second+2*Second
		if s.InForce != v || s.ProofFresh || known && (s.Age < (outage-30)*Second || s.Age > (outage+200)*Second) {
			t.Errorf("%s: %+v", m.name, s)
		}
	}
	w.checkTraffic(from)
	for _, m := range w.controls {
		w.start(m)
	}
	w.updateLeader()
	back := w.now
	v = w.change("settings", settings(40, 3, 9), nil)
	w.mustReach(v, 10*Second, nil)
	t.Logf("control machines back after %d s: the next change in force everywhere after %d ms", outage, (w.now-back)/Millisecond)
	w.reportFailures()
}

// TestForgedAndCorruptMessages sends fronts random bytes, messages of another fleet and forged chunks, and
// corrupts and duplicates messages. All changes must still arrive, and the invalid messages must be
// counted.
func TestForgedAndCorruptMessages(t *testing.T) {
	w := newLossyFleet(t, 6)
	w.corrupted, w.duplicated = 100, 100
	random := rand.New(rand.NewSource(6))
	foreign := newPayload(0, 99, makeDelta(nil, (&Document{Version: 99}).Append(nil)).encode()).message(0).encode(nil, "green")
	for k := range 20 {
		for _, m := range w.fronts {
			noise := make([]byte, random.Intn(2*MaxMessage))
			random.Read(noise)
			m.receive("unknown", noise)
			m.receive(m.agent.Status(w.now).Upstream, foreign)
			forged := &message{kind: chunk, payload: payloadID{0, 1 << 40, 7}, total: maxChunks, index: 3, data: make([]byte, chunkSize)}
			m.receive("unknown", forged.encode(nil, "blue"))
		}
		v := w.change("settings", settings(40, k, 900+k), nil)
		w.mustReach(v, 2*maxPropagation, nil)
	}
	for _, m := range w.fronts {
		if m.agent.Status(w.now).Dropped < 20 {
			t.Errorf("%s dropped only %d messages", m.name, m.agent.Status(w.now).Dropped)
		}
	}
	w.reportFailures()
}

// TestOlderProgramOnHalfOfFronts commits a change that needs program 2 while half of the fronts run program
// 1. Those must keep the previous version and report the newer one as held. It also checks that unknown
// fields of a newer program are ignored.
func TestOlderProgramOnHalfOfFronts(t *testing.T) {
	newer := appendPart(appendNumber(nil, messageVersion, MessageVersion), 99, []byte("of a newer program"))
	newer = appendNumber(newer, messageKindOf, uint64(offer))
	newer = binary.LittleEndian.AppendUint32(newer, checksum("blue", newer))
	if m, err := readMessage(newer, "blue"); err != nil || m.kind != offer {
		t.Errorf("message with an unknown field: %v", err)
	}
	w := newLossyFleet(t, 7)
	isOld := func(m *machine) bool { return m.program == 1 }
	for k, m := range w.fronts {
		if k%2 == 0 {
			m.program = 2
			m.stop()
			w.start(m)
		}
	}
	w.run(3 * Second)
	before := w.leader().log.Newest()
	leader := w.leader()
	entry, err := leader.log.Prepare(Change{Base: before, Scope: "operators", Text: []byte("new"), Author: "ana", Reason: "a test", Program: 2}, nil)
	if err != nil {
		t.Fatal(err)
	}
	w.commit(entry)
	w.mustReach(before+1, maxPropagation, func(m *machine) bool { return !isOld(m) })
	w.run(3 * Second)
	status := leader.control.Status(w.now)
	held := 0
	for _, f := range status.Fronts {
		if f.State == StateHeld && f.InForce == before && f.Received == before+1 && strings.Contains(f.Reason, "program 2") {
			held++
		}
	}
	if held != 75 || status.Everywhere || status.Lowest != before {
		t.Errorf("%d fronts are reported as held, want 75; lowest %d, everywhere %v", held, status.Lowest, status.Everywhere)
	}
	for _, m := range w.fronts {
		if isOld(m) {
			m.program = 2
			m.stop()
			w.start(m)
		}
	}
	w.mustReach(before+1, maxPropagation, nil)
	w.reportFailures()
}

// TestRolloutAbortsOnRefusal checks that a roll-out goes through its steps, and that it is aborted if a
// front of a step refuses the change, before the change reaches other fronts.
func TestRolloutAbortsOnRefusal(t *testing.T) {
	w := newLossyFleet(t, 8)
	plan := &Plan{Front: "front3", Zone: "zone2", Soak: 2 * Second, Limit: 30 * Second}
	refuse := func(texts []ScopeText) error {
		for _, s := range texts {
			if strings.Contains(string(s.Text), "9999") {
				return errors.New("/class-004/freshness_ms: at most 9000")
			}
		}
		return nil
	}
	began := w.change("settings", settings(40, 4, 8888), plan)
	if took := w.runUntil(60*Second, func() bool { return w.leader().log.Document().Stage == nil }); took < 4*Second {
		t.Errorf("roll-out with two steps of at least 2 s took %d ms", took/Millisecond)
	}
	if text, _ := w.leader().log.Document().Text("settings"); !strings.Contains(string(text), "8888") || w.leader().log.Newest() != began+2 {
		t.Errorf("version %d does not contain the change after its roll-out", w.leader().log.Newest())
	}
	w.run(maxPropagation)
	for k, name := range []string{"front", "zone"} {
		where := []int{3, 8}[k]
		w.fronts[where].refuse = refuse
		affectedZones := map[string]bool{}
		w.onInForce = func(m *machine, v Version) {
			for _, s := range w.committed[v].TextsFor(m.name, m.zone) {
				if strings.Contains(string(s.Text), "9999") {
					affectedZones[m.zone] = true
				}
			}
		}
		w.change("settings", settings(40, 4, 9999), plan)
		w.runUntil(60*Second, func() bool { return w.leader().log.Document().Stage == nil })
		last := w.leader().log.History()
		if r := last[len(last)-1]; r.Kind != KindAbort || !strings.Contains(r.Reason, "/class-004/freshness_ms") {
			t.Errorf("%s: %+v", name, r)
		}
		w.mustReach(w.leader().log.Newest(), maxPropagation, nil)
		for zone := range affectedZones {
			if zone != "zone2" && zone != "zone3" {
				t.Errorf("%s: fronts of %s acted on a refused change", name, zone)
			}
		}
		w.fronts[where].refuse = nil
	}
	w.reportFailures()
}

// TestTooManyPeersAndChildren checks the limits on peers, children and reports.
func TestTooManyPeersAndChildren(t *testing.T) {
	var p Peers
	for k := range 3 * MaxFronts {
		p.Fronts = append(p.Fronts, Peer{fmt.Sprint("f", k), "z", fmt.Sprint("a", k)})
	}
	p.Fronts = append(p.Fronts, Peer{}, Peer{Name: strings.Repeat("x", 100), Addr: "a"})
	topology := newTopology(p, "f1")
	if len(topology.fronts) > MaxFronts {
		t.Errorf("%d fronts", len(topology.fronts))
	}
	w := newWorld(t, 1, 1, 1, 1)
	a := w.fronts[0].agent
	for k := range 5000 {
		m := &message{kind: heartbeat, seq: 1, reports: []report{{id: uint64(k)*2 + 1, incarnation: 1, seq: 1, state: StateInForce}}}
		a.Receive(w.now, fmt.Sprint("x", k), m.encode(nil, "blue"))
	}
	if len(a.children.list) > maxFrontChildren || len(a.reports.entries) > MaxFronts {
		t.Errorf("%d children, %d reports", len(a.children.list), len(a.reports.entries))
	}
}
