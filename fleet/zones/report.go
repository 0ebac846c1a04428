package zones

import (
	"fmt"
	"math/bits"
)

// Figures of merging evidence.
const (
	failureVotes    = 2    // votes of an observer that saw a store fail; answers that others saw may be older
	failingShare    = 0.75 // of the stores seen that fail where a zone does
	healthyShare    = 0.25 // of the stores seen that fail at most where a zone is sound
	minFailedShare  = 0.5  // of all a zone's stores that are seen failing before it is drained
	minFailedStores = 3    // that are seen failing before it is drained, if it has so many
	minFailing      = 2    // stores that fail, and observers that see it, where a zone fails
	reportWindows   = 2    // windows for which evidence stays in a report
	notableDivisor  = 4    // one store in so many that fails is worth telling people
)

// report is what the fronts of one zone see together of another zone's stores.
type report struct {
	seen, failed, total int    // stores
	failedSlots         uint64 // those that fail
	observers           int
	failingObservers    int // those that see failures
	fails               bool
	healthy             bool
}

// votes is the sum of votes for each slot: more than 0 is a failure.
type votes [evidenceSlots]int16

// add counts what one observer has seen.
func (v *votes) add(seen, failed uint64) {
	for left := seen; left != 0; left &= left - 1 {
		slot := bits.TrailingZeros64(left)
		if failed&(1<<slot) != 0 {
			v[slot] += failureVotes
		} else {
			v[slot]--
		}
	}
}

// publishedVotes returns the votes that the other fronts of this zone have published lately of another zone's
// stores.
func (z *Zones) publishedVotes(of int) (sum votes) {
	zn := &z.zones[of]
	for k := range z.observers {
		o := &z.observers[k]
		if o.zone != ownZone || !z.hasCurrentEvidence(o, z.window) {
			continue
		}
		for n := range o.rows {
			e := &o.rows[n]
			if e.zone == zn.name && e.baseEpoch >= zn.row.baseEpoch {
				sum.add(e.seen, e.failed)
			}
		}
	}
	return sum
}

// enoughFailed reports whether enough of a zone's stores are seen to fail to assess the zone.
//
// Danger: in a zone of four stores, one bad store and one that has just recovered are half.
func (zn *zone) enoughFailed(failed uint64) bool {
	total := float64(zn.storeCount())
	return float64(bits.OnesCount64(failed)) >= max(minFailedShare*total, min(minFailedStores, total))
}

// String returns a report as logs and people are shown it.
func (r report) String() string {
	return fmt.Sprintf("%d of %d stores seen fail, of %d, by %d of %d fronts",
		r.failed, r.seen, r.total, r.failingObservers, r.observers)
}

// failedFraction returns the part of the stores seen that fail, from 0 to 1.
func (r *report) failedFraction() float64 { return float64(r.failed) / float64(max(r.seen, 1)) }

// notable reports whether a report has failures that people should read of.
func (r *report) notable() bool {
	return r.failed >= minFailing && notableDivisor*r.failed >= r.total
}

// reportOf merges the evidence of one zone's fronts about another. Old evidence, and this zone's evidence
// that was gathered under an earlier plan, counts for nothing.
func (z *Zones) reportOf(from, of int) (merged report) {
	zn := &z.zones[of]
	var sum votes
	var seen uint64
	add := func(observedSlots, observedFailures uint64) {
		if observedSlots == 0 {
			return
		}
		merged.observers++
		if observedFailures != 0 {
			merged.failingObservers++
		}
		seen |= observedSlots
		sum.add(observedSlots, observedFailures)
	}
	if from == ownZone {
		add(zn.seen, zn.failed)
	}
	for k := range z.observers {
		o := &z.observers[k]
		if o.zone != from || !z.hasCurrentEvidence(o, reportWindows*z.window) {
			continue
		}
		for n := range o.rows {
			e := &o.rows[n]
			if e.zone == zn.name && (from != ownZone || e.baseEpoch >= zn.row.baseEpoch) {
				add(e.seen&zn.storeSlots, e.failed&zn.storeSlots)
			}
		}
	}
	merged.seen = bits.OnesCount64(seen)
	merged.total = zn.storeCount()
	merged.evaluate(&sum, z.zones[from].fronts)
	return merged
}

// evaluate fills in which stores fail, and whether the zone does.
func (r *report) evaluate(sum *votes, fronts int) {
	for slot, vote := range sum {
		if vote > 0 {
			r.failed++
			r.failedSlots |= 1 << slot
		}
	}
	failedFraction := r.failedFraction()
	enoughObservers := r.failingObservers >= min(minFailing, fronts)
	r.fails = r.failed >= minFailing && failedFraction >= failingShare && enoughObservers
	r.healthy = r.seen > 0 && failedFraction <= healthyShare
}
