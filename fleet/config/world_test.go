package config

import (
	"bytes"
	"container/heap"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// This file simulates fronts and control machines on one virtual clock, with links that delay, lose, duplicate
// and corrupt messages. Consensus, which package lease implements, is replaced by a list of entries that a
// majority of control machines can append to.

// event is a scheduled call.
type event struct {
	at    Time
	order uint64 // order of scheduling, for events at the same time
	do    func()
}

// events is a heap of events, earliest first.
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
	name           string
	zone           string
	region         int
	down           bool
	incarnation    uint64       // number of starts
	startedAt      Time         // when this incarnation started
	extraDelay     Time         // added to the delivery time of each message
	wakeAt         Time         // when the next tick is scheduled
	agent          *Agent       // nil on a control machine
	control        *Distributor // nil on a front
	log            *Log         // nil on a front
	appliedEntries int          // number of entries applied to log
	persisted      []byte       // state of the agent on disk
	inForce        Version      // over all incarnations, if the machine has a disk
	inForceAt      Time         // when inForce was put in force
	diskless       bool
	program        uint32
	refuse         func(texts []ScopeText) error // if not nil, the front's own check of texts
	traffic        []int64                       // bytes sent and received in each second
	messages       int                           // messages sent
}

// world is a simulated fleet.
type world struct {
	t                testing.TB
	now              Time
	queue            events
	order            uint64 // number of events scheduled
	source           random.Source
	machines         map[string]*machine // by name, which is also the address
	controls         []*machine
	fronts           []*machine
	entries          [][]byte              // replicated log
	committed        map[Version]*Document // content of each version
	results          []Result              // result of each entry
	committedAt      map[Version]Time
	loss             int64 // messages lost, in thousandths
	duplicated       int64 // messages duplicated, in thousandths
	corrupted        int64 // messages corrupted, in thousandths
	sameRegionDelay  Time
	crossRegionDelay Time
	cut              func(x, y *machine) bool // whether messages from x to y are lost; nil: none are
	failures         []string
	digest           xxhash.Digest // digest of all messages sent
	onInForce        func(m *machine, v Version)
}

// newWorld returns a fleet in which all machines have started.
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

// add creates a machine that is not started. The zones are spread over two regions.
func (w *world) add(name string, zone, zones int) *machine {
	m := &machine{w: w, name: name, zone: fmt.Sprint("zone", zone), region: zone * 2 / max(zones, 2), program: 1}
	w.machines[name] = m
	return m
}

// at schedules a call.
func (w *world) at(at Time, do func()) {
	w.order++
	heap.Push(&w.queue, event{at, w.order, do})
}

// run advances the clock and runs the events that are due.
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

// runUntil runs until holds returns true, for span at most. It returns the time that took, or -1.
func (w *world) runUntil(span Time, holds func() bool) Time {
	for begin := w.now; w.now-begin <= span; w.run(10 * Millisecond) {
		if holds() {
			return w.now - begin
		}
	}
	return -1
}

// peers returns all machines.
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

// start starts or restarts a machine.
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
			m.inForce-- // the agent puts the persisted version in force again
		}
		m.agent = NewAgent(w.now, AgentOptions{Fleet: "blue", Name: m.name, Zone: m.zone, Incarnation: m.incarnation,
			Program: m.program, Seed: seed, Persisted: kept}, m)
		m.agent.SetPeers(w.now, w.peers())
	}
	m.wakeAt = 0
	m.wake()
}

func (m *machine) stop() { m.down = true }

// wake schedules the machine's next tick.
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

// count adds a message to the traffic of the current second.
func (m *machine) count(size int) {
	second := int(m.w.now/Second) - 1000
	for len(m.traffic) <= second {
		m.traffic = append(m.traffic, 0)
	}
	m.traffic[second] += int64(size + packetOverhead)
}

// worstRate returns the highest average rate over ten consecutive seconds, in bytes a second, beginning
// with the second numbered from.
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
		w.failf("%s sent a message of %d bytes", m.name, len(message))
	}
	copies := 1
	if w.duplicated > 0 && w.source.Below(1000) < w.duplicated {
		copies = 2
	}
	for range copies {
		w.deliver(m, w.machines[addr], bytes.Clone(message))
	}
}

// deliver delivers a message, unless it is lost.
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

// receive passes a message to the machine if it is up.
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

// failf records a failed invariant; only the first ten are kept.
func (w *world) failf(format string, values ...any) {
	if len(w.failures) < 10 {
		w.failures = append(w.failures, fmt.Sprintf(format, values...))
	}
}

// PutInForce checks the invariant of all tests: the version in force only increases, and its texts are
// exactly those that were committed.
func (m *machine) PutInForce(v Version, texts []ScopeText) error {
	w := m.w
	if v <= m.inForce {
		w.failf("%s: version %d put in force after version %d", m.name, v, m.inForce)
	}
	want := w.committed[v]
	if want == nil {
		w.failf("%s: version %d put in force but never committed", m.name, v)
		return nil
	}
	if !bytes.Equal((&Document{Texts: texts}).Append(nil), (&Document{Texts: want.TextsFor(m.name, m.zone)}).Append(nil)) {
		w.failf("%s: texts of version %d differ from those committed", m.name, v)
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

// leader returns the first control machine that reaches a majority, or nil.
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

// reaches reports whether messages from x to y are not cut off.
func (w *world) reaches(x, y *machine) bool { return w.cut == nil || !w.cut(x, y) }

// updateLeader tells the control machines who leads. Those that the leader reaches catch up with the log.
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

// confirmLeadership simulates the quorum read of the leader, once a second.
func (w *world) confirmLeadership() {
	w.updateLeader()
	if leader := w.leader(); leader != nil {
		leader.control.LeadershipConfirmed(w.now, w.now-50*Millisecond)
	}
	w.at(w.now+Second, w.confirmLeadership)
}

// commit appends an entry to the log and reports whether there is a leader. Each control machine applies
// the entry after a random delay.
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

// catchUp applies the entries that a control machine has not applied.
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
			w.failf("%s: entry %d produced a different version than on another machine", m.name, m.appliedEntries)
		}
	}
	m.control.LogChanged(w.now)
	m.wake()
}

// change commits a new text of a scope and returns the version; 0 if there is no leader.
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

// allInForce reports whether all running fronts, or those that count selects, have at least the given
// version in force.
func (w *world) allInForce(v Version, count func(m *machine) bool) bool {
	for _, m := range w.fronts {
		if !m.down && (count == nil || count(m)) && m.agent.InForce() < v {
			return false
		}
	}
	return true
}

// reportFailures fails the test if an invariant failed.
func (w *world) reportFailures() {
	w.t.Helper()
	for _, failure := range w.failures {
		w.t.Error(failure)
	}
}

// settings returns a text with the given number of keys, in which the key numbered changed has the given
// value.
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
