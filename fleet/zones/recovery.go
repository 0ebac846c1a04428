package zones

// Figures of trials and of the ramp.
const (
	trialFronts          = 2 // fronts of each zone that send trials to a drained zone
	minTrialStores       = 2 // stores that have to answer trials, if the zone has so many
	rampSteps            = 8
	stepBackShare        = 0.5 // of the stores seen that fail, at which the ramp goes no further
	stepBackObservers    = 2   // that see failures, at which it goes a step back
	trialVerdictPeriods  = 2   // after the dwell time, that trials have before they count as failed
	rankDelayDivisor     = 4   // of a period, that fronts of following ranks wait for each other
	failRankDelayDivisor = 2   // the same where trials have failed
)

// rampPermille is the share of a step of the ramp, in thousandths: the capacity that a store that was cold
// when the ramp began has as that step begins.
func (z *Zones) rampPermille(step int) int {
	return int(wholePermille * (z.config.ColdCapacity + (1-z.config.ColdCapacity)*float64(step)/rampSteps))
}

// runsTrials reports whether this front is one of those that send trials to a drained zone, once that is due.
func (z *Zones) runsTrials(zoneIndex int) bool {
	r := &z.zones[zoneIndex].row
	return !z.drainOrdered(zoneIndex) && z.now-r.epochAt >= r.dwell && z.rank(zoneIndex) < trialFronts
}

// startRecovery begins the ramp.
func (z *Zones) startRecovery(zoneIndex int, reason string) {
	z.setRow(zoneIndex, Recovering, z.rampPermille(0), 0, reason)
}

// reviewDrained ends the draining once trials are answered, and lengthens it if they fail. The front of the
// lowest rank sets the row; the next one does if that one has not.
func (z *Zones) reviewDrained(zoneIndex int) {
	r := &z.zones[zoneIndex].row
	z.applyShare(zoneIndex) // trials may have become due
	if r.byOperator {
		z.startRecovery(zoneIndex, "the order has ended")
		return
	}
	elapsed := z.now - r.epochAt
	if elapsed < r.dwell {
		return
	}
	trials := z.reportOf(ownZone, zoneIndex)
	recoverAfter := r.dwell + z.rankDelay(zoneIndex)*z.config.Period/rankDelayDivisor
	failAfter := r.dwell + Time(z.rank(zoneIndex))*z.config.Period/failRankDelayDivisor +
		trialVerdictPeriods*z.config.Period
	switch {
	case trials.healthy && trials.seen >= min(minTrialStores, trials.total) && elapsed >= recoverAfter:
		z.startRecovery(zoneIndex, "trials came back: "+trials.String())
	case trials.fails && elapsed >= failAfter:
		z.doubleDwell(r)
		z.setRow(zoneIndex, r.state, r.permille, 0, "trials failed: "+trials.String())
	}
}

// reviewRecovering moves the ramp a step on or back, or ends it.
func (z *Zones) reviewRecovering(zoneIndex int) {
	r := &z.zones[zoneIndex].row
	seen := z.reportOf(ownZone, zoneIndex)
	elapsed := z.now - r.epochAt
	stepSpan := max(z.config.WarmupTime/rampSteps, z.config.Period)
	rankWait := z.rankDelay(zoneIndex) * z.config.Period / rankDelayDivisor
	tooManyFail := seen.failedFraction() >= stepBackShare
	switch {
	case seen.fails && seen.seen >= min(minTrialStores, seen.total):
		z.drainZone(zoneIndex, "failed on the way back: "+seen.String())
	case seen.failingObservers >= stepBackObservers && tooManyFail && elapsed >= stepSpan/2:
		step := max(r.step-1, 0)
		z.setRow(zoneIndex, Recovering, z.rampPermille(step), step, "a step back: "+seen.String())
	case elapsed < stepSpan+rankWait || tooManyFail || seen.seen == 0:
	case r.step+1 >= rampSteps:
		z.setRow(zoneIndex, InService, wholePermille, 0, "back")
	default:
		z.setRow(zoneIndex, Recovering, z.rampPermille(r.step+1), r.step+1, seen.String())
	}
}
