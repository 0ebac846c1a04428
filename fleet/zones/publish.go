package zones

import "slices"

// Constants for publishing evidence.
const (
	minPauseDivisor  = 5   // divisor of the protocol period that gives the shortest pause between two notes
	maxPausePeriods  = 64  // longest pause, in protocol periods
	resetPauseFactor = 2   // multiple of the longest pause without a note after which the pause is reset to the shortest
	loadStep         = 32  // change of the load, in units of 1/255, above which it is published
	wholeLoad        = 255 // encoding of load 1 in notes
	loadReporters    = trialFronts
)

// publishedOf returns the evidence about a zone that this front has published and that still counts.
func (z *Zones) publishedOf(zoneIndex int) zoneEvidence {
	if z.now-z.publishedAt >= z.window {
		return zoneEvidence{}
	}
	zn := &z.zones[zoneIndex]
	for _, e := range z.published {
		if e.zone == zn.name && e.baseEpoch == zn.row.baseEpoch {
			return e
		}
	}
	return zoneEvidence{}
}

// publishEvidence publishes this front's evidence if it has changed and a note is due.
//
// The pause between notes doubles with each note. Each note goes to all other fronts, so without this a
// single bad store would have every front publish continually.
func (z *Zones) publishEvidence() {
	z.collectEvidenceRows()
	load := uint8(z.load() * wholeLoad)
	sincePublished := z.now - z.publishedAt
	if sincePublished > resetPauseFactor*maxPausePeriods*z.config.Period || z.evidenceUrgent() {
		z.publishPause = z.config.Period / minPauseDivisor
	}
	if !z.evidenceDue(sincePublished, load) {
		return
	}
	z.publishPause = min(2*z.publishPause, maxPausePeriods*z.config.Period)
	z.evidenceVersion++
	z.published = append(z.published[:0], z.evidenceRows...)
	z.publishedAt = z.now
	z.publishedLoad = load
	z.noteBody = appendEvidence(z.noteBody[:0], z.config.Zone, load, z.evidenceRows)
	z.host.Publish(string(keyEvidence)+z.config.Name, z.evidenceVersion, z.noteBody, spreadOf(z.evidenceRows))
}

// collectEvidenceRows fills evidenceRows with the rows of the next note, zones with failures first, up to
// maxEvidenceRows.
func (z *Zones) collectEvidenceRows() {
	z.evidenceRows = z.evidenceRows[:0]
	for _, withFailures := range [...]bool{true, false} {
		for index := range z.zones {
			zn := &z.zones[index]
			if zn.seen == 0 || (zn.failed != 0) != withFailures || len(z.evidenceRows) >= maxEvidenceRows {
				continue
			}
			if z.worthReporting(index) {
				row := zoneEvidence{zone: zn.name, baseEpoch: zn.row.baseEpoch, seen: zn.seen, failed: zn.failed}
				z.evidenceRows = append(z.evidenceRows, row)
			}
		}
	}
}

// evidenceDue reports whether a note is to be published: new failures after the pause, other changes after at
// least half a period, and repetitions after at least the window.
//
// Changes of the load alone are published by a few fronts of each zone only. The load changes all the time,
// and otherwise each of hundreds of fronts would send it to all others.
func (z *Zones) evidenceDue(sincePublished Time, load uint8) bool {
	adds := len(z.evidenceRows) > 0 && z.addsEvidence()
	changed := adds && !slices.Equal(z.evidenceRows, z.published)
	loadChange := max(load, z.publishedLoad) - min(load, z.publishedLoad)
	switch {
	case changed && z.hasNewFailures() && sincePublished >= z.publishPause:
		return true
	case changed && sincePublished >= max(z.publishPause, z.config.Period/2):
		return true
	case adds && sincePublished >= max(z.window, z.publishPause):
		return true
	default:
		return loadChange > loadStep && sincePublished >= z.config.NoteTTL/2 && z.rank(ownZone) < loadReporters
	}
}

// hasNewFailures reports whether a row has failures that the published row at the same index does not have.
func (z *Zones) hasNewFailures() bool {
	for k := range z.evidenceRows {
		if k >= len(z.published) || z.evidenceRows[k].failed&^z.published[k].failed != 0 {
			return true
		}
	}
	return false
}
