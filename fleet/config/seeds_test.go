package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// randomRun is a run of a small fleet with random faults and changes, which ends with all faults repaired.
type randomRun struct {
	*world
	zones  int
	values int // number of texts made, so that each one is different
}

// below returns a random number from 0 to n-1.
func (d *randomRun) below(n int) int { return int(d.source.Below(int64(n))) }

// TestRandomFaults checks in random runs that no accepted change is lost or reordered, no rejected change
// appears, no front goes back to an older version or acts on two versions, and no version is reported to be
// in force everywhere before it is.
func TestRandomFaults(t *testing.T) {
	seeds := 150
	if raceEnabled {
		seeds = 20
	}
	if n, err := strconv.Atoi(os.Getenv("MICATRACK_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		if d := runSeed(t, uint64(seed)); len(d.failures) > 0 {
			t.Errorf("seed %d: %v", seed, d.failures)
		}
	}
}

// TestDeterministic checks that two runs of the same seed send the same messages.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		if one, two := runSeed(t, seed), runSeed(t, seed); one.digest.Sum64() != two.digest.Sum64() {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// runSeed performs the run of a seed.
func runSeed(t *testing.T, seed uint64) *randomRun {
	d := &randomRun{world: newWorld(t, seed, 3, 0, 3), zones: 3}
	for k := range 6 + d.below(8) {
		m := d.add(fmt.Sprint("front", k), k%3, 3)
		m.diskless, m.extraDelay = d.below(3) == 0, Time(d.below(4)/3)*300*Millisecond
		d.fronts = append(d.fronts, m)
	}
	for _, m := range d.fronts {
		d.start(m)
	}
	for _, m := range d.controls {
		m.control.SetPeers(d.now, d.peers())
	}
	d.loss, d.duplicated, d.corrupted = int64(d.below(200)), int64(d.below(100)), int64(d.below(30))
	for range 12 + d.below(12) {
		d.step()
		d.run(Time(d.below(4000)) * Millisecond)
		d.checkInvariants()
	}
	d.heal()
	if d.runUntil(60*Second, d.converged) < 0 {
		d.failf("not converged a minute after all faults were repaired: %+v", d.leader().control.Status(d.now))
	}
	d.checkLogs()
	return d
}

// step makes one random change or causes or repairs one random fault.
func (d *randomRun) step() {
	switch d.below(12) {
	case 0, 1, 2, 3:
		d.concurrentWriters(1 + d.below(3))
	case 4:
		d.rollback()
	case 5:
		if m := d.fronts[d.below(len(d.fronts))]; !m.down {
			m.stop()
			d.at(d.now+Time(d.below(3000))*Millisecond, func() { d.start(m) })
		}
	case 6:
		zone := fmt.Sprint("zone", d.below(d.zones))
		d.cut = func(x, y *machine) bool { return x.zone != y.zone && (x.zone == zone || y.zone == zone) }
	case 7:
		one := d.fronts[d.below(len(d.fronts))]
		d.cut = func(x, _ *machine) bool { return x == one }
	case 8:
		d.cut = nil
	case 9:
		m := d.controls[d.below(3)]
		m.down = !m.down
		if !m.down {
			d.start(m)
		}
		d.updateLeader()
	case 10:
		for _, m := range d.controls {
			m.down = true
		}
	case 11:
		d.restoreControls()
	}
}

// restoreControls restarts the control machines that are down from their snapshots.
func (d *randomRun) restoreControls() {
	for _, m := range d.controls {
		if !m.down {
			continue
		}
		kept := m.log.Snapshot()
		m.log = NewLog()
		if err := m.log.Restore(kept); err != nil {
			d.failf("%s: %v", m.name, err)
		}
		d.start(m)
	}
	d.updateLeader()
}

// heal repairs all faults except for some message loss, and commits a last change.
func (d *randomRun) heal() {
	d.cut, d.loss, d.duplicated, d.corrupted = nil, 50, 0, 0
	d.restoreControls()
	for _, m := range d.fronts {
		if m.down {
			d.start(m)
		}
	}
	d.concurrentWriters(1)
}

