package zones

import (
	"errors"
	"fmt"
)

// orderRefreshBits is the number of low bits of an order's version that count its refreshes.
const orderRefreshBits = 16

var errOrderDuration = errors.New("an order lasts from a moment to a day")

// storedOrder is the newest order known for a zone.
type storedOrder struct {
	order
	expiresAt   Time
	publishedAt Time
	number      uint64 // version without the refresh count
	fullVersion uint64 // version with the refresh count
}

// drainOrdered reports whether an operator's order to drain the zone is in force.
func (z *Zones) drainOrdered(zoneIndex int) bool {
	o := &z.zones[zoneIndex].order
	return o.drain && z.now < o.expiresAt
}

// applyOrder stores an order, whether issued at this front or received from another.
func (z *Zones) applyOrder(zoneIndex int, received order, version uint64, age Time) {
	zn := &z.zones[zoneIndex]
	number := version >> orderRefreshBits
	isNew := number > zn.order.number
	zn.order = storedOrder{
		order:       received,
		expiresAt:   z.now - age + received.duration,
		publishedAt: z.now - age,
		number:      number,
		fullVersion: version,
	}
	if isNew && !received.drain && zn.row.state.drains() {
		z.startRecovery(zoneIndex, "by hand")
	}
}

// refreshOrder republishes an order that is in force, so that fronts that start later learn of it. Orders
// that return a zone to service are refreshed too: otherwise a front that was partitioned when one was issued
// would spread the older drain order again.
func (z *Zones) refreshOrder(zoneIndex int) {
	zn := &z.zones[zoneIndex]
	stored := &zn.order
	if z.now >= stored.expiresAt || z.now-stored.publishedAt < z.refreshAfter(zoneIndex) {
		return
	}
	stored.fullVersion++
	stored.publishedAt = z.now
	published := stored.order
	published.duration = stored.expiresAt - z.now
	z.noteBody = published.append(z.noteBody[:0])
	z.host.Publish(string(keyOrder)+zn.name, stored.fullVersion, z.noteBody, SpreadQuietly)
}

// IssueOrder applies and publishes an operator's order to drain a zone for the given duration, or to return
// it to service. The version must grow with each order. IssueOrder returns an error if the zone has no
// stores, if the duration of a drain order is not positive or exceeds MaxOrderDuration, or if the other zones
// have no spare capacity for the zone's traffic and force is not set.
func (z *Zones) IssueOrder(now Time, zone string, drain, force bool, duration Time, version uint64) error {
	z.now = now
	index, known := z.zoneByName[zone]
	if !known || z.zones[index].size == 0 {
		return fmt.Errorf("no zone %q has stores", zone)
	}
	if drain && (duration <= 0 || duration > MaxOrderDuration) {
		return errOrderDuration
	}
	zn := &z.zones[index]
	spareCapacity, zoneCapacity := z.drainable(index)
	if drain && !force && spareCapacity <= 0 && spareCapacity < zoneCapacity && zn.row.permille == wholePermille {
		return fmt.Errorf("the rest does not bear it (it bears %.2f of all stores, zone %s is %.2f): "+
			"--force tells it outright", spareCapacity, zone, zoneCapacity)
	}
	if !drain { // It has to outlive the drain order that it ends.
		duration = max(zn.order.expiresAt-now, z.config.NoteTTL)
	}
	issued := order{drain: drain, force: force, duration: duration}
	version = max(version<<orderRefreshBits, zn.order.fullVersion+1<<orderRefreshBits)
	z.applyOrder(index, issued, version, 0)
	z.host.Publish(string(keyOrder)+zone, version, issued.append(z.noteBody[:0]), SpreadUrgently)
	z.reviewZone(index)
	return nil
}
