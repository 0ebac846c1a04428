package zones

import "fmt"

// ticksPerPeriod is how often Tick is due in a protocol period.
const ticksPerPeriod = 10

// Next returns when Tick must be called again.
func (z *Zones) Next() Time { return z.nextTickAt }

// Tick does what is due. It must be called at the time that Next returns; a call before that does nothing.
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

// reviewZone changes a zone's row if that is due.
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

// reviewInService drains a zone by the verdict, or logs what else is wrong there.
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

// HandleStall takes in that this front's process stood still. What it saw before that counts for nothing, and it
// follows no plan of before; it adopts the next one that it receives.
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

// HandleOverload takes in that this front is short of processor time. For a period its failures count for
// nothing, since a timeout may be its own.
func (z *Zones) HandleOverload(now Time) {
	z.ignoreFailuresUntil = max(z.ignoreFailuresUntil, now+z.config.Period)
}