// concurrentWriters commits several changes of the same version, of which exactly the first must be
// accepted.
func (d *randomRun) concurrentWriters(count int) {
	d.updateLeader() // a real leader also applies all entries before it proposes one
	leader := d.leader()
	if leader == nil {
		return
	}
	var entries [][]byte
	for range count {
		d.values++
		c := Change{Base: leader.log.Newest(), Scope: Scope(fmt.Sprint("scope", d.below(3))), Author: "ana", Reason: "a test"}
		c.Text = []byte(settings(20, d.below(20), d.values))
		if d.below(4) == 0 {
			c.Plan = &Plan{Front: "front0", Zone: "zone1", Soak: Second, Limit: 10 * Second}
		}
		entry, err := leader.log.Prepare(c, nil)
		if err != nil {
			if !errors.Is(err, ErrRolloutOpen) {
				d.failf("%v", err)
			}
			return
		}
		entries = append(entries, entry)
	}
	before := len(d.results)
	for _, entry := range entries {
		d.commit(entry)
	}
	for k, r := range d.results[before:] {
		if won := r.Err == nil; won != (k == 0) || !won && !errors.Is(r.Err, ErrVersionConflict) {
			d.failf("writer %d: %v", k, r.Err)
		}
	}
}

// rollback commits a rollback to a random version.
func (d *randomRun) rollback() {
	leader := d.leader()
	if leader == nil || leader.log.Newest() < 2 {
		return
	}
	newest := leader.log.Newest()
	r := Rollback{Base: newest, To: 1 + Version(d.below(int(newest))), Author: "ana", Reason: "a test"}
	entry, err := leader.log.PrepareRollback(r, nil)
	if err != nil {
		d.failf("rollback: %v", err)
		return
	}
	d.commit(entry)
	old, _ := leader.log.DocumentAt(r.To)
	if !bytes.Equal((&Document{Texts: old.Texts}).Append(nil), (&Document{Texts: leader.log.Document().Texts}).Append(nil)) {
		d.failf("the texts after a rollback to %d are not those of that version", r.To)
	}
}

// converged reports whether every front has the newest version and may act on guarded settings, no roll-out
// is open, and the leader's status says so.
func (d *randomRun) converged() bool {
	s := d.leader().control.Status(d.now)
	for _, m := range d.fronts {
		if m.agent.InForce() != s.Newest || !m.agent.ProofFresh(d.now) {
			return false
		}
	}
	return s.Everywhere && s.Stage == nil && s.InForce == len(d.fronts) && s.Lowest == s.Newest
}

// checkInvariants compares the leader's status and the fronts' guards with the actual state.
func (d *randomRun) checkInvariants() {
	if leader := d.leader(); leader != nil {
		d.checkStatus(leader.control.Status(d.now))
	}
	for _, m := range d.fronts {
		next := d.committedAt[m.agent.InForce()+1]
		if !m.down && m.agent.ProofFresh(d.now) && next != 0 && d.now-next > ProofTTL {
			d.failf("%s acts on guarded settings of version %d, %d s too old", m.name, m.agent.InForce(), (d.now-next)/Second)
		}
	}
}

// checkStatus checks that a version reported to be in force everywhere is.
func (d *randomRun) checkStatus(s Status) {
	for _, f := range s.Fronts {
		m := d.machines[f.Name]
		older := !m.down && m.agent.InForce() > 0 && m.agent.InForce() < s.Newest
		if s.Everywhere && older && (f.State != StateSilent || m.agent.ProofFresh(d.now)) {
			d.failf("%s has version %d, but %d is reported to be in force everywhere", m.name, m.agent.InForce(), s.Newest)
		}
	}
}

// checkLogs checks that all control machines have the same state, and that the history contains exactly the
// accepted changes in order.
func (d *randomRun) checkLogs() {
	d.run(2 * Second)
	accepted := Version(0)
	for k, r := range d.results {
		if r.Err == nil {
			accepted++
		}
		if r.Version != accepted {
			d.failf("entry %d produced version %d instead of %d", k, r.Version, accepted)
		}
	}
	want := d.controls[0].log
	for _, m := range d.controls {
		if !bytes.Equal(m.log.Snapshot(), want.Snapshot()) || m.log.Newest() != accepted {
			d.failf("%s has a different state", m.name)
		}
	}
	for k, r := range want.History() {
		if r.Version != Version(k+1) {
			d.failf("history has version %d at index %d", r.Version, k)
		}
		if at, err := want.DocumentAt(r.Version); err != nil || !bytes.Equal((&Document{Texts: at.Texts}).Append(nil), (&Document{Texts: d.committed[r.Version].Texts}).Append(nil)) {
			d.failf("version %d in the history differs from the committed one: %v", r.Version, err)
		}
	}
}
