package zones

import (
	"errors"
	"fmt"
)

// orderRefreshBits is the number of low bits of an order's version that count its refreshes.
const orderRefreshBits = 16

var errOrderDuration = errors.New("an order lasts from a moment to a day")

// storedOrder is the newest order for a zone.
type storedOrder struct {
	order
	expiresAt   Time
	publishedAt Time
	number      uint64 // its version without the refreshes
	fullVersion uint64 // its version with them
}

// drainOrdered reports whether an operator's order to drain a zone stands.
func (z *Zones) drainOrdered(zoneIndex int) bool {
	o := &z.zones[zoneIndex].order
	return o.drain && z.now < o.expiresAt
}

// applyOrder takes in an order, this front's own or a received one.
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

// refreshOrder publishes an order again for fronts that start later, for as long as it stands.
//
// Danger: a front that was cut off when an order to return was given would spread the older order again.
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

// IssueOrder takes in an operator's order: to drain a zone for a span, or to return to it. The version must grow
// with each order. It returns an error if the zone has no stores, if the span is not within LongestOrder, or
// if the other zones cannot take any of the zone's traffic and force is not given.
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
	if !drain { // it has to outlive the order that it ends
		duration = max(zn.order.expiresAt-now, z.config.NoteTTL)
	}
	issued := order{drain: drain, force: force, duration: duration}
	version = max(version<<orderRefreshBits, zn.order.fullVersion+1<<orderRefreshBits)
	z.applyOrder(index, issued, version, 0)
	z.host.Publish(string(keyOrder)+zone, version, issued.append(z.noteBody[:0]), SpreadUrgently)
	z.reviewZone(index)
	return nil
}
