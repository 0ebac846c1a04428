package zones

// Figures of outcomes.
const (
	averageWeight    = 1.0 / 64           // of a new value in running averages
	bestLatencyRise  = averageWeight / 64 // by which the best latency ratio rises with each answer
	isolatedFailures = 3                  // failures in a row that may be this front's own network
)

// RecordOutcome takes in the outcome of a request, a probe or a connect to a store, and how long after its start it
// came. Expected is the answer time that its class has without load, or 0 if it has none.
func (z *Zones) RecordOutcome(now Time, id string, outcome Outcome, took, expected Time) {
	z.now = now
	index, known := z.storeByID[id]
	if !known || outcome != Answered && now < z.ignoreFailuresUntil {
		return
	}
	s := &z.stores[index]
	zn := &z.zones[s.zone]
	r := &zn.row
	if r.state != InService && r.baseEpoch == r.epoch && now-took < r.epochAt {
		return // it began before the zone was drained: all fronts would report it once more, as if it were new
	}
	if outcome == Answered {
		z.recordAnswer()
	} else {
		z.failuresSinceAnswer++
	}
	s.lastOutcome = outcome
	s.outcomeAt = now
	z.countOutcome(zn, outcome)
	if outcome == Answered && took > 0 && expected > 0 {
		z.averageLatency(float64(took) / float64(expected))
	}
}

// recordAnswer ends a row of failures.
//
// Danger: a front whose own network is back would report all that failed meanwhile as if others had failed.
// Failures since the last answer are discarded.
func (z *Zones) recordAnswer() {
	if z.failuresSinceAnswer >= isolatedFailures && z.now-z.lastAnswerAt > z.config.Period {
		for k := range z.stores {
			other := &z.stores[k]
			if other.lastOutcome != Answered && other.outcomeAt > z.lastAnswerAt {
				other.outcomeAt = noTime
			}
		}
	}
	z.lastAnswerAt = z.now
	z.failuresSinceAnswer = 0
}

// countOutcome keeps fading counts of a zone's outcomes, for people who ask why.
func (z *Zones) countOutcome(zn *zone, outcome Outcome) {
	if z.now-zn.outcomeCountedAt > z.window {
		zn.outcomeCounts = [numOutcomes]float64{}
		zn.outcomeCountedAt = z.now
	}
	for k := range zn.outcomeCounts {
		zn.outcomeCounts[k] *= 1 - averageWeight
	}
	zn.outcomeCounts[outcome]++
}

func (z *Zones) averageLatency(ratio float64) {
	z.latencyRatio += (ratio - z.latencyRatio) * averageWeight
	if z.bestLatencyRatio == 0 {
		z.latencyRatio = ratio
		z.bestLatencyRatio = ratio
	}
	z.bestLatencyRatio = min(z.bestLatencyRatio*(1+bestLatencyRise), z.latencyRatio)
}

// discardOutcomes has all outcomes of one zone's stores count for nothing.
func (z *Zones) discardOutcomes(zoneIndex int) {
	for k := range z.stores {
		if z.stores[k].zone == zoneIndex {
			z.stores[k].outcomeAt = noTime
		}
	}
	z.zones[zoneIndex].seen = 0
	z.zones[zoneIndex].failed = 0
}
