package zones

import "math/bits"

// answerMaxAgeDivisor is the divisor of the protocol period that gives the age after which an answer from a
// zone in service no longer counts as evidence.
const answerMaxAgeDivisor = 2

// Thresholds that decide which evidence is worth publishing.
const (
	sufficientReports = 2 // matching reports after which one more report changes no decision
	reportersPerZone  = 4 * sufficientReports
	minUrgentFailures = 2 // failed stores at which evidence becomes urgent
)

// updateEvidence sets this front's evidence bits from the last outcome of each store.
func (z *Zones) updateEvidence() {
	for index := range z.zones {
		z.zones[index].seen = 0
		z.zones[index].failed = 0
	}
	if z.now < z.ignoreFailuresUntil {
		return
	}
	for index := range z.stores {
		s := &z.stores[index]
		if !z.isEvidence(s) {
			continue
		}
		zn := &z.zones[s.zone]
		zn.seen |= 1 << s.slot
		if s.lastOutcome != Answered {
			zn.failed |= 1 << s.slot
		}
	}
}

// isEvidence reports whether a store's last outcome counts as evidence.
//
// A failure counts only once any store has answered after it. A front that reaches nothing at all has lost
// its own network connection; without this rule it would report all stores as failed.
//
// In a zone in service an answer counts only for part of a period, since an answer from before the zone
// failed does not show that the zone works. Elsewhere every answer within the window counts.
func (z *Zones) isEvidence(s *store) bool {
	if s.id == "" || s.outcomeAt < 0 {
		return false
	}
	age := z.now - s.outcomeAt
	if age > z.window {
		return false
	}
	if s.lastOutcome != Answered {
		return s.outcomeAt <= z.lastAnswerAt
	}
	return age <= z.config.Period/answerMaxAgeDivisor || z.zones[s.zone].row.state != InService
}

// worthReporting reports whether answers from a zone are worth publishing, besides failures: the zone is not
// in service, or some front sees failures there.
func (z *Zones) worthReporting(zoneIndex int) bool {
	zn := &z.zones[zoneIndex]
	if zn.failed != 0 || zn.row.state != InService {
		return true
	}
	for k := range z.observers {
		o := &z.observers[k]
		if !z.hasCurrentEvidence(o, reportWindows*z.window) {
			continue
		}
		for n := range o.rows {
			if o.rows[n].failed != 0 && o.rows[n].zone == zn.name {
				return true
			}
		}
	}
	return false
}

// evidenceUrgent reports whether new evidence may lead to a decision now: some row is not in service, or some
// front sees failures at half of the stores that have to fail before a zone is drained, or this front has at
// least minUrgentFailures failures that it has not published.
//
// Two failures that some fronts report are not enough by themselves: among hundreds of fronts that each see
// few requests, some always see two failures and no answer in a healthy zone.
func (z *Zones) evidenceUrgent() bool {
	for index := range z.zones {
		zn := &z.zones[index]
		if zn.row.state != InService {
			return true
		}
		unreported := zn.failed &^ z.publishedOf(index).failed
		if bits.OnesCount64(unreported) >= minUrgentFailures {
			return true
		}
		count := bits.OnesCount64(z.failedForAnyFront(index))
		if count >= minUrgentFailures && float64(count) >= minFailedShare/2*float64(zn.storeCount()) {
			return true
		}
	}
	return false
}

// failedForAnyFront returns the slots of a zone's stores that at least one front sees fail.
func (z *Zones) failedForAnyFront(zoneIndex int) uint64 {
	zn := &z.zones[zoneIndex]
	failed := zn.failed
	for k := range z.observers {
		o := &z.observers[k]
		if !z.hasCurrentEvidence(o, z.window) {
			continue
		}
		for n := range o.rows {
			e := &o.rows[n]
			if e.zone == zn.name && e.baseEpoch >= zn.row.baseEpoch {
				failed |= e.failed & zn.storeSlots
			}
		}
	}
	return failed
}

// addsEvidence reports whether this front's evidence adds to what the fronts of its zone have published: a
// failure that too few have reported, an answer where the others report failures, a change from what this
// front reported before, or an answer where too few answers have been reported to assess the zone. Only
// fronts of low rank add answers of the last kind.
//
// Without this check, a hundred fronts that discover the same failure at once would each send it to all
// others.
func (z *Zones) addsEvidence() bool {
	for k := range z.evidenceRows {
		if z.rowAddsEvidence(&z.evidenceRows[k]) {
			return true
		}
	}
	return false
}

func (z *Zones) rowAddsEvidence(e *zoneEvidence) bool {
	index := z.zoneByName[e.zone]
	votes := z.publishedVotes(index)
	published := z.publishedOf(index)
	answers := 0
	for _, vote := range votes {
		answers += max(0, -int(vote))
	}
	wanted := max(2*sufficientReports, minFailedShare*float64(z.zones[index].storeCount()))
	wantsAnswers := float64(answers) < wanted && z.rank(index) < reportersPerZone
	for left := e.seen; left != 0; left &= left - 1 {
		slot := bits.TrailingZeros64(left)
		bit := uint64(1) << slot
		failed, vote := e.failed&bit != 0, votes[slot]
		reported := published.seen&bit != 0
		switch {
		case reported && published.failed&bit == e.failed&bit:
		case reported,
			failed && vote < failureVotes*sufficientReports,
			!failed && vote > 0,
			!failed && wantsAnswers && vote > -sufficientReports:
			return true
		}
	}
	return false
}
