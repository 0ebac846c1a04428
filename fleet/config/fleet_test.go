package config

import (
	"os"
	"slices"
	"testing"
)

// Requirements of the users.
const (
	maxPropagation = 6 * Second // after which a change must be in force on all fronts
	maxTrafficRate = 3000       // bytes a second of a front, sent and received, in its worst ten seconds
	warmupSeconds  = 20         // seconds after the start that are not measured
)

// propagation measures the time from the commit of each change until each front has it in force.
type propagation struct {
	committed []Time // time of the commit, by version
	all       []Time // delay of each change on each front
	last      []Time // largest delay of each change, by version
	late      int    // fronts that were up all the time and did not have a change within maxPropagation
}

// trackPropagation starts measuring.
func trackPropagation(w *world) *propagation {
	d := &propagation{committed: make([]Time, 1)}
	reached := map[*machine]Version{}
	w.onInForce = func(m *machine, v Version) {
		for k := reached[m] + 1; k <= v; k++ {
			if since := d.committed[k]; since >= m.startedAt {
				d.all = append(d.all, w.now-since)
				d.last[k-1] = max(d.last[k-1], w.now-since)
			}
		}
		reached[m] = max(reached[m], v)
	}
	return d
}

// commit commits a change and counts the fronts that do not have it in time.
func (d *propagation) commit(w *world, scope Scope, text string, plan *Plan) Version {
	d.committed = append(d.committed, w.now)
	d.last = append(d.last, 0)
	v := w.change(scope, text, plan)
	began := w.now
	w.at(w.now+maxPropagation, func() {
		for _, m := range w.fronts {
			if !m.down && m.startedAt <= began && m.agent.InForce() < v && (w.cut == nil || !w.cut(w.leader(), m)) {
				d.late++
			}
		}
	})
	return v
}

// permille returns the given quantile of durations, in thousandths, as milliseconds.
func permille(spans []Time, part int) Time {
	slices.Sort(spans)
	return spans[(len(spans)-1)*part/1000] / Millisecond
}

// trafficRates returns the worst ten seconds of the median front and of the worst front, in bytes a second.
func (w *world) trafficRates(from int) (median, most int64) {
	var worst []int64
	for _, m := range w.fronts {
		worst = append(worst, m.worstRate(from))
	}
	slices.Sort(worst)
	return worst[len(worst)/2], worst[len(worst)-1]
}

// stopFor stops machines at once and starts them together after the given duration.
func (w *world) stopFor(span Time, machines []*machine) {
	for _, m := range machines {
		m.stop()
	}
	w.updateLeader()
	w.at(w.now+span, func() {
		for _, m := range machines {
			if m.down {
				w.start(m)
			}
		}
		w.updateLeader()
	})
}

// inZone returns the machines of a zone.
func (w *world) inZone(zone string) (list []*machine) {
	for _, m := range slices.Concat(w.controls, w.fronts) {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	return list
}

// fullSize returns the number of fronts of the largest simulations.
func fullSize() int {
	if raceEnabled {
		return 120
	}
	return 800
}

// longRun reports whether the long variants of the tests are requested.
func longRun() bool { return os.Getenv("MICATRACK_LONG") != "" }

// TestLargeFleetWithLossAndRestarts commits changes in a large fleet with 5 % message loss and slow fronts,
// while fronts, a rack and a zone restart. Every change must reach all fronts in time and within the
// traffic limit.
func TestLargeFleetWithLossAndRestarts(t *testing.T) {
	changes, restarts := 12, 3
	if longRun() {
		changes, restarts = 3100, 640
	}
	w := newWorld(t, 7, 5, fullSize(), 6)
	w.loss = 50
	for k := 0; k < len(w.fronts); k += 10 {
		w.fronts[k].extraDelay = 300 * Millisecond
	}
	w.run(warmupSeconds * Second)
	d := trackPropagation(w)
	for k := range changes {
		d.commit(w, "settings", settings(40, k%40, k), nil)
		if k*restarts/changes != (k+1)*restarts/changes {
			m := w.fronts[w.source.Below(int64(len(w.fronts)))]
			m.stop()
			w.stopFor(2*Second, []*machine{m})
		}
		switch k {
		case changes / 3:
			w.stopFor(60*Second, w.fronts[60:80]) // a rack
		case changes * 2 / 3:
			w.stopFor(120*Second, w.inZone("zone3"))
		}
		w.run(4 * Second)
	}
	w.run(maxPropagation)
	median, most := w.trafficRates(warmupSeconds)
	t.Logf("%d changes: in force at the median front after %d ms, at 99 of 100 after %d ms, at the last after %d ms (median change %d ms)",
		changes, permille(d.all, 500), permille(d.all, 990), permille(d.last, 1000), permille(d.last, 500))
	t.Logf("worst ten seconds of a front: median %d B/s, most %d B/s; of control machine 0 %d B/s", median, most, w.controls[0].worstRate(warmupSeconds))
	if d.late > 0 || permille(d.last, 1000) > maxPropagation/Millisecond {
		t.Errorf("%d fronts had a change later than %d ms", d.late, maxPropagation/Millisecond)
	}
	if most > maxTrafficRate {
		t.Errorf("a front used %d bytes a second, at most %d allowed", most, maxTrafficRate)
	}
	w.reportFailures()
}

// TestAllFrontsStartAtOnce restarts all fronts without a disk, so each one needs the whole document.
func TestAllFrontsStartAtOnce(t *testing.T) {
	w := newWorld(t, 9, 5, fullSize(), 6)
	w.loss = 50
	text := settings(300, 0, 1)
	v := w.change("settings", text, nil)
	w.run(60 * Second)
	for _, m := range w.fronts {
		m.diskless = true
		m.stop()
		w.start(m)
	}
	from := w.currentSecond()
	took := w.runUntil(120*Second, func() bool { return w.allInForce(v, nil) })
	payload := newPayload(0, v, w.leader().log.chain.deltaFrom(0).encode())
	median, most := w.trafficRates(from)
	t.Logf("%d bytes, %d as carried: all %d have it %d ms after their start; worst ten seconds median %d B/s, most %d B/s",
		len(text), payload.size(), len(w.fronts), took/Millisecond, median, most)
	if took < 0 || most > maxTrafficRate {
		t.Errorf("all fronts had the version after %d ms, with at most %d B/s", took/Millisecond, most)
	}
	w.reportFailures()
}
