package zones

import "math/bits"

// quietAnswerDivisor gives the part of a period after which an answer of a zone in service no longer counts.
const answerMaxAgeDivisor = 2

// Figures of what evidence is worth publishing.
const (
	sufficientReports = 2 // fronts that have reported the same, after which one more changes nothing
	reportersPerZone  = 4 * sufficientReports
	minUrgentFailures = 2 // failures of stores that make evidence urgent
)

// updateEvidence takes this front's bits from the outcomes of its requests.
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

// isEvidence reports whether a store's last outcome is evidence.
//
// Danger: a front that reaches nothing at all has lost its own network, and would blame all others. A failure
// counts once any store has answered after it.
//
// Danger: an answer from before a zone failed is no sign that it works.
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

// worthReporting reports whether anybody sees failures in a zone or it is not in service, so that answers are
// worth publishing too.
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

// evidenceUrgent reports whether evidence may lead to a decision now: a row is not in service, half of what would
// have to fail before a zone is drained does fail for somebody, or this front has more than one failure to
// report.
//
// Danger: of hundreds of fronts that each see little, some always see two failures and no answer in a sound
// zone.
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

// failedForAnyFront returns the slots of a zone's stores that any front sees fail.
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

// addsEvidence reports whether what this front sees adds to what its zone's fronts have published: a failure
// that too few have reported, an answer where the others report failures, what this front has reported
// otherwise before, or, from some of the zone's fronts alone, an answer where too few answers are reported to
// assess the zone.
//
// Danger: a hundred fronts that find out the same thing at once would each send it to all the others.
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
