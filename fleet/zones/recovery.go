package zones

// Constants for trials and the recovery ramp.
const (
	trialFronts          = 2 // fronts of each zone that send trials to a drained zone
	minTrialStores       = 2 // stores that must answer trials, or all of the zone's if it has fewer
	rampSteps            = 8
	stepBackShare        = 0.5 // fraction of the observed stores that fail at which the ramp does not advance
	stepBackObservers    = 2   // observers that must see failures before the ramp goes back a step
	trialGracePeriods    = 2   // periods after the dwell time until trials may count as failed
	rankDelayDivisor     = 4   // divisor of the protocol period that gives the delay between fronts of successive ranks
	failRankDelayDivisor = 2   // the same for fronts that report failed trials
)

// rampPermille returns the share of a step of the ramp, in thousandths: the capacity at the start of that
// step of a store that was cold when the ramp started.
func (z *Zones) rampPermille(step int) int {
	return int(wholePermille * (z.config.ColdCapacity + (1-z.config.ColdCapacity)*float64(step)/rampSteps))
}

// runsTrials reports whether trials of a drained zone are due and this front is one of those that send them.
func (z *Zones) runsTrials(zoneIndex int) bool {
	r := &z.zones[zoneIndex].row
	return !z.drainOrdered(zoneIndex) && z.now-r.epochAt >= r.dwell && z.rank(zoneIndex) < trialFronts
}

// startRecovery starts the recovery ramp.
func (z *Zones) startRecovery(zoneIndex int, reason string) {
	z.setRow(zoneIndex, Recovering, z.rampPermille(0), 0, reason)
}

// reviewDrained starts the recovery once trials are answered, and extends the dwell time if they fail. The
// front of the lowest rank sets the row; the next one does so if the first has not.
func (z *Zones) reviewDrained(zoneIndex int) {
	r := &z.zones[zoneIndex].row
	z.applyShare(zoneIndex) // Trials may have become due.
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
		trialGracePeriods*z.config.Period
	switch {
	case trials.healthy && trials.seen >= min(minTrialStores, trials.total) && elapsed >= recoverAfter:
		z.startRecovery(zoneIndex, "trials came back: "+trials.String())
	case trials.fails && elapsed >= failAfter:
		z.doubleDwell(r)
		z.setRow(zoneIndex, r.state, r.permille, 0, "trials failed: "+trials.String())
	}
}

// reviewRecovering advances the ramp by a step, takes it back by one, or ends it.
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
