package config

import (
	"bytes"
	"container/heap"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// A world of fronts and control machines on one virtual clock, over links that delay, lose, double and spoil.
// In place of consensus, which package lease has, stands a list of entries that a majority of control
// machines extends.

type event struct {
	at    Time
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// machine is a front or a control machine.
type machine struct {
	w              *world
	name, zone     string
	region         int
	down           bool
	incarnation    uint64
	startedAt      Time // when this life began
	extraDelay     Time // by which it handles each message later
	wakeAt         Time
	agent          *Agent
	control        *Distributor
	log            *Log
	appliedEntries int // entries
	persisted      []byte
	inForce        Version // over all lives, as far as it has a disk
	inForceAt      Time
	diskless       bool
	program        uint32
	refuse         func(texts []ScopeText) error
	traffic        []int64 // bytes sent and received in each second
	messages       int
}

type world struct {
	t                testing.TB
	now              Time
	queue            events
	order            uint64
	source           random.Source
	machines         map[string]*machine
	controls         []*machine
	fronts           []*machine
	entries          [][]byte
	committed        map[Version]*Document // what each version says
	results          []Result
	committedAt      map[Version]Time
	loss             int64 // of a thousand
	duplicated       int64
	corrupted        int64
	sameRegionDelay  Time
	crossRegionDelay Time
	cut              func(x, y *machine) bool
	failures         []string
	digest           xxhash.Digest // of all that was sent
	onInForce        func(m *machine, v Version)
}

func newWorld(t testing.TB, seed uint64, controls, fronts, zones int) *world {
	w := &world{t: t, now: 1000 * Second, source: random.New(seed), machines: map[string]*machine{},
		committed: map[Version]*Document{}, committedAt: map[Version]Time{}, sameRegionDelay: 30 * Millisecond, crossRegionDelay: 80 * Millisecond}
	for k := range controls {
		w.controls = append(w.controls, w.add(fmt.Sprint("control", k), k%zones, zones))
	}
	for k := range fronts {
		w.fronts = append(w.fronts, w.add(fmt.Sprint("front", k), k%zones, zones))
	}
	for _, m := range w.controls {
		m.log = NewLog()
		w.start(m)
	}
	for _, m := range w.fronts {
		w.start(m)
	}
	w.updateLeader()
	w.at(w.now+Second, w.confirmLeadership)
	return w
}

func (w *world) add(name string, zone, zones int) *machine {
	m := &machine{w: w, name: name, zone: fmt.Sprint("zone", zone), region: zone * 2 / max(zones, 2), program: 1}
	w.machines[name] = m
	return m
}

func (w *world) at(at Time, do func()) {
	w.order++
	heap.Push(&w.queue, event{at, w.order, do})
}

func (w *world) run(span Time) {
	for until := w.now + span; ; {
		if len(w.queue) == 0 || w.queue[0].at > until {
			w.now = until
			return
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// runUntil runs until something holds, for a span at most, and tells for how long it ran; -1: it never held.
func (w *world) runUntil(span Time, holds func() bool) Time {
	for begin := w.now; w.now-begin <= span; w.run(10 * Millisecond) {
		if holds() {
			return w.now - begin
		}
	}
	return -1
}

func (w *world) peers() Peers {
	var p Peers
	for _, m := range w.controls {
		p.Controls = append(p.Controls, Peer{m.name, m.zone, m.name})
	}
	for _, m := range w.fronts {
		p.Fronts = append(p.Fronts, Peer{m.name, m.zone, m.name})
	}
	return p
}

func (w *world) start(m *machine) {
	m.down = false
	m.incarnation++
	m.startedAt = w.now
	seed := uint64(w.source.Uint32()) + m.incarnation
	if m.log != nil {
		m.control = NewDistributor(w.now, DistributorOptions{Fleet: "blue", Name: m.name, Seed: seed}, m.log, m)
		m.control.SetPeers(w.now, w.peers())
	} else {
		kept := m.persisted
		if m.diskless {
			kept, m.inForce = nil, 0
		}
		if len(kept) > 0 {
			m.inForce-- // the same version is put in force again
		}
		m.agent = NewAgent(w.now, AgentOptions{Fleet: "blue", Name: m.name, Zone: m.zone, Incarnation: m.incarnation,
			Program: m.program, Seed: seed, Persisted: kept}, m)
		m.agent.SetPeers(w.now, w.peers())
	}
	m.wakeAt = 0
	m.wake()
}

func (m *machine) stop() { m.down = true }

// wake has the machine's next beat come.
func (m *machine) wake() {
	next := Time(0)
	if m.agent != nil {
		next = m.agent.Next()
	} else {
		next = m.control.Next()
	}
	if m.wakeAt > m.w.now && m.wakeAt <= next {
		return
	}
	m.wakeAt = max(next, m.w.now+1)
	at, life := m.wakeAt, m.incarnation
	m.w.at(at, func() {
		if m.down || m.incarnation != life || m.wakeAt != at {
			return
		}
		if m.agent != nil {
			m.agent.Tick(m.w.now)
		} else {
			m.control.Tick(m.w.now)
		}
		m.wake()
	})
}

func (m *machine) count(size int) {
	second := int(m.w.now/Second) - 1000
	for len(m.traffic) <= second {
		m.traffic = append(m.traffic, 0)
	}
	m.traffic[second] += int64(size + packetOverhead)
}

// worstRate gives the most bytes a second over ten seconds in a row, from a second on.
func (m *machine) worstRate(from int) int64 {
	most, sum := int64(0), int64(0)
	for k := from; k < len(m.traffic); k++ {
		sum += m.traffic[k]
		if k-from >= 10 {
			sum -= m.traffic[k-10]
		}
		most = max(most, sum/10)
	}
	return most
}

func (m *machine) Send(addr string, message []byte) {
	w := m.w
	m.messages++
	m.count(len(message))
	w.digest.WriteString(m.name + addr)
	w.digest.Write(message)
	if len(message) > MaxMessage {
		w.failf("%s: a message of %d bytes", m.name, len(message))
	}
	copies := 1
	if w.duplicated > 0 && w.source.Below(1000) < w.duplicated {
		copies = 2
	}
	for range copies {
		w.deliver(m, w.machines[addr], bytes.Clone(message))
	}
}

func (w *world) deliver(from, to *machine, message []byte) {
	if to == nil || w.source.Below(1000) < w.loss || w.cut != nil && w.cut(from, to) {
		return
	}
	if w.corrupted > 0 && w.source.Below(1000) < w.corrupted {
		message[w.source.Below(int64(len(message)))] ^= byte(1 << w.source.Below(8))
	}
	delay := w.sameRegionDelay
	if from.region != to.region {
		delay = w.crossRegionDelay
	}
	delay += w.source.Below(delay/4+1) + to.extraDelay
	w.at(w.now+delay, func() { to.receive(from.name, message) })
}

func (m *machine) receive(from string, message []byte) {
	if m.down {
		return
	}
	m.count(len(message))
	if m.agent != nil {
		m.agent.Receive(m.w.now, from, message)
	} else {
		m.control.Receive(m.w.now, from, message)
	}
	m.wake()
}

func (m *machine) Log(string)              {}
func (m *machine) UnixMilliseconds() int64 { return m.w.now / Millisecond }
func (m *machine) Persist(kept []byte)     { m.persisted = bytes.Clone(kept) }
func (m *machine) Propose(entry []byte) error {
	if !m.w.commit(entry) {
		return fmt.Errorf("no majority")
	}
	return nil
}

func (w *world) failf(format string, values ...any) {
	if len(w.failures) < 10 {
		w.failures = append(w.failures, fmt.Sprintf(format, values...))
	}
}

// PutInForce is the rule that all tests hold: a version goes forward only, and is the very one that the log
// has.
func (m *machine) PutInForce(v Version, texts []ScopeText) error {
	w := m.w
	if v <= m.inForce {
		w.failf("%s: version %d after %d", m.name, v, m.inForce)
	}
	want := w.committed[v]
	if want == nil {
		w.failf("%s: version %d was never committed", m.name, v)
		return nil
	}
	if !bytes.Equal((&Document{Texts: texts}).Append(nil), (&Document{Texts: want.TextsFor(m.name, m.zone)}).Append(nil)) {
		w.failf("%s: version %d is not what was committed", m.name, v)
	}
	if m.refuse != nil {
		if err := m.refuse(texts); err != nil {
			return err
		}
	}
	m.inForce, m.inForceAt = v, w.now
	if w.onInForce != nil {
		w.onInForce(m, v)
	}
	return nil
}

// leader gives the first control machine that reaches a majority, nil if there is none.
func (w *world) leader() *machine {
	for _, m := range w.controls {
		reached := 0
		for _, o := range w.controls {
			if !m.down && !o.down && (o == m || w.cut == nil || !w.cut(m, o) && !w.cut(o, m)) {
				reached++
			}
		}
		if 2*reached > len(w.controls) {
			return m
		}
	}
	return nil
}

func (w *world) reaches(x, y *machine) bool { return w.cut == nil || !w.cut(x, y) }

// updateLeader tells control machines who leads, and has them catch up.
func (w *world) updateLeader() {
	leader := w.leader()
	for _, m := range w.controls {
		if m.down {
			continue
		}
		addr := ""
		if leader != nil && w.reaches(leader, m) {
			addr = leader.name
			w.catchUp(m)
		}
		m.control.SetLeader(w.now, m == leader, addr)
		m.wake()
	}
}

// confirmLeadership stands for the read by quorum.
func (w *world) confirmLeadership() {
	w.updateLeader()
	if leader := w.leader(); leader != nil {
		leader.control.LeadershipConfirmed(w.now, w.now-50*Millisecond)
	}
	w.at(w.now+Second, w.confirmLeadership)
}

// commit adds an entry; each control machine applies it after a delay of its own.
func (w *world) commit(entry []byte) bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	w.entries = append(w.entries, bytes.Clone(entry))
	w.catchUp(leader)
	for _, m := range w.controls {
		w.at(w.now+w.sameRegionDelay+w.source.Below(w.crossRegionDelay), func() {
			if l := w.leader(); !m.down && l != nil && w.reaches(l, m) {
				w.catchUp(m)
			}
		})
	}
	return true
}

func (w *world) catchUp(m *machine) {
	for ; m.appliedEntries < len(w.entries); m.appliedEntries++ {
		result := m.log.Apply(w.entries[m.appliedEntries])
		if m.appliedEntries == len(w.results) {
			w.results = append(w.results, result)
			if result.Err == nil {
				w.committedAt[result.Version] = w.now
				w.committed[result.Version], _ = ReadDocument(m.log.Document().Append(nil))
			}
		} else if w.results[m.appliedEntries].Version != result.Version {
			w.failf("%s: entry %d leads to another version", m.name, m.appliedEntries)
		}
	}
	m.control.LogChanged(w.now)
	m.wake()
}

// change commits a change of a scope to a text, and gives its version.
func (w *world) change(scope Scope, text string, plan *Plan) Version {
	leader := w.leader()
	if leader == nil {
		return 0
	}
	c := Change{Base: leader.log.Newest(), Scope: scope, Text: []byte(text), Author: "ana", Reason: "a test", At: 1, Plan: plan}
	entry, err := leader.log.Prepare(c, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.commit(entry)
	return leader.log.Newest()
}

// allInForce tells whether all live fronts that a test counts have a version in force.
func (w *world) allInForce(v Version, count func(m *machine) bool) bool {
	for _, m := range w.fronts {
		if !m.down && (count == nil || count(m)) && m.agent.InForce() < v {
			return false
		}
	}
	return true
}

func (w *world) reportFailures() {
	w.t.Helper()
	for _, trouble := range w.failures {
		w.t.Error(trouble)
	}
}

// settings gives a text of many keys, with one that a change alters.
func settings(keys, changed, value int) string {
	var text bytes.Buffer
	text.WriteString("{\n")
	for k := range keys {
		number := k * 37
		if k == changed {
			number = value
		}
		fmt.Fprintf(&text, "  \"class-%03d\": {\"freshness_ms\": %d, \"credit\": 4, \"retries\": 2},\n", k, number)
	}
	text.WriteString("  \"end\": true\n}\n")
	return text.String()
}
