package zones_test

import (
	"fmt"
	"hash"
	"hash/fnv"
	"sort"
	"testing"

	"micatrack/fleet/zones"
	"micatrack/internal/random"
)

// playDigest is the FNV-1a hash of every action in the simulation below: shares, notes with their bodies, log
// lines and the status for operators. It was recorded before the package was split into files by purpose. A
// change that is meant to alter actions must record it again and say so. Shares are hashed with six digits.
const playDigest = "cf3761ec947358b7"

const (
	digestPeriod = zones.Time(5000)
	zoneCount    = 4
	frontCount   = 4 // in each zone
	storeCount   = 6 // in each zone
)

// front is one view in the simulation.
type front struct {
	sim     *simulation
	name    string
	zone    int
	view    *zones.Zones
	stopped bool
}

// delivery is a note in transit.
type delivery struct {
	at, publishedAt zones.Time
	to              *front
	key             string
	version         uint64
	body            []byte
}

type simulation struct {
	now          zones.Time
	random       random.Source
	fronts       []*front
	deliveries   []delivery
	actions      hash.Hash64
	cut          func(from, to int) bool // reports whether notes and requests between two zones are lost
	failingShare [zoneCount]float64      // fraction of a zone's stores that fail
	slowdown     float64                 // ratio of actual to expected latency
}

func (f *front) traceAction(format string, values ...any) {
	fmt.Fprintf(f.sim.actions, "%d %s ", f.sim.now, f.name)
	fmt.Fprintf(f.sim.actions, format+"\n", values...)
}

func (f *front) SetShare(zone string, share float64) { f.traceAction("part %s %.6f", zone, share) }
func (f *front) StopSpreading(key string)            { f.traceAction("hush %s", key) }
func (f *front) Log(text string)                     { f.traceAction("log %s", text) }

