package zones

// Constants for evaluating outcomes.
const (
	averageWeight    = 1.0 / 64           // weight of a new value in running averages
	bestLatencyRise  = averageWeight / 64 // relative rise of the best latency ratio with each answer
	isolatedFailures = 3                  // consecutive failures that may be caused by this front's own network
)

// RecordOutcome records the outcome of a request, a probe or a connection attempt to a store, and the time
// that it took. The expected time is the unloaded latency of the request's class, or 0 if the class has none.
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
		// The request began before the zone was drained. If it counted, all fronts would report it again as a
		// new failure.
		return
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

// recordAnswer ends a series of failures. If this front has had no answer for more than a period and several
// failures meanwhile, those failures are discarded: its own network was probably down, and it would otherwise
// report all of them as failures of the stores.
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

// countOutcome updates the exponentially decaying counts of a zone's outcomes, which Explain shows.
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

// discardOutcomes removes the outcomes of one zone's stores from the evidence.
func (z *Zones) discardOutcomes(zoneIndex int) {
	for k := range z.stores {
		if z.stores[k].zone == zoneIndex {
			z.stores[k].outcomeAt = noTime
		}
	}
	z.zones[zoneIndex].seen = 0
	z.zones[zoneIndex].failed = 0
}
