package zones

import (
	"fmt"
	"strings"
)

// minSoundStores is how many stores two fronts of this zone have to reach without failure before a zone
// counts as reached well.
const minSoundStores = 2

// testimony is what the fronts of all zones outside a zone report of it.
type testimony struct {
	zones       int    // that are heard
	failing     int    // zones that see it fail, or have drained it
	failedSlots uint64 // stores that these see fail, together
	texts       []string
	reachable   bool // this zone's fronts reach it well, whatever others report
}

// drainedBy reports whether another zone's fronts have drained a zone for what they saw of it.
func (z *Zones) drainedBy(from, of int) bool {
	if from >= len(z.zones[of].otherRows) {
		return false
	}
	other := &z.zones[of].otherRows[from]
	return other.state.drains() && !other.byOperator && z.now-other.heardAt <= z.self.NoteTTL
}

// gatherTestimony collects the reports of all zones that are heard, but for the zone itself.
func (z *Zones) gatherTestimony(of int) (t testimony) {
	for from := range z.zones {
		f := &z.zones[from]
		if from == of || f.fronts == 0 || from != ownZone && !z.heardLately(from) {
			continue
		}
		t.zones++
		r := z.reportOf(from, of)
		if from == ownZone && r.reachesWell(min(2, f.fronts)) {
			t.reachable = true
			return t
		}
		switch {
		case z.drainedBy(from, of):
			t.failing++
			t.failedSlots |= z.zones[of].stores
			t.texts = append(t.texts, fmt.Sprintf("from %s it has been left", f.name))
		case r.fails:
			t.failing++
			t.failedSlots |= r.failedSlots
			t.texts = append(t.texts, fmt.Sprintf("from %s %s", f.name, r))
		case r.notable():
			t.texts = append(t.texts, fmt.Sprintf("from %s %s", f.name, r))
		}
	}
	return t
}

// reachesWell reports whether so many observers see stores of the zone and no failure.
func (r *report) reachesWell(observers int) bool {
	return r.sound && r.failed == 0 && r.seen >= minSoundStores && r.observers >= observers
}

// verdict returns whether a zone is to be drained, and why; or what else is wrong there. The text is empty if
// nothing is.
func (z *Zones) verdict(of int) (drain bool, why string) {
	zn := &z.zones[of]
	outside := z.gatherTestimony(of)
	if outside.reachable {
		return false, ""
	}
	inside := report{}
	if of == ownZone || zn.fronts > 0 && z.heardLately(of) {
		inside = z.reportOf(of, of)
		if inside.notable() {
			outside.texts = append(outside.texts, "inside "+inside.String())
		}
	}
	text := strings.Join(outside.texts, "; ")
	if text == "" || !zn.covers(outside.failedSlots) {
		return false, text
	}
	majority := 2*outside.failing > outside.zones
	switch {
	case outside.failing >= 2 && majority && inside.sound:
		return true, "cut off, and sound inside: " + text
	case outside.failing >= 2 && majority:
		return true, "gone: " + text
	case of == ownZone && inside.fails && zn.covers(inside.failedSlots) && outside.failing > 0 && majority:
		return true, "gone, as inside and outside see: " + text
	case of != ownZone && outside.failing == 1 && outside.zones == 1 && !inside.sound:
		// There is no other zone to ask: it is down or this zone is cut off, and either way it cannot be reached.
		return true, "out of reach, and nobody else is heard: " + text
	case outside.failing > 0:
		return false, "the way there alone: " + text
	}
	return false, text
}