// Publish sends the note to every other front that the sender's zone reaches. One note in ten is lost.
func (f *front) Publish(key string, version uint64, body []byte, spread zones.Spread) {
	f.traceAction("publish %q %d %x %v", key, version, body, spread == zones.SpreadUrgently)
	for _, to := range f.sim.fronts {
		if to == f || to.stopped || f.sim.cut(f.zone, to.zone) || f.sim.random.Below(10) == 0 {
			continue
		}
		at := f.sim.now + 50 + f.sim.random.Below(digestPeriod/2)
		f.sim.deliveries = append(f.sim.deliveries, delivery{at, f.sim.now, to, key, version, append([]byte(nil), body...)})
	}
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func newSimulation(actions hash.Hash64) *simulation {
	p := &simulation{now: 1_000_000, random: random.New(77), actions: actions, slowdown: 1}
	p.cut = func(int, int) bool { return false }
	for zone := range zoneCount {
		for k := range frontCount {
			f := &front{sim: p, name: fmt.Sprint(zoneName(zone), k), zone: zone}
			f.view = zones.New(p.now, zones.Config{Name: f.name, Zone: zoneName(zone), Incarnation: uint64(k + 1),
				Period: digestPeriod, MaxObservers: 64, ColdCapacity: 0.15, WarmupTime: 80_000, OverloadTolerance: 15_000,
				NoteTTL: 20 * digestPeriod}, f)
			p.fronts = append(p.fronts, f)
		}
	}
	for _, f := range p.fronts {
		f.view.UpdateStores(p.now, true, storeList(storeCount))
		for _, other := range p.fronts {
			f.view.UpdateMember(p.now, other.name, zoneName(other.zone), true)
		}
	}
	return p
}

// storeList returns a list with the given number of stores in each zone.
func storeList(each int) (stores []zones.Store) {
	for zone := range zoneCount {
		for k := range each {
			stores = append(stores, zones.Store{ID: fmt.Sprint("s", zoneName(zone), k), Zone: zoneName(zone),
				Size: 1 + float64(k%2), Open: true})
		}
	}
	return stores
}

// run simulates a time span: requests, notes and membership messages.
func (p *simulation) run(span zones.Time) {
	const step = digestPeriod / 10
	for end := p.now + span; p.now < end; p.now += step {
		sort.SliceStable(p.deliveries, func(i, k int) bool { return p.deliveries[i].at < p.deliveries[k].at })
		due := sort.Search(len(p.deliveries), func(i int) bool { return p.deliveries[i].at > p.now })
		arrived := append([]delivery(nil), p.deliveries[:due]...)
		p.deliveries = append(p.deliveries[:0], p.deliveries[due:]...)
		for _, l := range arrived {
			if !l.to.stopped {
				useful := l.to.view.ReceiveNote(p.now, []byte(l.key), l.version, p.now-l.publishedAt, l.body) != zones.DoNotSpread
				l.to.traceAction("heard %q %d %v", l.key, l.version, useful)
			}
		}
		for _, f := range p.fronts {
			if f.stopped {
				continue
			}
			for zone := range zoneCount {
				if !p.cut(zone, f.zone) {
					f.view.SetZoneLastHeard(zoneName(zone), p.now)
				}
			}
			p.requests(f)
			f.view.Tick(p.now)
		}
	}
}

// requests records the outcomes of a few requests of one front.
func (p *simulation) requests(f *front) {
	for range 4 {
		zone, k := int(p.random.Below(zoneCount)), int(p.random.Below(storeCount))
		id := fmt.Sprint("s", zoneName(zone), k)
		expected := zones.Time(100)
		took := zones.Time(float64(expected) * p.slowdown * (1 + float64(p.random.Below(100))/200))
		switch {
		case p.cut(f.zone, zone):
			f.view.RecordOutcome(p.now, id, zones.TimedOut, 2000, 0)
		case float64(k) < p.failingShare[zone]*storeCount:
			f.view.RecordOutcome(p.now, id, zones.Outcome(1+p.random.Below(3)), took, 0)
		default:
			f.view.RecordOutcome(p.now, id, zones.Answered, took, expected)
		}
	}
}

// traceStatus adds the status for operators to the hash.
func (p *simulation) traceStatus() {
	for _, f := range p.fronts {
		if f.stopped {
			continue
		}
		for _, r := range f.view.Status(p.now) {
			r.Part, r.Fleet = float64(int64(r.Part*1e6)), float64(int64(r.Fleet*1e6))
			f.traceAction("row %+v", r)
		}
		for zone := range zoneCount {
			why, err := f.view.Explain(p.now, zoneName(zone))
			f.traceAction("why %q %v", why, err)
		}
		f.traceAction("dropped %d next %d", f.view.Dropped, f.view.Next())
	}
}

// order issues an operator's order at one front.
func (p *simulation) order(front int, zone string, leave, force bool, span zones.Time, version uint64) {
	f := p.fronts[front]
	f.traceAction("order %v", f.view.IssueOrder(p.now, zone, leave, force, span, version))
}

// TestActionDigest runs a seeded fleet through single bad stores, the loss and recovery of a zone,
// partitions, operators' orders, stalled and overloaded fronts, malformed notes and changes of the store
// list, and compares the hash of all actions.
func TestActionDigest(t *testing.T) {
	actions := fnv.New64a()
	p := newSimulation(actions)
	p.run(20 * digestPeriod)
	p.traceStatus()

	p.failingShare[1] = 0.2 // a single bad store
	p.run(20 * digestPeriod)
	p.failingShare[1] = 0.5
	p.run(10 * digestPeriod)
	p.traceStatus()
	p.failingShare[1] = 1 // all stores of the zone
	p.run(15 * digestPeriod)
	p.fronts[2].view.HandleStall(p.now)
	p.traceStatus()
	p.run(45 * digestPeriod)
	p.failingShare[1] = 0
	p.run(10 * digestPeriod)
	p.failingShare[1] = 1 // fails again during its recovery
	p.run(30 * digestPeriod)
	p.failingShare[1] = 0.6
	p.run(30 * digestPeriod)
	p.failingShare[1] = 0
	p.run(120 * digestPeriod)
	p.traceStatus()

	p.cut = func(from, to int) bool { return (from < 2) != (to < 2) } // partition into halves
	p.run(30 * digestPeriod)
	p.traceStatus()
	p.cut = func(int, int) bool { return false }
	p.run(120 * digestPeriod)
	p.cut = func(from, to int) bool { return from != to && (from == 3 || to == 3) } // one isolated zone
	p.run(30 * digestPeriod)
	p.traceStatus()
	p.cut = func(int, int) bool { return false }
	p.run(120 * digestPeriod)

	p.slowdown = 6 // the other zones cannot take a whole zone's traffic
	p.run(40 * digestPeriod)
	p.failingShare[2] = 1
	p.run(30 * digestPeriod)
	p.traceStatus()
	p.order(0, "b", true, false, 20*digestPeriod, 0)
	p.failingShare[2], p.slowdown = 0, 1
	p.run(150 * digestPeriod)

	p.order(0, "d", true, false, 60*digestPeriod, 1)
	p.order(1, "nowhere", true, false, digestPeriod, 1)
	p.order(1, "c", true, false, -1, 1)
	p.run(30 * digestPeriod)
	p.traceStatus()
	p.order(5, "d", false, false, 0, 2)
	p.run(60 * digestPeriod)
	p.order(2, "a", true, true, 25*digestPeriod, 3) // and left to expire
	p.run(100 * digestPeriod)
	p.traceStatus()

	p.fronts[3].view.HandleStall(p.now)
	p.fronts[7].view.HandleOverload(p.now)
	p.fronts[9].stopped = true
	for k := range 200 { // made-up members of made-up zones, for which there is no entry
		p.fronts[0].view.UpdateMember(p.now, fmt.Sprint("ghost", k), fmt.Sprint("nowhere", k), true)
		if k%3 == 0 {
			p.fronts[0].view.UpdateMember(p.now, fmt.Sprint("ghost", k), fmt.Sprint("nowhere", k), false)
		}
	}
	p.fronts[0].view.UpdateStores(p.now, false, []zones.Store{{ID: "far", Zone: "far", Size: 1, Open: true}})
	for _, f := range p.fronts {
		f.view.UpdateMember(p.now, p.fronts[9].name, zoneName(p.fronts[9].zone), false)
		f.view.UpdateMember(p.now, "late", "e", true)
		f.view.UpdateStores(p.now, true, storeList(storeCount-1))
		for _, key := range []string{"e" + p.fronts[1].name, "pa\x00b", "pb\x00a", "p", "ob", "x"} {
			f.traceAction("malformed %v", f.view.ReceiveNote(p.now, []byte(key), 1<<50, 0, []byte{1, 9, 200}) != zones.DoNotSpread)
		}
	}
	p.run(30 * digestPeriod)
	p.traceStatus()

	if got := fmt.Sprintf("%016x", actions.Sum64()); got != playDigest {
		t.Errorf("the actions hash to %s, want %s", got, playDigest)
	}
}
