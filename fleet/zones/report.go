package zones

import (
	"fmt"
	"math/bits"
)

// Constants for merging evidence.
const (
	failureVotes    = 2    // votes of an observer that saw a failure; answers that others saw may be older
	failingShare    = 0.75 // fraction of the observed stores that fail from which a zone counts as failed
	healthyShare    = 0.25 // largest fraction of the observed stores that fail in a healthy zone
	minFailedShare  = 0.5  // fraction of all stores of a zone that must be seen to fail before the zone is drained
	minFailedStores = 3    // stores that must be seen to fail before the zone is drained, or all if it has fewer
	minFailing      = 2    // failed stores, and observers that see failures, from which a zone counts as failed
	reportWindows   = 2    // maximum age of evidence in a report, in windows
	notableDivisor  = 4    // failures of at least one in this many stores are notable
)

// report is the merged view that the fronts of one zone have of another zone's stores.
type report struct {
	seen             int    // stores that some observer has used
	failed           int    // those of them that fail by majority of votes
	total            int    // open stores of the zone
	failedSlots      uint64 // slots of stores that fail by majority of votes
	observers        int
	failingObservers int // observers that see failures
	fails            bool
	healthy          bool
}

// votes holds the sum of votes for each slot. A positive sum means that the store fails.
type votes [evidenceSlots]int16

// add adds one observer's votes.
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

// publishedVotes returns the sum of votes about a zone's stores that the other fronts of this zone have
// published within the window.
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

// enoughFailed reports whether enough of a zone's stores fail to drain the zone. A fraction alone is not
// sufficient: in a zone of four stores, one bad store and one that has just recovered already make up half.
func (zn *zone) enoughFailed(failed uint64) bool {
	total := float64(zn.storeCount())
	return float64(bits.OnesCount64(failed)) >= max(minFailedShare*total, min(minFailedStores, total))
}

// String returns the report as shown in logs and by Explain.
func (r report) String() string {
	return fmt.Sprintf("%d of %d stores seen fail, of %d, by %d of %d fronts",
		r.failed, r.seen, r.total, r.failingObservers, r.observers)
}

// failedFraction returns the fraction of the observed stores that fail, from 0 to 1.
func (r *report) failedFraction() float64 { return float64(r.failed) / float64(max(r.seen, 1)) }

// notable reports whether the report has enough failures to be shown to operators.
func (r *report) notable() bool {
	return r.failed >= minFailing && notableDivisor*r.failed >= r.total
}

// reportOf merges the evidence that the fronts of one zone have about another zone. It leaves out old
// evidence, and evidence of this front's own zone that was collected before the row's base epoch.
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

// evaluate derives from the votes which stores fail, and whether the zone counts as failed or healthy.
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
