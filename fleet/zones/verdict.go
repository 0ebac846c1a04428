package zones

import (
	"fmt"
	"strings"
)

// minHealthyStores is the number of stores that fronts of this zone must reach without any failure for a zone
// to count as reachable, whatever other zones report.
const minHealthyStores = 2

// outsideReports sums up what the fronts of all zones outside a zone report about it.
type outsideReports struct {
	zones        int    // zones that have been heard
	failing      int    // zones that see it fail or have drained it
	failedSlots  uint64 // union of the stores that these zones see fail
	descriptions []string
	reachable    bool // this zone's fronts reach it without failures, whatever others report
}

// drainedBy reports whether another zone's fronts have drained a zone because of their own evidence.
func (z *Zones) drainedBy(from, of int) bool {
	if from >= len(z.zones[of].otherRows) {
		return false
	}
	other := &z.zones[of].otherRows[from]
	return other.state.drains() && !other.byOperator && z.now-other.publishedAt <= z.config.NoteTTL
}

// collectOutsideReports merges the reports of all zones that have been heard, except the zone itself.
func (z *Zones) collectOutsideReports(of int) (reports outsideReports) {
	for from := range z.zones {
		f := &z.zones[from]
		if from == of || f.fronts == 0 || from != ownZone && !z.heardLately(from) {
			continue
		}
		reports.zones++
		r := z.reportOf(from, of)
		if from == ownZone && r.reachesHealthyStores(min(2, f.fronts)) {
			reports.reachable = true
			return reports
		}
		switch {
		case z.drainedBy(from, of):
			reports.failing++
			reports.failedSlots |= z.zones[of].storeSlots
			reports.descriptions = append(reports.descriptions, fmt.Sprintf("from %s it has been left", f.name))
		case r.fails:
			reports.failing++
			reports.failedSlots |= r.failedSlots
			reports.descriptions = append(reports.descriptions, fmt.Sprintf("from %s %s", f.name, r))
		case r.notable():
			reports.descriptions = append(reports.descriptions, fmt.Sprintf("from %s %s", f.name, r))
		}
	}
	return reports
}

// reachesHealthyStores reports whether at least so many observers see stores of the zone and none of them
// sees a failure.
func (r *report) reachesHealthyStores(observers int) bool {
	return r.healthy && r.failed == 0 && r.seen >= minHealthyStores && r.observers >= observers
}

// verdict returns whether a zone is to be drained, and why. If it is not, the text says which failures are
// seen, and is empty if there are none.
func (z *Zones) verdict(of int) (drain bool, why string) {
	zn := &z.zones[of]
	outside := z.collectOutsideReports(of)
	if outside.reachable {
		return false, ""
	}
	inside := report{}
	if of == ownZone || zn.fronts > 0 && z.heardLately(of) {
		inside = z.reportOf(of, of)
		if inside.notable() {
			outside.descriptions = append(outside.descriptions, "inside "+inside.String())
		}
	}
	text := strings.Join(outside.descriptions, "; ")
	if text == "" || !zn.enoughFailed(outside.failedSlots) {
		return false, text
	}
	majority := 2*outside.failing > outside.zones
	switch {
	case outside.failing >= 2 && majority && inside.healthy:
		return true, "cut off, and sound inside: " + text
	case outside.failing >= 2 && majority:
		return true, "gone: " + text
	case of == ownZone && inside.fails && zn.enoughFailed(inside.failedSlots) && outside.failing > 0 && majority:
		return true, "gone, as inside and outside see: " + text
	case of != ownZone && outside.failing == 1 && outside.zones == 1 && !inside.healthy:
		// No other zone can be asked: either that zone is down or this one is partitioned from it. It cannot
		// be reached in both cases.
		return true, "out of reach, and nobody else is heard: " + text
	case outside.failing > 0:
		return false, "the way there alone: " + text
	}
	return false, text
}
