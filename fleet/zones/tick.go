package zones

import "fmt"

// ticksPerPeriod is the number of ticks in a protocol period.
const ticksPerPeriod = 10

// Next returns when Tick must be called again.
func (z *Zones) Next() Time { return z.nextTickAt }

// Tick performs the periodic work. It must be called at the time that Next returns; a call before that does
// nothing.
func (z *Zones) Tick(now Time) {
	z.now = now
	if now < z.nextTickAt {
		return
	}
	z.nextTickAt = now + max(z.config.Period/ticksPerPeriod, 1)
	z.updateEvidence()
	z.publishEvidence()
	for index := range z.zones {
		z.reviewZone(index)
	}
}

// reviewZone changes a zone's row if a change is due.
func (z *Zones) reviewZone(zoneIndex int) {
	z.refreshOrder(zoneIndex)
	r := &z.zones[zoneIndex].row
	switch {
	case z.drainOrdered(zoneIndex):
		if !r.byOperator || !r.state.drains() {
			z.drainZone(zoneIndex, "by hand")
		}
	case r.state == InService:
		z.reviewInService(zoneIndex)
		return
	case r.state.drains():
		z.reviewDrained(zoneIndex)
	case r.state == Recovering:
		z.reviewRecovering(zoneIndex)
	}
	z.refreshRow(zoneIndex)
}

// reviewInService drains a zone if the verdict says so, or else logs a new suspicion.
func (z *Zones) reviewInService(zoneIndex int) {
	zn := &z.zones[zoneIndex]
	drain, why := z.verdict(zoneIndex)
	if drain {
		z.drainZone(zoneIndex, why)
		return
	}
	suspected := why != ""
	if suspected && !zn.row.suspected {
		z.host.Log(fmt.Sprintf("zone %s: doubted: %s", zn.name, why))
	}
	zn.row.suspected = suspected
}

// HandleStall must be called after this front's process was stopped for some time. Outcomes from before the
// stall are discarded, and rows from before it are no longer followed; the next ones received are adopted.
func (z *Zones) HandleStall(now Time) {
	z.now = now
	z.HandleOverload(now)
	for index := range z.stores {
		z.stores[index].outcomeAt = noTime
	}
	for index := range z.zones {
		r := &z.zones[index].row
		if r.state == InService {
			continue
		}
		inService := plan{epoch: r.epoch, baseEpoch: r.baseEpoch, permille: wholePermille}
		*r = row{plan: inService, inServiceSince: now}
		z.applyShare(index)
	}
}

// HandleOverload must be called when this front is short of processor time. Its failures are ignored for one
// period, since a timeout may be caused by the front itself.
func (z *Zones) HandleOverload(now Time) {
	z.ignoreFailuresUntil = max(z.ignoreFailuresUntil, now+z.config.Period)
}
