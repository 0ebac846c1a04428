package zones

import "slices"

// Figures of publishing evidence.
const (
	minPauseDivisor  = 5   // the shortest pause between two notes is this part of a period
	maxPausePeriods  = 64  // the longest pause
	resetPauseFactor = 2   // longest pauses without a note after which the pause is the shortest again
	loadStep         = 32  // change of the load, in 255ths, that is published
	wholeLoad        = 255 // the load 1 in notes
	loadReporters    = trialFronts
)

// publishedOf returns what this front has published of a zone that still counts.
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

// publishEvidence publishes what this front sees, if that has changed and is due.
//
// Danger: each front's note goes to all the others, so single bad stores would have all of them publish for
// ever. The pause doubles with each note.
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

// collectEvidenceRows gathers the rows of a note, zones with failures first, as many as a note holds.
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

// evidenceDue reports whether a note is to be published: new failures after the pause, other changes after
// half a period too, a repetition after the window.
//
// Danger: the load changes all the time, and each of hundreds of fronts would send it to all others. A few of
// each zone publish it.
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

// hasNewFailures reports whether a row tells of failures that the published row in its place does not.
func (z *Zones) hasNewFailures() bool {
	for k := range z.evidenceRows {
		if k >= len(z.published) || z.evidenceRows[k].failed&^z.published[k].failed != 0 {
			return true
		}
	}
	return false
}
